package peer

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/briarrouter/briarrouter/configuration"
	"github.com/briarrouter/briarrouter/exchange"
	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/peer/peerpb"
	"github.com/briarrouter/briarrouter/roster"
	"github.com/sourcegraph/conc"
)

// link is this daemon's way to one peer: its task probes the peer when its
// turn comes and fetches newer configurations from it.
type link struct {
	service *Service
	host    id.Host
	address id.Address
	client  peerpb.Peer
	http    *http.Client
	// relays carries relayed requests.
	relays *exchange.Pool
	// turns holds one turn to probe.
	turns chan struct{}
	// offers holds the newest version that the peer was heard to have.
	offers chan id.ConfigVersion
	ctx    context.Context
	cancel context.CancelFunc
	// doubted tells that the last probe was not answered.
	doubted atomic.Bool

	mu sync.Mutex
	// outstanding holds what ends each relay that may be sent elsewhere.
	outstanding map[*relay]bool
}

const (
	// helpers is how many peers are asked to try a peer that did not answer.
	helpers = 3
	// relayConnections bounds the connections for relayed requests to a peer.
	relayConnections = 512
	relayDialTimeout = 500 * time.Millisecond
	relayIdleLimit   = 30 * time.Second
	relayHead        = 128 << 10
	// idleProbes is how long a connection for probes is kept. In a large fleet
	// a peer comes too seldom for it to be used again.
	idleProbes = 10 * time.Second
	// fetchTimeout bounds the reading of a configuration from a peer.
	fetchTimeout = 5 * time.Second
)

func newLink(s *Service, m roster.Member) *link {
	ctx, cancel := context.WithCancel(s.ctx)
	dialer := &net.Dialer{KeepAlive: -1}
	transport := &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 1, IdleConnTimeout: idleProbes, DisableCompression: true}
	client := &http.Client{Transport: transport, Timeout: fetchTimeout}
	return &link{
		service: s,
		host:    m.Host,
		address: m.Peers,
		client:  peerpb.NewPeerProtobufClient("http://"+string(m.Peers), client),
		http:    client,
		relays: exchange.New(exchange.Config{
			Address:      m.Peers,
			Connections:  relayConnections,
			DialTimeout:  relayDialTimeout,
			IdleLimit:    relayIdleLimit,
			HeadLimit:    relayHead,
			AnswerBuffer: s.cfg.Limits.AnswerBuffer,
			Memory:       s.cfg.Memory,
		}),
		turns:       make(chan struct{}, 1),
		offers:      make(chan id.ConfigVersion, 1),
		ctx:         ctx,
		cancel:      cancel,
		outstanding: make(map[*relay]bool),
	}
}

func (l *link) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.turns:
			l.probe(ctx)
		case v := <-l.offers:
			l.fetch(ctx, v)
		}
		l.relays.Trim(time.Now())
	}
}

// wake gives the link a turn to probe.
func (l *link) wake() {
	select {
	case l.turns <- struct{}{}:
	default:
	}
}

// offer tells the link which version its peer has in force.
func (l *link) offer(v id.ConfigVersion) {
	if configuration.Accept(l.service.store.Version(), v) != configuration.Accepted {
		return
	}
	select {
	case l.offers <- v:
	default:
	}
}

func (l *link) close() {
	l.cancel()
	l.relays.Close()
	l.http.CloseIdleConnections()
}

// probeParts is the part of the time between probes in which a probe must be
// answered.
const probeParts = 4

// probe asks the peer for its news. Where it does not answer, other peers are
// asked to try, since the way to it may be broken for this daemon alone.
func (l *link) probe(ctx context.Context) {
	limit := l.service.cfg.Timing.Probe / probeParts
	started := time.Now()
	if l.ping(ctx, limit) {
		l.setDoubted(false)
		return
	}
	l.doubt()
	reached := l.pingVia(ctx, limit)
	// A process that was paused meanwhile heard nobody; that is no evidence.
	paused := time.Since(started) > 2*pauseFactor*limit
	if !reached && !paused && ctx.Err() == nil {
		l.service.missed(l.host)
	}
}

func (l *link) setDoubted(doubted bool) {
	if l.doubted.Swap(doubted) != doubted {
		l.service.doubts.Add(1)
	}
}

// doubt sends the relays to the peer elsewhere that may be sent elsewhere.
func (l *link) doubt() {
	l.setDoubted(true)
	l.mu.Lock()
	defer l.mu.Unlock()
	for r := range l.outstanding {
		r.cancel(errPeerLost)
	}
}

func (l *link) ping(ctx context.Context, limit time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	news, err := l.client.Ping(ctx, l.service.news(l.host))
	if err != nil || id.Host(news.GetFrom().GetHost()) != l.host {
		return false
	}
	l.service.heard(news)
	return true
}

// pingVia asks helpers to ping the peer, all at the same time.
func (l *link) pingVia(ctx context.Context, limit time.Duration) bool {
	list := l.service.helpers(l.host)
	detours := make([]*detour, len(list))
	var group conc.WaitGroup
	for i, helper := range list {
		d := &detour{helper: helper, to: l, limit: 2 * limit}
		detours[i] = d
		group.Go(func() { d.run(ctx) })
	}
	group.Wait()
	for _, d := range detours {
		if d.reached.GetAnswered() {
			l.service.heard(&peerpb.News{From: d.reached.GetMember()})
			return true
		}
	}
	return false
}

// detour is one helper's try to reach a peer.
type detour struct {
	helper  *link
	to      *link
	limit   time.Duration
	reached *peerpb.Reached
}

func (d *detour) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, d.limit)
	defer cancel()
	reached, err := d.helper.client.PingVia(ctx, &peerpb.Detour{Host: string(d.to.host), Peers: string(d.to.address)})
	if err == nil {
		d.reached = reached
	}
}

// fetch reads the peer's configuration where it is newer.
func (l *link) fetch(ctx context.Context, v id.ConfigVersion) {
	s := l.service
	if configuration.Accept(s.store.Version(), v) != configuration.Accepted {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	index, err := l.client.Index(ctx, &peerpb.IndexRequest{})
	if err != nil {
		return
	}
	get := func(name id.Service) ([]byte, error) {
		d, err := l.client.Value(ctx, &peerpb.ValueRequest{Service: string(name)})
		return d.GetData(), err
	}
	docs, err := s.store.Collect(index.GetData(), get)
	if err != nil {
		s.cfg.Log.Warn().Str("Peer", string(l.host)).Err(err).Msg("configuration of a peer cannot be read")
		return
	}
	s.store.Offer(docs, "peer "+string(l.host))
}

// TargetsOfPeers asks peers for the last list of a service's targets that the
// platform gave them, until one has it.
func (s *Service) TargetsOfPeers(ctx context.Context, service id.Service) ([]byte, bool) {
	for _, l := range s.helpers(s.cfg.Self.Host) {
		d, err := l.client.Targets(ctx, &peerpb.ValueRequest{Service: string(service)})
		if err == nil {
			return d.GetData(), true
		}
	}
	return nil, false
}
