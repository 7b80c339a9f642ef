package soak

import (
	"fmt"
	"time"

	"github.com/briarrouter/briarrouter/clock"
	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/platform/platformtest"
)

// target is a fake target, the proxy that daemons reach it through, and its
// registration in the store.
type target struct {
	*platformtest.Target
	proxy        *proxy
	registration platformtest.Registration
}

const (
	targetSlots       = 3
	plannedSlots      = 4
	targetServiceTime = 40 * time.Millisecond
)

// addTarget starts a target and registers it.
func (s *Soak) addTarget(service id.Service) error {
	s.targetsStarted++
	name := id.Target(fmt.Sprintf("%s-%03d", service, s.targetsStarted))
	cfg := platformtest.TargetConfig{
		ID: name, Service: service, Slots: targetSlots, MeanDuration: targetServiceTime, OnArrive: s.checker.requestArrived, OnRun: s.checker.requestStarted, OnStatement: s.checker.statementMade,
		Seed: s.cfg.Seed + uint64(s.targetsStarted),
	}
	if s.cfg.PlannedWork {
		cfg.Slots, cfg.Duration, cfg.Padding, cfg.OnEnd = plannedSlots, drawDuration, paddingOf, s.checker.requestFinished
	}
	t, err := platformtest.NewTarget(cfg)
	if err != nil {
		return err
	}
	p, err := newProxy(t.Address())
	if err != nil {
		return err
	}
	added := &target{Target: t, proxy: p, registration: platformtest.Registration{
		ID: name, Service: service, Address: p.address(), FailureDomain: domains[s.targetsStarted%len(domains)], Slots: targetSlots, Born: uint64(s.targetsStarted),
	}}
	if s.cfg.PlannedWork {
		added.registration.Address, added.registration.Slots = t.Address(), plannedSlots
	}
	s.store.Register(added.registration)
	s.targets = append(s.targets, added)
	return nil
}

func (t *target) stop() {
	t.proxy.close()
	t.Crash()
}

// removalDelay separates the steps of removing a target. The registration stays
// in the store for two delays after the target began to drain, or for one after
// it crashed. A draining target serves for one more delay after that. While faults are
// injected, it serves for goneServiceTime, so that requests are seen that reach it after
// the store has returned from a copy that has its entry.
const (
	removalDelay    = 2 * time.Second
	goneServiceTime = 6 * time.Second
)

// replaceTarget starts a new target, then drains s.targets[n], as in planned
// maintenance.
func (s *Soak) replaceTarget(n int) error {
	old := s.targets[n]
	if err := s.addTarget(old.registration.Service); err != nil {
		return err
	}
	old.Drain()
	old.registration.Leaving = true
	s.store.Register(old.registration)
	c := s.checker
	c.mu.Lock()
	c.draining[old.registration.ID] = time.Now()
	c.mu.Unlock()
	s.targets = append(s.targets[:n], s.targets[n+1:]...)
	r := &targetRemoval{soak: s, target: old, delay: 2 * removalDelay}
	s.group.Go(r.run)
	return nil
}

// crashTarget crashes s.targets[n] and starts a new target. The registration of
// the crashed target stays in the store for removalDelay.
func (s *Soak) crashTarget(n int) error {
	old := s.targets[n]
	s.targets = append(s.targets[:n], s.targets[n+1:]...)
	old.stop()
	if err := s.addTarget(old.registration.Service); err != nil {
		return err
	}
	r := &targetRemoval{soak: s, target: old, delay: removalDelay}
	s.group.Go(r.run)
	return nil
}

// targetRemoval removes a target's registration from the store after delay, and
// stops the target removalDelay later. Stopping one that crashed has no effect.
type targetRemoval struct {
	soak   *Soak
	target *target
	delay  time.Duration
}

func (r *targetRemoval) run() {
	clock.Sleep(r.soak.context, r.delay)
	r.soak.store.Remove(r.target.registration.ID)
	serve := removalDelay
	if !r.soak.cfg.PlannedWork {
		serve = goneServiceTime
	}
	clock.Sleep(r.soak.context, serve)
	r.soak.checker.targetGone(r.target.registration.ID)
	r.target.stop()
}
