// Package outcome decides what is known about a request after an attempt to
// run it. It is the only place that says "not run".
package outcome

// Outcome is what is known about a request.
type Outcome string

// The outcomes.
const (
	// Ran means that the request was run and its answer is complete.
	Ran Outcome = "ran"
	// NotRun means that there is proof that the request was not run.
	NotRun Outcome = "not-run"
	// Unknown means that the request may or may not have been run.
	Unknown Outcome = "unknown"
)

// Ending is how an attempt to run a request ended.
type Ending string

// The endings of an attempt.
const (
	// Answered means that a complete answer came, or that a complete head came
	// and the body is being streamed.
	Answered Ending = "Answered"
	// Declined means that the target gave the answer that the questionnaire
	// declares to mean "not run".
	Declined Ending = "Declined"
	// DialFailed means that no connection was made.
	DialFailed Ending = "DialFailed"
	// NotWritten means that the attempt ended before the first byte of the
	// request was handed to the connection.
	NotWritten Ending = "NotWritten"
	// WriteFailed means that the connection broke while the request was being
	// written and at least one byte was handed over.
	WriteFailed Ending = "WriteFailed"
	// Lost means that the connection broke after the request was written and
	// before the answer's head was complete.
	Lost Ending = "Lost"
	// Truncated means that the connection broke within the answer's body.
	Truncated Ending = "Truncated"
	// TimedOut means that the deadline passed after a byte was handed over.
	TimedOut Ending = "TimedOut"
	// Cancelled means that the caller went away after a byte was handed over.
	Cancelled Ending = "Cancelled"
	// Malformed means that the answer was not HTTP, or broke a limit.
	Malformed Ending = "Malformed"
	// Crossed means that the answer carries another request's id.
	Crossed Ending = "Crossed"
	// BodyFailed means that the caller's body ended early after a byte was
	// handed over.
	BodyFailed Ending = "BodyFailed"
)

// Endings lists every ending.
var Endings = []Ending{
	Answered, Declined, DialFailed, NotWritten, WriteFailed, Lost,
	Truncated, TimedOut, Cancelled, Malformed, Crossed, BodyFailed,
}

// Outcome returns what the ending of one attempt proves about that attempt.
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

// Retryable tells whether another attempt may be made. The request itself
// allows it if it is idempotent; whatever it is, a retry is allowed after
// proof that the attempt did not run.
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

// Join combines what earlier attempts left open with the last attempt: once an
// attempt may have run, a later proof about another attempt does not undo it.
func Join(earlier, last Outcome) Outcome {
	if earlier == Unknown && last == NotRun {
		return Unknown
	}
	return last
}
