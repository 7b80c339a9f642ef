package dispatch

import (
	"errors"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/briarrouter/briarrouter/configuration"
	"github.com/briarrouter/briarrouter/outcome"
	"github.com/briarrouter/briarrouter/schedule"
	"github.com/briarrouter/briarrouter/work"
)

// transfer is a body that passes between a caller and a target while the request holds a
// slot.
type transfer interface {
	// WaitingSince returns since when the transfer waits for the caller; false if it does
	// not.
	WaitingSince() (time.Time, bool)
	// Interrupt ends the transfer.
	Interrupt()
}

// transfers holds the transfers of one service. It bounds the requests whose bodies are
// still arriving while they hold a slot, and ends transfers that stand still while others
// need a slot. It is safe for concurrent use; the zero value has none.
type transfers struct {
	mu     sync.Mutex
	active map[transfer]bool
	// bodies counts the bodies that are arriving; at most half of the slots are for them.
	bodies int
}

// standstill is how long a transfer has waited for its caller at least when it is ended for
// another request.
const standstill = time.Second

// admitBody registers an arriving body, if there is room for another one or if one that
// stands still makes room.
func (t *transfers) admitBody(now time.Time, b *arrivingBody, slots int) bool {
	limit := max(1, slots/2)
	if t.tryAdd(b, limit) {
		return true
	}
	return t.endStill(now, func(x transfer) bool { return isArrivingBody(x) }) && t.tryAdd(b, limit)
}

// tryAdd registers an arriving body and reports whether there was room.
func (t *transfers) tryAdd(b *arrivingBody, limit int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.bodies >= limit {
		return false
	}
	t.bodies++
	t.add(b)
	return true
}

// add registers a transfer. The caller holds mu.
func (t *transfers) add(x transfer) {
	if t.active == nil {
		t.active = make(map[transfer]bool)
	}
	t.active[x] = true
}

func (t *transfers) addResponse(s *responseStream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.add(s)
}

// remove removes a transfer that has ended and reports whether it was registered.
func (t *transfers) remove(x transfer) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.active[x] {
		return false
	}
	delete(t.active, x)
	if isArrivingBody(x) {
		t.bodies--
	}
	return true
}

func isArrivingBody(x transfer) bool {
	_, ok := x.(*arrivingBody)
	return ok
}

// endStill ends the transfer that has stood still longest, of those that are accepted, and
// reports whether there was one.
func (t *transfers) endStill(now time.Time, accepted func(transfer) bool) bool {
	var longest transfer
	var since time.Time
	for _, x := range t.list() {
		if at, ok := x.WaitingSince(); ok && accepted(x) && now.Sub(at) >= standstill && (longest == nil || at.Before(since)) {
			longest, since = x, at
		}
	}
	if longest == nil || !t.remove(longest) {
		return false
	}
	longest.Interrupt()
	return true
}

// list returns the transfers. Their locks may be held while mu is taken, so that they are
// not called with mu held.
func (t *transfers) list() []transfer {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Collect(maps.Keys(t.active))
}

// arrivingBody is a request body that is streamed to a target.
type arrivingBody struct {
	io.Reader
	transfers *transfers
}

// Read removes the body from the transfers at its end: the slot is the target's from then
// on.
func (b *arrivingBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err != nil {
		b.transfers.remove(b)
	}
	return n, err
}

func (b *arrivingBody) WaitingSince() (time.Time, bool) {
	if waiter, ok := b.Reader.(transfer); ok {
		return waiter.WaitingSince()
	}
	return time.Time{}, false
}

func (b *arrivingBody) Interrupt() {
	if waiter, ok := b.Reader.(transfer); ok {
		waiter.Interrupt()
	}
}

// admitBody registers the body of a request if it is streamed. It returns false and the
// refusal if too many bodies are arriving. end must be called when the request has ended.
func (s *serviceDispatcher) admitBody(req *work.Request, route *configuration.Route) (end func(), refusal work.Response, ok bool) {
	if req.Body.Rest == nil {
		return func() {}, work.Response{}, true
	}
	if !s.dispatcher.cfg.Memory.TryAcquireStream() {
		return nil, s.refuseBody(req, route, work.MemoryLimit), false
	}
	b := &arrivingBody{Reader: req.Body.Rest, transfers: &s.transfers}
	if !s.transfers.admitBody(time.Now(), b, s.slotCount()) {
		s.dispatcher.cfg.Memory.ReleaseStream()
		return nil, s.refuseBody(req, route, work.BodyLimit), false
	}
	req.Body.Rest = b
	return func() {
		s.transfers.remove(b)
		s.dispatcher.cfg.Memory.ReleaseStream()
	}, work.Response{}, true
}

func (s *serviceDispatcher) refuseBody(req *work.Request, route *configuration.Route, reason work.Reason) work.Response {
	d := schedule.Decision{Kind: schedule.Refused, Reason: reason, RetryAfter: s.retryAfter()}
	s.logRefusal(req, route, 1, d, 0)
	return refusalResponse(outcome.NotRun, d)
}

// slotCount returns the number of slots of all listed targets.
func (s *serviceDispatcher) slotCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, p := range s.pools {
		if p.endpoint.Slots > 0 {
			n += int(p.endpoint.Slots)
			continue
		}
		n += int(s.policy.Slots)
	}
	return n
}

// endStill ends a transfer that stands still, since a request finds no free slot.
func (s *serviceDispatcher) endStill() {
	if s.transfers.endStill(time.Now(), func(transfer) bool { return true }) {
		s.scope.Counter("transfers_ended").Inc(1)
		s.log.Info().Msg("transfer whose caller stands still is ended for another request")
	}
}

// responseStream is the body of a streamed response. It holds the attempt's slot
// until the body ends or is closed.
type responseStream struct {
	io.ReadCloser
	attempt *attempt

	mu    sync.Mutex
	ended bool
	// waitingSince is since when the caller has not asked for more; zero while a Read is in
	// progress.
	waitingSince time.Time
	// interrupted means that Interrupt has closed the body.
	interrupted bool
}

var errStandstill = errors.New("response was not read while other requests waited for its slot")

// Read releases the slot when the body ends or is truncated.
func (s *responseStream) Read(p []byte) (int, error) {
	if !s.beginRead() {
		return 0, errStandstill
	}
	n, err := s.ReadCloser.Read(p)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waitingSince = time.Now()
	switch {
	case err == io.EOF:
		s.end(outcome.Answered)
	case err != nil:
		s.end(outcome.Truncated)
	}
	return n, err
}

// beginRead returns false if the body has been interrupted.
func (s *responseStream) beginRead() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waitingSince = time.Time{}
	return !s.interrupted
}

// Close releases the slot if the body was not read to its end.
func (s *responseStream) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.end(outcome.Cancelled)
	if s.interrupted {
		return nil
	}
	return s.ReadCloser.Close()
}

// end releases the slot, on the first call only. The caller holds mu.
func (s *responseStream) end(e outcome.Ending) {
	if s.ended {
		return
	}
	s.ended = true
	s.attempt.releaseSlot(e)
	s.attempt.execution.releaseContext()
	s.attempt.reply.Release()
	s.attempt.service.transfers.remove(s)
}

func (s *responseStream) WaitingSince() (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.waitingSince, !s.waitingSince.IsZero() && !s.ended
}

// Interrupt releases the slot and closes the connection to the target, unless the caller
// has just asked for more. Later reads fail, so that the response does not look complete.
func (s *responseStream) Interrupt() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waitingSince.IsZero() || s.ended {
		return
	}
	s.interrupted = true
	s.ReadCloser.Close()
	s.end(outcome.Cancelled)
}
