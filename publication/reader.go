package publication

import (
	"context"
	"sync"
	"time"

	"github.com/briarrouter/briarrouter/clock"
	"github.com/briarrouter/briarrouter/configuration"
	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/kernel"
	"github.com/briarrouter/briarrouter/roster"
	"github.com/briarrouter/briarrouter/schedule"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
)

// ServiceName is also the kernel name of the registry, which takes the place of
// the Reader if settings.Store is set: the targets then come from the key-value
// store of the platform on which the fleet is deployed.
const ServiceName kernel.Name = "targets"

// store collects the documents of a configuration and decides whether to accept
// it.
type store interface {
	Collect(index []byte, get func(id.Service) ([]byte, error)) (configuration.Documents, error)
	Offer(docs configuration.Documents, source string) configuration.Verdict
}

// membership receives the list of daemons.
type membership interface {
	SetListed(list []roster.ListedMember)
}

// Reader watches the platform and passes configurations, the list of daemons
// and lists of targets to the services that use them.
type Reader struct {
	client     *Client
	log        zerolog.Logger
	store      store
	membership membership
	kernel     *kernel.Kernel
	cancel     context.CancelFunc
	group      conc.WaitGroup

	mu sync.Mutex
	// targetLists holds the last valid list of each watched service.
	targetLists map[id.Service][]byte
}

// Config configures a Reader.
type Config struct {
	Addresses []id.Address
	Log       zerolog.Logger
}

// NewReader returns a reader that does not watch the platform yet.
func NewReader(cfg Config) *Reader {
	return &Reader{client: NewClient(cfg.Addresses, cfg.Log), log: cfg.Log, targetLists: make(map[id.Service][]byte)}
}

// Start starts watching the configuration and the list of daemons.
func (r *Reader) Start(_ context.Context, k *kernel.Kernel) error {
	r.kernel = k
	var err error
	if r.store, err = kernel.Find[store](k, configuration.ServiceName); err != nil {
		return err
	}
	if r.membership, err = kernel.Find[membership](k, "peer"); err != nil {
		return err
	}
	var ctx context.Context
	ctx, r.cancel = context.WithCancel(context.Background())
	r.client.Watch(ctx, &r.group, IndexKey, r.applyIndex)
	r.client.Watch(ctx, &r.group, DaemonsKey, r.applyDaemons)
	return nil
}

func (r *Reader) Stop(context.Context) error {
	r.cancel()
	r.group.Wait()
	return nil
}

func (r *Reader) applyIndex(ctx context.Context, data []byte) error {
	get := func(s id.Service) ([]byte, error) {
		v, err := r.client.Get(ctx, ServiceKey(s))
		return v.Data, err
	}
	docs, err := r.store.Collect(data, get)
	if err != nil {
		r.log.Error().Err(err).Msg("configuration cannot be read")
		return err
	}
	r.store.Offer(docs, "platform")
	return nil
}

// daemonListBytesPerSecond limits the average rate of reading the list of
// daemons. Reading it on each change would take 10 KB/s for each of 940 daemons.
// The list lags in any case, and the daemons learn of joining and leaving
// daemons from each other.
const daemonListBytesPerSecond = 100

func (r *Reader) applyDaemons(ctx context.Context, data []byte) error {
	list, err := ParseDaemons(data)
	if err != nil {
		r.log.Error().Err(err).Msg("list of daemons refused")
		return nil
	}
	r.membership.SetListed(list)
	clock.Sleep(ctx, time.Duration(len(data))*time.Second/daemonListBytesPerSecond)
	return nil
}

// WatchTargets calls apply with the whole list of a service's targets, at once and
// after each change, until ctx ends. Invalid lists are skipped. If no valid list
// arrives from the platform within peerFallbackDelay, apply may first get a list
// from a peer.
func (r *Reader) WatchTargets(ctx context.Context, group *conc.WaitGroup, s id.Service, apply func(schedule.TargetChange)) {
	w := &targetWatch{reader: r, service: s, apply: apply}
	r.client.Watch(ctx, group, TargetsKey(s), w.applyFromPlatform)
	group.Go(func() { w.run(ctx) })
}

// Targets returns the last valid list of a service's targets in its INI form, or
// nil if none was received.
func (r *Reader) Targets(s id.Service) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.targetLists[s]
}

func (r *Reader) State() any { return r.client.State() }
