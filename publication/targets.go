package publication

import (
	"context"
	"time"

	"github.com/briarrouter/briarrouter/clock"
	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/kernel"
	"github.com/briarrouter/briarrouter/schedule"
)

// targetWatch watches the list of one service's targets.
type targetWatch struct {
	reader  *Reader
	service id.Service
	apply   func(schedule.TargetChange)
}

// peerTargetLists requests lists of targets from peers. A peer returns the last
// valid list that it received, be it from the platform or from another peer.
type peerTargetLists interface {
	TargetsOfPeers(ctx context.Context, s id.Service) ([]byte, bool)
}

// applyFromPlatform applies a version of the list from the platform. An invalid
// version is skipped, so that the last valid list stays in force.
func (w *targetWatch) applyFromPlatform(_ context.Context, data []byte) error {
	list, err := ParseTargets(data)
	if err != nil {
		w.reader.log.Error().Str("Service", string(w.service)).Err(err).Msg("list of targets refused")
		return nil
	}
	w.storeList(data)
	w.apply(schedule.TargetChange{Full: true, Listed: list})
	return nil
}

func (w *targetWatch) storeList(data []byte) {
	w.reader.mu.Lock()
	defer w.reader.mu.Unlock()
	w.reader.targetLists[w.service] = data
}

const (
	// peerFallbackDelay is how long the platform may take to provide a list
	// before one is requested from peers, and the pause between two such requests.
	peerFallbackDelay = 300 * time.Millisecond
	// peerFetchTimeout bounds one attempt to get a list from peers.
	peerFetchTimeout = 2 * time.Second
)

// run requests a list from peers until one of them or the platform has provided
// a valid one.
func (w *targetWatch) run(ctx context.Context) {
	for {
		clock.Sleep(ctx, peerFallbackDelay)
		if ctx.Err() != nil || w.reader.Targets(w.service) != nil || w.fetchFromPeer(ctx) {
			return
		}
	}
}

// fetchFromPeer applies the last valid list of a peer and reports whether it did.
// The list may be older than the platform's, which applyFromPlatform applies when
// it arrives.
func (w *targetWatch) fetchFromPeer(ctx context.Context) bool {
	peers, err := kernel.Find[peerTargetLists](w.reader.kernel, "peer")
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, peerFetchTimeout)
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
	w.storeList(data)
	w.apply(schedule.TargetChange{Full: true, Listed: list})
	return true
}
