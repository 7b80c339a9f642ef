// Package outcome derives from the ending of an attempt whether the request ran,
// and whether a retry is allowed. No other package concludes from the ending of an
// attempt that the request did not run.
package outcome

// Outcome states whether a request ran, as far as known.
type Outcome string

const (
	// Ran means that the request ran. The body of its response may still be streamed.
	Ran Outcome = "ran"
	// NotRun means that there is proof that the request did not run.
	NotRun Outcome = "not-run"
	// Unknown means that the request may or may not have run.
	Unknown Outcome = "unknown"
)

// Ending classifies how an attempt ended.
type Ending string

const (
	// Answered means that a complete response was received, or its complete
	// header section while the body is still being streamed.
	Answered Ending = "Answered"
	// Declined means that the target sent the response that the deployment
	// description declares to mean that the request was not run.
	Declined Ending = "Declined"
	// DialFailed means that no connection was established.
	DialFailed Ending = "DialFailed"
	// NotWritten means that the attempt ended before the first byte of the
	// request was written to the connection.
	NotWritten Ending = "NotWritten"
	// WriteFailed means that the connection broke after at least one byte of the
	// request was written and before all of it was.
	WriteFailed Ending = "WriteFailed"
	// Lost means that the connection broke after the request was written and
	// before the header section of the response was complete.
	Lost Ending = "Lost"
	// Truncated means that the connection broke within the response body.
	Truncated Ending = "Truncated"
	// TimedOut means that the deadline passed after at least one byte of the
	// request was written.
	TimedOut Ending = "TimedOut"
	// Cancelled means that the caller disconnected after at least one byte of
	// the request was written.
	Cancelled Ending = "Cancelled"
	// Malformed means that the response was not valid HTTP or exceeded a limit.
	Malformed Ending = "Malformed"
	// Crossed means that the response carries the id of another request.
	Crossed Ending = "Crossed"
	// BodyFailed means that the caller's request body ended early after at least
	// one byte of the request was written.
	BodyFailed Ending = "BodyFailed"
)

// Endings lists all endings.
var Endings = []Ending{
	Answered, Declined, DialFailed, NotWritten, WriteFailed, Lost,
	Truncated, TimedOut, Cancelled, Malformed, Crossed, BodyFailed,
}

// Outcome returns what the ending proves about this one attempt.
func (e Ending) Outcome() Outcome {
	switch e {
	case Answered:
		return Ran
	case Declined, DialFailed, NotWritten:
		return NotRun
	default:
		return Unknown
	}
}

// Retryable reports whether a retry is allowed: always after proof that the
// attempt did not run the request, and for an idempotent request also after a
// failure of the target or its connection.
func (e Ending) Retryable(idempotent bool) bool {
	switch e {
	case Answered, Cancelled, TimedOut, BodyFailed:
		return false
	case Declined, DialFailed, NotWritten:
		return true
	default:
		return idempotent
	}
}

// Combine returns the outcome of a request from the outcomes of its earlier
// attempts and of the last one. Proof that the last attempt did not run the request
// says nothing about an earlier attempt that may have run it.
func Combine(earlier, last Outcome) Outcome {
	if earlier == Unknown && last == NotRun {
		return Unknown
	}
	return last
}
