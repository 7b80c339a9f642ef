package work

import "sync/atomic"

// Progress tells the daemon that took a request in how far the request has got. It is
// safe for concurrent use. A nil Progress records nothing.
type Progress struct{ passedOn atomic.Bool }

// PassOn records that the request is being sent to a target or a peer.
func (p *Progress) PassOn() {
	if p != nil {
		p.passedOn.Store(true)
	}
}

// PassedOn reports whether the request has been sent, at least in part, or is about to be.
func (p *Progress) PassedOn() bool { return p != nil && p.passedOn.Load() }
