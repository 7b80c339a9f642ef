package schedule

import (
	"time"

	"github.com/briarrouter/briarrouter/configuration"
	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/unit"
	"github.com/briarrouter/briarrouter/work"
)

// Ticket identifies one attempt to run a request on a target.
type Ticket uint64

// Job is a request that needs a slot: room for one concurrent request on a target.
type Job struct {
	Ticket Ticket
	Caller id.Caller
	Route  *configuration.Route
	// Priority orders the waiting jobs; 0 goes first.
	Priority int
	Identity work.Identity
	// Deadline is when the response must be complete.
	Deadline time.Time
	// Size is the length of the request body; negative if it is not known.
	Size unit.Bytes
	// HeaderSize is the size of the request's header section.
	HeaderSize unit.Bytes
	// Tried lists the targets of earlier attempts.
	Tried []id.Target
	// Final means that no attempt may follow this one if it fails, because the request
	// may not be repeated or no retry is left for it.
	Final bool
	// held tells that the job was held for a sound target while it waited.
	held bool
}

type Kind string

const (
	Granted Kind = "Granted"
	Waiting Kind = "Waiting"
	Refused Kind = "Refused"
)

// Decision is the result of scheduling a job.
type Decision struct {
	Kind Kind
	// Held tells that the job waited for a sound target although another one was
	// free.
	Held bool
	// Endpoint is set where the kind is Granted.
	Endpoint Endpoint
	// Inputs is set where the kind is Granted.
	Inputs Inputs
	// Reason and RetryAfter are set where the kind is Refused.
	Reason     work.Reason
	RetryAfter time.Duration
}

// Inputs is what the scheduler knew when it chose a target, for the request log.
type Inputs struct {
	// Targets is the number of targets listed, Eligible the number of those that
	// could take the job.
	Targets, Eligible int
	// Running is the number of this daemon's requests on the target before this
	// one; Load includes those of other daemons as far as they are known.
	Running int
	Load    float64
	// FailureProbability is the failure probability of the target. ObservationAge
	// is the time since the last observation of it; negative if there is none.
	FailureProbability float64
	ObservationAge     time.Duration
	Chosen             Choice
}

// Choice is the rule by which a target was chosen.
type Choice string

const (
	// ByRank means that the target had the lowest cost.
	ByRank Choice = "rank"
	// ByNewcomer means that the target joined after the initial list and had never
	// received a request.
	ByNewcomer Choice = "newcomer"
	// BySpread means that the target was due for a request under the minimum
	// coverage of targets, whatever its failure probability.
	BySpread Choice = "spread"
)

// decide returns the decision on a job that was waiting.
func (j Job) decide(d Decision) QueueDecision {
	d.Held = j.held
	return QueueDecision{j.Ticket, d}
}

// QueueDecision is a decision on a job that was waiting.
type QueueDecision struct {
	Ticket   Ticket
	Decision Decision
}
