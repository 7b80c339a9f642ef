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

// ServiceName is the name of the Reader in the kernel.
const ServiceName kernel.Name = "targets"

// store is where configurations go.
type store interface {
	Collect(index []byte, get func(id.Service) ([]byte, error)) (configuration.Documents, error)
	Offer(docs configuration.Documents, source string) configuration.Verdict
}

// members is where the list of daemons goes.
type members interface {
	SetListed(list []roster.Listed)
}

// Reader watches the platform and hands on what it reads.
type Reader struct {
	client *Client
	log    zerolog.Logger
	store  store
	peers  members
	kernel *kernel.Kernel
	cancel context.CancelFunc
	group  conc.WaitGroup

	mu sync.Mutex
	// lists holds the last good list of each service that is watched.
	lists map[id.Service][]byte
}

// Config makes a Reader.
type Config struct {
	Addresses []id.Address
	Log       zerolog.Logger
}

// NewReader returns a reader that does not watch yet.
func NewReader(cfg Config) *Reader {
	return &Reader{client: NewClient(cfg.Addresses), log: cfg.Log, lists: make(map[id.Service][]byte)}
}

// Start begins to watch the configuration and the list of daemons.
func (r *Reader) Start(_ context.Context, k *kernel.Kernel) error {
	r.kernel = k
	var err error
	if r.store, err = kernel.Find[store](k, configuration.ServiceName); err != nil {
		return err
	}
	if r.peers, err = kernel.Find[members](k, "peer"); err != nil {
		return err
	}
	var ctx context.Context
	ctx, r.cancel = context.WithCancel(context.Background())
	r.client.Watch(ctx, &r.group, IndexKey, r.takeIndex)
	r.client.Watch(ctx, &r.group, DaemonsKey, r.takeDaemons)
	return nil
}

// Stop ends the watches.
func (r *Reader) Stop(context.Context) error {
	r.cancel()
	r.group.Wait()
	return nil
}

func (r *Reader) takeIndex(ctx context.Context, data []byte) error {
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

// listRate is how many bytes a second the list of daemons may take. The list
// lags in any case, and the daemons tell each other who comes and goes; reading
// it at each change would take 10 KB/s of each of 940 daemons.
const listRate = 100

func (r *Reader) takeDaemons(ctx context.Context, data []byte) error {
	list, err := ParseDaemons(data)
	if err != nil {
		r.log.Error().Err(err).Msg("list of daemons refused")
		return nil
	}
	r.peers.SetListed(list)
	clock.Sleep(ctx, time.Duration(len(data))*time.Second/listRate)
	return nil
}

// WatchTargets calls take for each version of a service's list of targets
// until the context ends. While the platform gives none, the list that it last
// gave a peer is taken.
func (r *Reader) WatchTargets(ctx context.Context, group *conc.WaitGroup, s id.Service, take func([]schedule.Endpoint)) {
	w := &targetWatch{reader: r, service: s, take: take}
	r.client.Watch(ctx, group, TargetsKey(s), w.fromPlatform)
	group.Go(func() { w.run(ctx) })
}

// Targets returns the last list of a service's targets, or nil.
func (r *Reader) Targets(s id.Service) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lists[s]
}

// State returns the number of calls to the platform.
func (r *Reader) State() any { return r.client.State() }
