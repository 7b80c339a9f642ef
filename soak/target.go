package soak

import (
	"fmt"
	"time"

	"github.com/briarrouter/briarrouter/clock"
	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/platform/platformtest"
)

// target is one target behind its proxy, with its entry in the store.
type target struct {
	*platformtest.Target
	proxy *proxy
	entry platformtest.Registration
}

const (
	// targetSlots and targetWork are alike for all targets.
	targetSlots = 3
	targetWork  = 40 * time.Millisecond
)

// addTarget starts a target and registers it.
func (s *Soak) addTarget(service id.Service) error {
	s.born++
	name := id.Target(fmt.Sprintf("%s-%03d", service, s.born))
	t, err := platformtest.NewTarget(platformtest.TargetConfig{
		ID: name, Service: service, Slots: targetSlots, Work: targetWork, Began: s.promises.began, Seed: s.cfg.Seed + uint64(s.born),
	})
	if err != nil {
		return err
	}
	p, err := newProxy(t.Address())
	if err != nil {
		return err
	}
	added := &target{Target: t, proxy: p, entry: platformtest.Registration{
		ID: name, Service: service, Address: p.address(), FailureDomain: domains[s.born%len(domains)], Slots: targetSlots, Born: uint64(s.born),
	}}
	s.store.Register(added.entry)
	s.targets = append(s.targets, added)
	return nil
}

func (t *target) end() {
	t.proxy.close()
	t.Crash()
}

// drainTime is how long a target that leaves still serves.
const drainTime = 2 * time.Second

// replace lets a target leave as planned work does, after a new one has started.
func (s *Soak) replace(n int) error {
	old := s.targets[n]
	if err := s.addTarget(old.entry.Service); err != nil {
		return err
	}
	old.Leave()
	old.entry.Leaving = true
	s.store.Register(old.entry)
	p := s.promises
	p.mu.Lock()
	p.leaving[old.entry.ID] = time.Now()
	p.mu.Unlock()
	s.targets = append(s.targets[:n], s.targets[n+1:]...)
	r := &retirement{soak: s, target: old, after: 2 * drainTime}
	s.group.Go(r.run)
	return nil
}

// crash ends a target at once and puts a new one in its place after a while.
func (s *Soak) crash(n int) error {
	old := s.targets[n]
	s.targets = append(s.targets[:n], s.targets[n+1:]...)
	old.end()
	if err := s.addTarget(old.entry.Service); err != nil {
		return err
	}
	r := &retirement{soak: s, target: old, after: drainTime}
	s.group.Go(r.run)
	return nil
}

// retirement takes a target's entry out of the store after a while, and ends the
// target if it still runs.
type retirement struct {
	soak   *Soak
	target *target
	after  time.Duration
}

func (r *retirement) run() {
	clock.Sleep(r.soak.context, r.after)
	r.soak.store.Remove(r.target.entry.ID)
	clock.Sleep(r.soak.context, drainTime)
	r.target.end()
}
