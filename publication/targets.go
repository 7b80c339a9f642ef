package publication

import (
	"context"
	"time"

	"github.com/briarrouter/briarrouter/clock"
	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/kernel"
	"github.com/briarrouter/briarrouter/schedule"
)

// targetWatch follows the list of one service's targets.
type targetWatch struct {
	reader  *Reader
	service id.Service
	take    func([]schedule.Endpoint)
}

// peerLists gives the lists that the platform last gave to peers.
type peerLists interface {
	TargetsOfPeers(ctx context.Context, s id.Service) ([]byte, bool)
}

// fromPlatform takes a version of the list from the platform.
func (w *targetWatch) fromPlatform(_ context.Context, data []byte) error {
	list, err := ParseTargets(data)
	if err != nil {
		w.reader.log.Error().Str("Service", string(w.service)).Err(err).Msg("list of targets refused")
		return nil
	}
	w.keep(data)
	w.take(list)
	return nil
}

func (w *targetWatch) keep(data []byte) {
	w.reader.mu.Lock()
	defer w.reader.mu.Unlock()
	w.reader.lists[w.service] = data
}

const (
	// borrowAfter is how long the platform may take before peers are asked.
	borrowAfter = 300 * time.Millisecond
	// borrowTimeout bounds one round of asking them.
	borrowTimeout = 2 * time.Second
)

// run borrows the list from a peer unless the platform gives one.
func (w *targetWatch) run(ctx context.Context) {
	for {
		clock.Sleep(ctx, borrowAfter)
		if ctx.Err() != nil || w.reader.Targets(w.service) != nil || w.borrow(ctx) {
			return
		}
	}
}

// borrow takes the list that a peer has. It may be older than what the
// platform would say; the watch replaces it as soon as the platform answers.
func (w *targetWatch) borrow(ctx context.Context) bool {
	peers, err := kernel.Find[peerLists](w.reader.kernel, "peer")
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	data, ok := peers.TargetsOfPeers(ctx, w.service)
	if !ok || w.reader.Targets(w.service) != nil {
		return false
	}
	list, err := ParseTargets(data)
	if err != nil {
		return false
	}
	w.reader.log.Info().Str("Service", string(w.service)).Msg("list of targets taken from a peer")
	w.keep(data)
	w.take(list)
	return true
}
