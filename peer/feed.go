package peer

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/briarrouter/briarrouter/backlog"
	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/kernel"
	"github.com/briarrouter/briarrouter/patch"
	"github.com/briarrouter/briarrouter/peer/peerpb"
	"github.com/briarrouter/briarrouter/registry"
	"github.com/briarrouter/briarrouter/schedule"
	"github.com/briarrouter/briarrouter/unit"
	"google.golang.org/protobuf/proto"
)

// feedPath is where a daemon serves its feed of platform changes.
const feedPath = "/feed"

// A follower that accepts patches of configurations says so in its request (RFC
// 3229, 10.5.3). Daemons of earlier versions do not, and get whole configurations.
const (
	acceptPatchField = "A-IM"
	patchMethod      = "zstd-patch"
)

// feedSource provides the feed of this daemon.
type feedSource interface {
	// Changes returns the changes after a cursor, the cursor to continue from,
	// and a channel that is closed when there are more. If first is set or the
	// cursor is too old, it returns a full listing.
	Changes(c backlog.Cursor, first bool) (registry.FeedMessage, backlog.Cursor, <-chan struct{})
}

// feedStream returns a stream of this daemon's feed for one follower; it starts
// with a full listing. Without a registry there is no feed, which is an error.
func (s *Service) feedStream(r *http.Request) (stream, error) {
	source, err := kernel.Find[feedSource](s.kernel, registry.ServiceName)
	if err != nil {
		return stream{}, err
	}
	encoder := feedEncoder{}
	if r.Header.Get(acceptPatchField) == patchMethod {
		encoder.patches = &s.patches
	}
	var cursor backlog.Cursor
	first := true
	return stream{s, func() (proto.Message, <-chan struct{}) {
		changes, next, more := source.Changes(cursor, first)
		cursor, first = next, false
		m, err := encoder.encode(changes)
		if err != nil {
			s.cfg.Log.Error().Err(err).Msg("configuration is sent whole")
		}
		return m, more
	}}, nil
}

// FollowFeed calls handle for each message of a peer's feed until ctx ends or the
// peer stops responding, and returns the reason.
func (s *Service) FollowFeed(ctx context.Context, host id.Host, handle func(registry.FeedMessage)) error {
	var m peerpb.FeedMessage
	var decoder feedDecoder
	return s.follow(ctx, host, feedStreamKind, &m, func() error {
		decoded, err := decoder.decode(&m)
		if err == nil {
			handle(decoded)
		}
		return err
	})
}

// configurationPatch is the difference of one configuration from an earlier one.
type configurationPatch struct {
	base, made registry.Position
	data       []byte
}

// maxCachedPatches bounds the patches that are kept. Followers ask for the patch from
// the previous configuration, and for the one from none.
const maxCachedPatches = 4

// patchCache holds the latest patches, so that each is computed once for all
// followers. It is safe for concurrent use.
type patchCache struct {
	mu sync.Mutex
	// list has the latest patch last.
	list []configurationPatch
}

// patch returns the patch from a base to a configuration. The base is the zero Update
// if there is none.
func (c *patchCache) patch(base, u registry.Update) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.list {
		if p.base == base.Position() && p.made == u.Position() {
			return p.data, nil
		}
	}
	data, err := patch.Encode(base.Configuration, u.Configuration)
	if err != nil {
		return nil, err
	}
	if len(c.list) == maxCachedPatches {
		c.list = slices.Delete(c.list, 0, 1)
	}
	c.list = append(c.list, configurationPatch{base: base.Position(), made: u.Position(), data: data})
	return data, nil
}

// feedEncoder encodes the messages of the feed for one follower.
type feedEncoder struct {
	// patches is nil if the follower takes whole configurations only.
	patches *patchCache
	// sent is the last configuration sent to the follower; the zero Update before the
	// first one.
	sent registry.Update
}

// encode returns the message. If it returns an error too, the message holds a whole
// configuration in place of a patch that could not be made.
func (e *feedEncoder) encode(m registry.FeedMessage) (*peerpb.FeedMessage, error) {
	f := &peerpb.FeedMessage{
		At: uint64(m.Listing.Revision), Era: uint64(m.Listing.Era), Began: uint64(m.Listing.Began),
		Whole: m.Listing.Full, AgeMilliseconds: m.Age.Milliseconds(),
		Confirmer: uint64(m.Confirmation.By), Confirmation: m.Confirmation.Number,
	}
	if m.Age < 0 {
		f.AgeMilliseconds = -1
	}
	var patchErr error
	for _, u := range m.Listing.Updates {
		update := &peerpb.Update{
			Era: uint64(u.Era), Revision: uint64(u.Revision), Target: string(u.Target), Configuration: u.Configuration,
			RemovedIncarnation: u.Removed.Incarnation, RemovedSequence: u.Removed.Sequence, RemovedMilliseconds: uint32(u.RemovedAgo.Milliseconds()),
		}
		if e.patches != nil && u.Target == "" {
			data, err := e.patches.patch(e.sent, u)
			if err != nil {
				patchErr = err
			} else {
				update.Configuration, update.Patch, update.Base = nil, data, uint64(e.sent.Revision)
			}
			e.sent = u
		}
		if entry := u.Entry; entry != nil {
			update.Entry = &peerpb.Target{
				Service: string(entry.Service), Address: string(entry.Address), FailureDomain: string(entry.FailureDomain),
				Leaving: entry.Leaving, Incarnation: entry.Incarnation, Slots: uint32(entry.Slots), Sequence: entry.Sequence,
			}
		}
		f.Updates = append(f.Updates, update)
	}
	return f, patchErr
}

// maxConfiguration limits the size of a configuration that a patch makes.
const maxConfiguration = maxStreamMessage

// feedDecoder decodes the messages of a peer's feed.
type feedDecoder struct {
	// received is the last configuration received; the zero Update before the first one.
	received registry.Update
}

func (d *feedDecoder) decode(f *peerpb.FeedMessage) (registry.FeedMessage, error) {
	m := registry.FeedMessage{
		Listing: registry.Listing{
			Era: registry.Era(f.GetEra()), Began: registry.Revision(f.GetBegan()), Revision: registry.Revision(f.GetAt()), Full: f.GetWhole(),
		},
		Age:          time.Duration(f.GetAgeMilliseconds()) * time.Millisecond,
		Confirmation: registry.Confirmation{By: id.Incarnation(f.GetConfirmer()), Number: f.GetConfirmation()},
	}
	for _, u := range f.GetUpdates() {
		update := registry.Update{
			Era: registry.Era(u.GetEra()), Revision: registry.Revision(u.GetRevision()), Target: id.Target(u.GetTarget()), Configuration: u.GetConfiguration(),
			Removed:    registry.EntryVersion{Incarnation: u.GetRemovedIncarnation(), Sequence: u.GetRemovedSequence()},
			RemovedAgo: time.Duration(u.GetRemovedMilliseconds()) * time.Millisecond,
		}
		if u.GetPatch() != nil {
			var err error
			if update.Configuration, err = d.applyPatch(u); err != nil {
				return registry.FeedMessage{}, err
			}
		}
		if update.Target == "" {
			d.received = update
		}
		if e := u.GetEntry(); e != nil {
			update.Entry = &registry.Entry{
				Service: id.Service(e.GetService()), Sequence: e.GetSequence(),
				Endpoint: schedule.Endpoint{
					ID: update.Target, Address: id.Address(e.GetAddress()), FailureDomain: id.FailureDomain(e.GetFailureDomain()),
					Leaving: e.GetLeaving(), Incarnation: e.GetIncarnation(), Slots: unit.Slots(e.GetSlots()),
				},
			}
		}
		m.Listing.Updates = append(m.Listing.Updates, update)
	}
	return m, nil
}

// applyPatch returns the configuration that a patch makes of the last one received.
func (d *feedDecoder) applyPatch(u *peerpb.Update) ([]byte, error) {
	base := registry.Revision(u.GetBase())
	switch {
	case base == 0:
		return patch.Decode(nil, u.GetPatch(), maxConfiguration)
	case base != d.received.Revision:
		return nil, fmt.Errorf("patch of configuration revision %d; the last one received has revision %d", base, d.received.Revision)
	default:
		return patch.Decode(d.received.Configuration, u.GetPatch(), maxConfiguration)
	}
}
