// Package crossing decides when a request leaves its failure domain: whether it runs
// on a target of the domain that its daemon is in, or of another one. Crossing costs
// money and time, while the own targets may be too few, too slow or failing. The
// package does no I/O, reads no clock and keeps no state.
package crossing

import (
	"time"

	"github.com/briarrouter/briarrouter/unit"
)

// Config states what crossing costs.
type Config struct {
	// Cost is the price of referenceSize bytes that cross, in requests per slot, the
	// unit in which package schedule ranks targets. Zero disables the decision.
	Cost float64
	// Delay is the time that crossing adds to a request and its response together.
	Delay time.Duration
}

// Enabled reports whether the decision is made at all.
func (c Config) Enabled() bool { return c.Cost > 0 }

// Request is what is known of a request.
type Request struct {
	// Size is the size of the header section and the body; negative if the size of
	// the body is not known. Response is the mean size of the responses of its route;
	// zero if none is known.
	Size, Response unit.Bytes
	// Left is the time until its deadline, Objective that until the response loses
	// its full use; zero if no such time is stated.
	Left, Objective time.Duration
	// ServiceTime is the mean service time of its route; zero if it is not known.
	ServiceTime time.Duration
	// FailureCost is what a failure probability of 1 costs its caller, in requests per
	// slot.
	FailureCost float64
	// Retry is set if an attempt of the request failed in the own domain.
	Retry bool
}

// View is what is known of the targets of one failure domain that can take a request.
type View struct {
	// Targets is their number.
	Targets int
	// Wait is how many requests per slot a further request would wait behind, zero if
	// a slot is free, and FailureProbability the probability that its target is
	// failing; both of the target on which the two cost the caller least.
	Wait, FailureProbability float64
	// Sound is the number of targets with a failure probability of at most
	// SoundProbability. Load is the number of requests per slot on these.
	Sound int
	Load  float64
	// Old means that the load from elsewhere is not known.
	Old bool
}

// SoundProbability is the failure probability up to which a target counts as sound. It
// is that of a target with a success in the last four seconds; a failure raises it to
// three times as much.
const SoundProbability = 0.12

const (
	// referenceSize is the number of bytes whose crossing costs Config.Cost.
	referenceSize = 64 * unit.KiB
	// unknownBody stands for a body of unknown size. Such bodies are streamed by
	// callers that do not know their length, and are seldom small.
	unknownBody = 16 * unit.KiB
	// maxPrice bounds the price of a request, in requests per slot. A target takes up
	// to three requests per slot, and a long body must not wait behind all of them.
	maxPrice = 1.5
	// margin is how much more than the price a request must gain to leave. It keeps
	// chance differences between sound targets from being paid for with bytes.
	margin = 0.2
	// band is the range of gains over which the share that leaves grows from 0 to 1.
	// If a gain changes by x requests per slot, the share changes by at most x/band;
	// this is the bound that keeps a flow from flapping while views are some tens of
	// milliseconds old.
	band = 0.5
	// reserved is the share of the slots of another domain that its own callers keep:
	// from a load of 1 - reserved on, each request per slot there counts reserveFactor
	// times, so that a domain in full use counts as one request per slot more.
	reserved      = 0.5
	reserveFactor = 1 / reserved
	// exclusion is added to the price of a domain that a request does not leave for. It
	// exceeds the difference of the load between any two targets with a free slot. It
	// is below the cost that package schedule adds for a target that failed the request
	// before.
	exclusion = 4
)

// Price returns what a target of the other domain costs beyond one of the own domain
// with the same load and failure probability, in requests per slot. Draw is a uniform
// random number between 0 and 1, the same for all domains: the request leaves for the
// domain if it is below Share.
func (c Config) Price(r Request, own, other View, draw float64) float64 {
	price := c.transfer(r) + other.reserve()
	if draw < c.Share(r, own, other) {
		return price
	}
	return price + exclusion
}

// Share returns the share of requests like r that leave the own domain for the other.
// A request leaves if waiting in the own domain, or the higher failure probability
// there, costs its caller more than the crossing, or if it would end too late in the
// own domain only. While a sound target of the own domain has a free slot, the share is
// zero.
func (c Config) Share(r Request, own, other View) float64 {
	switch {
	case other.Targets == 0 || r.Left > 0 && r.ServiceTime+c.Delay > r.Left:
		return 0
	case own.Targets == 0:
		return 1
	}
	required := c.transfer(r) + margin
	if r.Retry {
		required = c.transfer(r)
	}
	inTime := gain(r, own, other) - required
	tooLate := r.lateness(own.Wait, 0) - r.lateness(other.wait(), c.Delay)
	return min(1, max(0, inTime, tooLate)/band)
}

// gain returns what the caller gains in the other domain, in requests per slot.
func gain(r Request, own, other View) float64 {
	failure := max(SoundProbability, own.FailureProbability) - max(SoundProbability, other.FailureProbability)
	return own.Wait + r.FailureCost*failure - other.wait()
}

// reserve returns the price, from 0 to 1, of the slots of another domain that its own
// callers need. A domain of which the load is not known counts as in full use.
func (v View) reserve() float64 {
	if v.Old || v.Sound == 0 {
		return 1
	}
	return min(1, max(0, v.Load-(1-reserved))*reserveFactor)
}

// transfer returns the price of the bytes and of the delay of a crossing.
func (c Config) transfer(r Request) float64 {
	size := r.Size
	if size < 0 {
		size = unknownBody
	}
	price := c.Cost * float64(size+r.Response) / float64(referenceSize)
	if r.ServiceTime > 0 {
		price += float64(c.Delay) / float64(r.ServiceTime)
	}
	return min(maxPrice, price)
}

// wait returns what a request of another domain waits for, in requests per slot.
func (v View) wait() float64 { return max(v.Wait, v.reserve()+max(0, v.Load-1)) }

// lateness returns by how much a request that waits behind a number of requests per
// slot, and for a delay, is expected to end after its deadline or its objective, in
// service times. An objective shorter than the service time is out of reach and does not
// count.
func (r Request) lateness(wait float64, delay time.Duration) float64 {
	if r.ServiceTime <= 0 {
		return 0
	}
	took := time.Duration((1+wait)*float64(r.ServiceTime)) + delay
	limit := r.Left
	if r.Objective > r.ServiceTime {
		limit = min(limit, r.Objective)
	}
	return max(0, float64(took-limit)/float64(r.ServiceTime))
}
