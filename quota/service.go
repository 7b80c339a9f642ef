package quota

import (
	"context"
	"sync"
	"time"

	"github.com/briarrouter/briarrouter/account"
	"github.com/briarrouter/briarrouter/backlog"
	"github.com/briarrouter/briarrouter/clock"
	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/kernel"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"
)

// ServiceName is the name under which the Service is registered in the kernel.
const ServiceName kernel.Name = "quota"

const (
	// tickInterval is the interval at which the passing of time is applied.
	tickInterval = 100 * time.Millisecond
	// maxPublished bounds the usages kept for the replicas that follow this daemon. One
	// that falls further behind gets a full message.
	maxPublished = 4096
	// followRetryDelay is the delay before a peer is followed again after its stream ended.
	followRetryDelay = 300 * time.Millisecond
)

// usageSource streams the usage of other daemons.
type usageSource interface {
	// FollowUsage calls handle for each message of a peer until the context ends or the
	// peer stops responding, and returns the cause.
	FollowUsage(ctx context.Context, host id.Host, as Receiver, handle func(Message)) error
}

// ServiceConfig configures a Service.
type ServiceConfig struct {
	Ledger Config
	Scope  tally.Scope
	// Log is sampled.
	Log zerolog.Logger
}

// Service decides on the requests of accounts with limits, and exchanges the counts of
// this daemon's ledger with the other replicas.
type Service struct {
	cfg    ServiceConfig
	peers  usageSource
	ctx    context.Context
	cancel context.CancelFunc
	group  conc.WaitGroup
	// wake holds at most one request to look at what is to be published.
	wake chan struct{}

	mu        sync.Mutex
	ledger    *Ledger
	published *backlog.Log[Usage]
	// urgentEnd is the end of the last publication that is to be acknowledged soon.
	urgentEnd backlog.Cursor
	followers map[id.Host]*follower
	reported  Counts
}

// New returns a service without accounts. Until SetFleet, it counts its daemon as a replica
// that has not heard from any other.
func New(cfg ServiceConfig) *Service {
	ctx, cancel := context.WithCancel(context.Background())
	return &Service{
		cfg: cfg, ctx: ctx, cancel: cancel, wake: make(chan struct{}, 1),
		ledger: NewLedger(cfg.Ledger), published: backlog.New[Usage](maxPublished), followers: make(map[id.Host]*follower),
	}
}

// Start starts the exchange with the other replicas.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	var err error
	if s.peers, err = kernel.Find[usageSource](k, "peer"); err != nil {
		return err
	}
	s.group.Go(func() { s.loop(s.ctx) })
	return nil
}

// Stop ends the exchange.
func (s *Service) Stop(context.Context) error {
	s.cancel()
	s.group.Wait()
	return nil
}

// SetFleet sets the replicas and the number of daemons.
func (s *Service) SetFleet(f Fleet) {
	s.mu.Lock()
	s.ledger.SetFleet(time.Now(), f)
	s.mu.Unlock()
	s.requestLook()
}

// Take decides on a request of an account.
func (s *Service) Take(now time.Time, name id.Caller, limit account.Limit) Verdict {
	s.mu.Lock()
	due, urgent := s.ledger.due()
	v := s.ledger.Take(now, name, limit)
	dueNow, urgentNow := s.ledger.due()
	announcements := s.ledger.Announcements()
	s.mu.Unlock()
	if dueNow && !due || urgentNow && !urgent {
		s.requestLook()
	}
	s.log(announcements)
	return v
}

// Return gives back the credit of a request that was granted and has not run.
func (s *Service) Return(now time.Time, name id.Caller) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.Return(now, name)
}

// requestLook makes the loop look at what is to be published. It does not block.
func (s *Service) requestLook() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// loop publishes the counts and follows the other replicas.
func (s *Service) loop(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	publish := time.NewTimer(0)
	defer publish.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			s.tick(now)
		case <-s.wake:
		case <-publish.C:
		}
		if wait, ok := s.publish(time.Now()); ok {
			publish.Reset(wait)
		}
	}
}

// publish publishes what is due, or returns how long that takes and true.
func (s *Service) publish(now time.Time) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok := s.ledger.PublishAt()
	if !ok {
		return 0, false
	}
	if wait := at.Sub(now); wait > 0 {
		return wait, true
	}
	list, urgent := s.ledger.Publish(now)
	if len(list) == 0 {
		s.published.Wake()
		return 0, false
	}
	s.published.Append(list)
	if urgent {
		s.urgentEnd = s.published.End()
	}
	return 0, false
}

func (s *Service) tick(now time.Time) {
	s.mu.Lock()
	s.ledger.Tick(now)
	s.updateFollowers(s.ledger.Peers())
	announcements := s.ledger.Announcements()
	s.report()
	s.mu.Unlock()
	s.log(announcements)
}

// Messages returns the message for a peer that has received all before a cursor, the
// cursor for the next call, and a channel that is closed when there is more. The first
// message for a follower is full.
func (s *Service) Messages(to Receiver, c backlog.Cursor, first bool) (Message, backlog.Cursor, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.ledger.Header(to)
	list, ok := s.published.Since(c)
	if first || !ok {
		m.Full = true
		list = s.ledger.Full(time.Now(), to)
	}
	m.Usages = list
	m.Urgent = first || s.urgentEnd > c
	return m, s.published.End(), s.published.Changed()
}

// follower is the task that receives the usage of one other replica.
type follower struct {
	service *Service
	host    id.Host
	ctx     context.Context
	cancel  context.CancelFunc
	// connected tells that a message has arrived on the current stream.
	connected bool
}

// updateFollowers follows the given peers and no others. The caller holds mu.
func (s *Service) updateFollowers(hosts []id.Host) {
	wanted := make(map[id.Host]bool, len(hosts))
	for _, host := range hosts {
		wanted[host] = true
		if s.followers[host] == nil && s.ctx.Err() == nil {
			f := &follower{service: s, host: host}
			f.ctx, f.cancel = context.WithCancel(s.ctx)
			s.followers[host] = f
			s.group.Go(f.run)
		}
	}
	for host, f := range s.followers {
		if !wanted[host] {
			f.cancel()
			delete(s.followers, host)
		}
	}
}

func (f *follower) run() {
	s := f.service
	self := Receiver{Host: s.cfg.Ledger.Host, Incarnation: s.cfg.Ledger.Incarnation}
	for f.ctx.Err() == nil {
		err := s.peers.FollowUsage(f.ctx, f.host, self, f.apply)
		if f.connected && f.ctx.Err() == nil {
			s.cfg.Log.Info().Str("Peer", string(f.host)).AnErr("Cause", err).Msg("usage of a peer ends")
		}
		f.connected = false
		clock.Sleep(f.ctx, followRetryDelay)
	}
}

func (f *follower) apply(m Message) {
	s := f.service
	f.connected = true
	s.mu.Lock()
	s.ledger.Receive(time.Now(), f.host, m)
	due, _ := s.ledger.due()
	s.mu.Unlock()
	if due {
		s.requestLook()
	}
}
