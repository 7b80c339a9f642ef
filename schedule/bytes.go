package schedule

import "github.com/briarrouter/briarrouter/unit"

const (
	// maxTargetBytes bounds the bodies of the requests that all replicas together have on
	// one target. A target exits if the requests that it holds exceed its memory, which
	// is not known here. It is the size of the largest body that callers may send by
	// default; ordinary requests reach their targets' slots long before.
	maxTargetBytes = 64 * unit.MiB
	// unknownBodySize stands for the size of a body of unknown size.
	unknownBodySize = unit.MiB
)

// bodySize returns the size that a job's body counts for on its target.
func (j Job) bodySize() unit.Bytes {
	if j.Size < 0 {
		return unknownBodySize
	}
	return j.Size
}

// holdsTooMuch reports whether the job would take the target's requests beyond this
// daemon's share of maxTargetBytes. A target without a body in progress may be given any.
func (s *Scheduler) holdsTooMuch(t *target, job Job) bool {
	return t.bytes > 0 && t.bytes+job.bodySize() > maxTargetBytes/unit.Bytes(max(1, s.replicas))
}
