package peer

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/briarrouter/briarrouter/clock"
	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/peer/peerpb"
	"github.com/briarrouter/briarrouter/roster"
)

// seedPoller pings one seed address, at which a peer may run, whenever the
// roster has no live member with this address. Without a published list of
// daemons, this daemon knows no other addresses at the start. The check is
// repeated until this daemon stops, so that two parts of the fleet that lost
// contact reconnect.
type seedPoller struct {
	service *Service
	address id.Address
	client  peerpb.Peer
	http    *http.Client
}

const (
	// seedTimeout bounds one ping; dialing an address that no host has gets no
	// reply.
	seedTimeout = 500 * time.Millisecond
	// seedInterval is the average pause between two checks of an address as long
	// as no other daemon is known, seedSlowInterval the pause once one is known.
	seedInterval     = 60 * time.Millisecond
	seedSlowInterval = 3 * time.Second
)

func newSeedPoller(s *Service, address id.Address) *seedPoller {
	client := newRPCClient((&net.Dialer{}).DialContext, seedTimeout)
	return &seedPoller{service: s, address: address, http: client, client: peerpb.NewPeerProtobufClient("http://"+string(address), client)}
}

func (p *seedPoller) run(ctx context.Context) {
	defer p.http.CloseIdleConnections()
	for ctx.Err() == nil {
		if !p.service.knowsAddress(p.address) {
			p.ping(ctx)
		}
		pause := seedInterval
		if p.service.hasPeers() {
			pause = seedSlowInterval
		}
		clock.Sleep(ctx, pause/2+rand.N(pause))
	}
}

func (p *seedPoller) ping(ctx context.Context) {
	news, err := p.client.Ping(ctx, p.service.newsFor(""))
	if err != nil {
		p.service.cfg.Log.Debug().Str("Address", string(p.address)).AnErr("Cause", err).Msg("seed address does not respond")
		return
	}
	p.service.receiveNews(news)
}

// knowsAddress reports whether a member that was heard from and is not dead has
// the address.
func (s *Service) knowsAddress(address id.Address) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range s.table.Members() {
		if m.Peers == address && m.State != roster.Dead && m.Incarnation != 0 {
			return true
		}
	}
	return false
}

func (s *Service) hasPeers() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.table.Members()) > 1
}
