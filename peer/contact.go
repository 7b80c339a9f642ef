package peer

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/briarrouter/briarrouter/clock"
	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/peer/peerpb"
	"github.com/briarrouter/briarrouter/roster"
)

// contact asks one address, where a daemon may run, for its news, until the
// roster knows a daemon there. Without a published list of daemons these
// addresses are all that a process knows of the others; once in a while each is
// asked again, so that two parts of the fleet that lost each other meet.
type contact struct {
	service *Service
	address id.Address
	client  peerpb.Peer
	http    *http.Client
}

const (
	// contactTimeout bounds one question; an address without a host hangs.
	contactTimeout = 500 * time.Millisecond
	// contactEvery is the time between two questions while no daemon is known
	// at the address, contactSlow that after the fleet was found elsewhere.
	contactEvery = 60 * time.Millisecond
	contactSlow  = 3 * time.Second
)

func newContact(s *Service, address id.Address) *contact {
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1, IdleConnTimeout: idleProbes}, Timeout: contactTimeout}
	return &contact{service: s, address: address, http: client, client: peerpb.NewPeerProtobufClient("http://"+string(address), client)}
}

func (c *contact) run(ctx context.Context) {
	defer c.http.CloseIdleConnections()
	for ctx.Err() == nil {
		if !c.service.knows(c.address) {
			c.ask(ctx)
		}
		pause := contactEvery
		if c.service.found() {
			pause = contactSlow
		}
		clock.Sleep(ctx, pause/2+rand.N(pause))
	}
}

func (c *contact) ask(ctx context.Context) {
	news, err := c.client.Ping(ctx, c.service.news(""))
	if err != nil {
		c.service.cfg.Log.Debug().Str("Address", string(c.address)).AnErr("Cause", err).Msg("seed does not answer")
		return
	}
	c.service.heard(news)
}

// knows tells whether a daemon that may be alive is known at an address.
func (s *Service) knows(address id.Address) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range s.table.Members() {
		if m.Peers == address && m.State != roster.Dead && m.Incarnation != 0 {
			return true
		}
	}
	return false
}

// found tells whether other daemons are known.
func (s *Service) found() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.table.Members()) > 1
}
