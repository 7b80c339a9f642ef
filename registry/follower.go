package registry

import (
	"context"
	"time"

	"github.com/briarrouter/briarrouter/id"
)

// follower receives the feed of one peer in a goroutine of its own.
type follower struct {
	registry *Registry
	host     id.Host
	ctx      context.Context
	cancel   context.CancelFunc
}

func newFollower(r *Registry, host id.Host) *follower {
	ctx, cancel := context.WithCancel(r.ctx)
	return &follower{registry: r, host: host, ctx: ctx, cancel: cancel}
}

func (f *follower) run() {
	r := f.registry
	err := r.peers.FollowFeed(f.ctx, f.host, f.apply)
	if f.ctx.Err() != nil {
		return
	}
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.followers[f.host] == f {
		delete(r.followers, f.host)
	}
	r.selector.recordFailure(now, f.host)
	r.cfg.Log.Info().Str("Peer", string(f.host)).Dur("Age", r.age(now, true)).Uint64("Revision", uint64(r.view.Revision())).
		AnErr("Cause", err).Msg("peer is no longer followed")
}

// apply applies one message of the feed to the view. It ranks the peer behind
// the other readers if the peer's own copy is missing or too old.
func (f *follower) apply(m FeedMessage) {
	r := f.registry
	now := time.Now()
	r.mu.Lock()
	before, era := r.view.Configuration(), r.view.Era()
	applied := r.view.ApplyFromPeer(now, m.Listing)
	r.restartFeedAfter(era)
	r.confirmFromPeer(now, f.host, m)
	if m.Age < 0 || m.Age > r.selector.maxCopyAge() {
		r.selector.recordFailure(now, f.host)
	}
	r.mu.Unlock()
	r.publish(applied, before)
}
