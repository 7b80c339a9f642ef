package registry

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/schedule"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
)

// cuttingPlatform is a platform that cuts pending watches until cutUntil. It answers
// every other call at once unless it is down.
type cuttingPlatform struct {
	mu       sync.Mutex
	cutUntil time.Time
	down     bool
	revision Revision
	changes  []Update
	changed  chan struct{}
	cuts     int
}

var errCut = errors.New("connection reset")

// publish adds a target, or removes it.
func (p *cuttingPlatform) publish(name id.Target, registered bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision++
	u := Update{Revision: p.revision, Target: name}
	if registered {
		u.Entry = &Entry{Service: "beds", Endpoint: schedule.Endpoint{ID: name, Address: id.Address(name)}}
	}
	p.changes = append(p.changes, u)
	close(p.changed)
	p.changed = make(chan struct{})
}

// set begins or ends an outage, and cuts watches from now on for some time.
func (p *cuttingPlatform) set(down bool, cutFor time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down, p.cutUntil = down, time.Now().Add(cutFor)
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *cuttingPlatform) since(after Revision) (Listing, <-chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		return Listing{}, nil, errCut
	}
	l := Listing{Revision: p.revision}
	for _, u := range p.changes {
		if u.Revision > after {
			l.Updates = append(l.Updates, u)
		}
	}
	return l, p.changed, nil
}

func (p *cuttingPlatform) List(context.Context) (Listing, error) {
	l, _, err := p.since(0)
	l.Full = err == nil
	return l, err
}

func (p *cuttingPlatform) Watch(ctx context.Context, after Revision, wait time.Duration) (Listing, error) {
	// latency is the time in which the platform answers a call, or cuts it.
	const latency = 4 * time.Millisecond
	time.Sleep(latency)
	end := time.Now().Add(wait)
	for {
		l, changed, err := p.since(after)
		switch {
		case err != nil || len(l.Updates) > 0 || !time.Now().Before(end):
			return l, err
		case p.cutting() && wait > latency:
			return Listing{}, errCut
		}
		select {
		case <-changed:
		case <-time.After(time.Until(end)):
		case <-ctx.Done():
			return Listing{}, ctx.Err()
		}
	}
}

// cutting counts a cut if pending watches are cut now.
func (p *cuttingPlatform) cutting() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !time.Now().Before(p.cutUntil) {
		return false
	}
	p.cuts++
	return true
}

// TestRemovalAfterCutWatches guards against requests to a target that is gone for longer
// than it serves, because watches that the platform cut were taken for an outage.
func TestRemovalAfterCutWatches(t *testing.T) {
	for _, c := range []struct {
		name string
		// cutFor and downFor are how long the platform cuts watches, or is down, before
		// the target is removed.
		cutFor, downFor time.Duration
		// least and most bound the time from the removal until it is in force.
		least, most time.Duration
	}{
		{"undisturbed", 0, 0, 0, 300 * time.Millisecond},
		{"watches cut for a moment", 350 * time.Millisecond, 0, 0, time.Second},
		{"watches cut all the time", time.Minute, 0, 0, time.Second},
		{"outage", 0, 5 * time.Second, lapseGrace, lapseGrace + time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := &cuttingPlatform{changed: make(chan struct{})}
				p.publish("a", true)
				p.publish("b", true)
				r := New(Config{Platform: p, Log: zerolog.Nop(), Scope: tally.NoopScope, InForce: 2 * time.Second})
				r.store = &offers{}
				r.selector = newSourceSelector(Daemon{Host: "self"}, true, 2*time.Second, time.Now())
				r.ctx, r.cancel = context.WithCancel(t.Context())
				reader := newPlatformReader(r)
				r.group.Go(reader.run)
				defer r.group.Wait()
				defer r.cancel()
				time.Sleep(2 * time.Second)
				p.set(false, c.cutFor)
				if c.cutFor > 0 {
					time.Sleep(450 * time.Millisecond)
				}
				if c.downFor > 0 {
					p.set(true, 0)
					time.Sleep(c.downFor)
					p.set(false, 0)
				}
				p.publish("a", false)
				removed := time.Now()
				for time.Since(removed) < 10*time.Second {
					time.Sleep(maintenanceInterval)
					r.mu.Lock()
					r.view.Expire(time.Now())
					targets := r.view.Targets("beds")
					r.mu.Unlock()
					if len(targets) == 1 {
						break
					}
				}
				took := time.Since(removed)
				require.GreaterOrEqual(t, took, c.least)
				require.LessOrEqual(t, took, c.most)
				if c.cutFor > 0 {
					require.Greater(t, p.cuts, 1)
				}
			})
		})
	}
}
