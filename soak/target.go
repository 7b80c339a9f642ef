package soak

import (
	"fmt"
	"time"

	"github.com/briarrouter/briarrouter/clock"
	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/platform/platformtest"
)

// target is a target behind a proxy, with its registration in the store.
type target struct {
	*platformtest.Target
	proxy *proxy
	entry platformtest.Registration
}

// All targets have the same number of slots and the same mean service time.
const (
	targetSlots    = 3
	targetWorkTime = 40 * time.Millisecond
)

// addTarget starts a target and registers it.
func (s *Soak) addTarget(service id.Service) error {
	s.targetsStarted++
	name := id.Target(fmt.Sprintf("%s-%03d", service, s.targetsStarted))
	t, err := platformtest.NewTarget(platformtest.TargetConfig{
		ID: name, Service: service, Slots: targetSlots, Work: targetWorkTime, OnRun: s.checker.requestStarted, Seed: s.cfg.Seed + uint64(s.targetsStarted),
	})
	if err != nil {
		return err
	}
	p, err := newProxy(t.Address())
	if err != nil {
		return err
	}
	added := &target{Target: t, proxy: p, entry: platformtest.Registration{
		ID: name, Service: service, Address: p.address(), FailureDomain: domains[s.targetsStarted%len(domains)], Slots: targetSlots, Born: uint64(s.targetsStarted),
	}}
	s.store.Register(added.entry)
	s.targets = append(s.targets, added)
	return nil
}

func (t *target) stop() {
	t.proxy.close()
	t.Crash()
}

// drainTime is how long a draining target still serves.
const drainTime = 2 * time.Second

// replaceTarget drains a target after it has started a new one, as in planned
// maintenance.
func (s *Soak) replaceTarget(n int) error {
	old := s.targets[n]
	if err := s.addTarget(old.entry.Service); err != nil {
		return err
	}
	old.Drain()
	old.entry.Leaving = true
	s.store.Register(old.entry)
	c := s.checker
	c.mu.Lock()
	c.draining[old.entry.ID] = time.Now()
	c.mu.Unlock()
	s.targets = append(s.targets[:n], s.targets[n+1:]...)
	r := &targetRemoval{soak: s, target: old, delay: 2 * drainTime}
	s.group.Go(r.run)
	return nil
}

// crashTarget ends a target abruptly and starts a new one. The registration of
// the crashed target stays in the store for drainTime.
func (s *Soak) crashTarget(n int) error {
	old := s.targets[n]
	s.targets = append(s.targets[:n], s.targets[n+1:]...)
	old.stop()
	if err := s.addTarget(old.entry.Service); err != nil {
		return err
	}
	r := &targetRemoval{soak: s, target: old, delay: drainTime}
	s.group.Go(r.run)
	return nil
}

// targetRemoval removes a target's registration from the store after a delay,
// then stops the target, which has no effect on one that crashed.
type targetRemoval struct {
	soak   *Soak
	target *target
	delay  time.Duration
}

func (r *targetRemoval) run() {
	clock.Sleep(r.soak.context, r.delay)
	r.soak.store.Remove(r.target.entry.ID)
	clock.Sleep(r.soak.context, drainTime)
	r.target.stop()
}
