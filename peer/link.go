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
	"github.com/briarrouter/briarrouter/message"
	"github.com/briarrouter/briarrouter/metric"
	"github.com/briarrouter/briarrouter/peer/peerpb"
	"github.com/briarrouter/briarrouter/roster"
	"github.com/briarrouter/briarrouter/unit"
	"github.com/sourcegraph/conc"
)

// link connects this daemon to one peer. Its task probes the peer on request
// and fetches newer configurations from it.
type link struct {
	service *Service
	host    id.Host
	address id.Address
	// failureDomain is empty if it is not known.
	failureDomain id.FailureDomain
	client        peerpb.Peer
	http          *http.Client
	// relayPool is the connection pool for relayed requests.
	relayPool *exchange.Pool
	// probeRequests holds at most one pending request to probe the peer.
	probeRequests chan struct{}
	// fetchRequests holds at most one pending request to fetch the peer's
	// configuration: the version that the peer reported.
	fetchRequests chan id.ConfigVersion
	ctx           context.Context
	cancel        context.CancelFunc
	// unresponsive is set if the peer did not respond to the direct ping of the
	// last probe.
	unresponsive atomic.Bool

	mu sync.Mutex
	// outstanding holds the relays in progress that may be retried elsewhere.
	outstanding map[*relay]bool
}

const (
	// maxRandomPeers is the largest number of random peers that are asked to ping
	// a peer that did not respond, or asked for a list of targets.
	maxRandomPeers = 3
	// relayConnections limits the connections for relayed requests to a peer.
	relayConnections = 512
	relayDialTimeout = 500 * time.Millisecond
	relayIdleLimit   = 30 * time.Second
	relayHeaderLimit = 128 << 10
	// probeIdleLimit is how long an idle connection for probes is kept. In a
	// large fleet each peer is probed too rarely for the connection to be
	// reused.
	probeIdleLimit = 10 * time.Second
	// fetchTimeout bounds the fetching of a configuration from a peer.
	fetchTimeout = 5 * time.Second
	// maxRPCHeader bounds the header section of a response of a peer, which has a
	// few short fields, and maxRPCResponse its body. A body holds one value of the
	// platform at most, as a message of a stream does.
	maxRPCHeader   = 64 * unit.KiB
	maxRPCResponse = maxStreamMessage
)

func newLink(s *Service, m roster.Member) *link {
	ctx, cancel := context.WithCancel(s.ctx)
	dialer := &net.Dialer{KeepAlive: -1}
	failureDomain := m.FailureDomain
	client := newRPCClient(dialFunc(s.traffic(failureDomain, metric.PeerLink).Dial(dialer.DialContext)), fetchTimeout)
	relayDialer := &net.Dialer{Timeout: relayDialTimeout}
	return &link{
		service:       s,
		host:          m.Host,
		address:       m.Peers,
		failureDomain: failureDomain,
		client:        peerpb.NewPeerProtobufClient("http://"+string(m.Peers), client),
		http:          client,
		relayPool: exchange.New(exchange.Config{
			Address:        m.Peers,
			Connections:    relayConnections,
			DialTimeout:    relayDialTimeout,
			IdleLimit:      relayIdleLimit,
			HeaderLimit:    relayHeaderLimit,
			ResponseBuffer: s.cfg.Limits.AnswerBuffer,
			Memory:         s.cfg.Memory,
			Dial:           s.traffic(failureDomain, metric.RelayLink).Dial(relayDialer.DialContext),
		}),
		probeRequests: make(chan struct{}, 1),
		fetchRequests: make(chan id.ConfigVersion, 1),
		ctx:           ctx,
		cancel:        cancel,
		outstanding:   make(map[*relay]bool),
	}
}

// traffic returns the counters of the bytes to and from a peer in a failure domain; nil
// if that is this daemon's own or not known.
func (s *Service) traffic(domain id.FailureDomain, link metric.Link) *metric.Traffic {
	if domain == "" || domain == s.cfg.Self.FailureDomain {
		return nil
	}
	return metric.NewTraffic(s.cfg.Scope, link, "")
}

// dialFunc opens a connection, see http.Transport.DialContext.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// newRPCClient returns an HTTP client for the RPCs to one peer.
func newRPCClient(dial dialFunc, timeout time.Duration) *http.Client {
	transport := &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 1, IdleConnTimeout: probeIdleLimit, DisableCompression: true}
	limits := message.ResponseLimits{Header: maxRPCHeader, Body: maxRPCResponse}
	return &http.Client{Transport: message.LimitResponses(transport, limits), Timeout: timeout}
}

func (l *link) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.probeRequests:
			l.probe(ctx)
		case v := <-l.fetchRequests:
			l.fetch(ctx, v)
		}
		l.relayPool.Trim(time.Now())
	}
}

// requestProbe makes the link's task probe the peer. It does not block.
func (l *link) requestProbe() {
	select {
	case l.probeRequests <- struct{}{}:
	default:
	}
}

// requestFetch makes the link's task fetch the peer's configuration if v, the
// version that the peer has in force, is newer than this daemon's. It does not
// block.
func (l *link) requestFetch(v id.ConfigVersion) {
	if configuration.Accept(l.service.store.Version(), v) != configuration.Accepted {
		return
	}
	select {
	case l.fetchRequests <- v:
	default:
	}
}

func (l *link) close() {
	l.cancel()
	l.relayPool.Close()
	l.http.CloseIdleConnections()
}

// A peer must respond to a probe within the probe interval divided by
// probeTimeoutDivisor.
const probeTimeoutDivisor = 4

// probe pings the peer. If it does not respond, other peers are asked to ping
// it, since only the network path from this daemon may be broken.
func (l *link) probe(ctx context.Context) {
	timeout := l.service.cfg.Timing.Probe / probeTimeoutDivisor
	started := time.Now()
	if l.ping(ctx, timeout) {
		l.setUnresponsive(false)
		return
	}
	l.handlePingFailure()
	reached := l.pingIndirectly(ctx, timeout)
	// A process that was paused in the meantime received nothing; that is no
	// evidence against the peer.
	paused := time.Since(started) > 2*pauseFactor*timeout
	if !reached && !paused && ctx.Err() == nil {
		l.service.handleProbeFailure(l.host)
	}
}

func (l *link) setUnresponsive(unresponsive bool) {
	if l.unresponsive.Swap(unresponsive) != unresponsive {
		l.service.responsivenessChanges.Add(1)
	}
}

// handlePingFailure records that the peer did not respond to the direct ping of a
// probe, and cancels the outstanding relays to it, so that they are retried
// elsewhere.
func (l *link) handlePingFailure() {
	l.setUnresponsive(true)
	l.mu.Lock()
	defer l.mu.Unlock()
	for r := range l.outstanding {
		r.cancel(errPeerUnresponsive)
	}
}

func (l *link) ping(ctx context.Context, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	news, err := l.client.Ping(ctx, l.service.newsFor(l.host))
	if err != nil || id.Host(news.GetFrom().GetHost()) != l.host {
		return false
	}
	l.service.receiveNews(news)
	return true
}

// pingIndirectly asks several peers in parallel to ping this link's peer, and
// reports whether one of them reached it.
func (l *link) pingIndirectly(ctx context.Context, timeout time.Duration) bool {
	list := l.service.randomPeers(l.host)
	pings := make([]*indirectPing, len(list))
	var group conc.WaitGroup
	for i, via := range list {
		p := &indirectPing{via: via, peer: l, timeout: 2 * timeout}
		pings[i] = p
		group.Go(func() { p.run(ctx) })
	}
	group.Wait()
	for _, p := range pings {
		if p.reached.GetAnswered() {
			l.service.receiveNews(&peerpb.News{From: p.reached.GetMember()})
			return true
		}
	}
	return false
}

// indirectPing is one attempt to reach a peer via another one.
type indirectPing struct {
	via     *link
	peer    *link
	timeout time.Duration
	reached *peerpb.Reached
}

func (p *indirectPing) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	reached, err := p.via.client.PingVia(ctx, &peerpb.Detour{Host: string(p.peer.host), Peers: string(p.peer.address)})
	if err == nil {
		p.reached = reached
	}
}

// fetch fetches the peer's configuration if v is newer than the version in
// force.
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
		s.cfg.Log.Warn().Str("Peer", string(l.host)).Err(err).Msg("configuration from a peer cannot be read")
		return
	}
	s.store.Offer(docs, "peer "+string(l.host))
}

// TargetsOfPeers returns the last valid list of a service's targets that a peer
// received. It asks up to maxRandomPeers random peers, one after the other.
func (s *Service) TargetsOfPeers(ctx context.Context, service id.Service) ([]byte, bool) {
	for _, l := range s.randomPeers(s.cfg.Self.Host) {
		d, err := l.client.Targets(ctx, &peerpb.ValueRequest{Service: string(service)})
		if err == nil {
			return d.GetData(), true
		}
	}
	return nil, false
}
