package dispatch

import (
	"context"
	"net/http"
	"time"

	"github.com/briarrouter/briarrouter/configuration"
	"github.com/briarrouter/briarrouter/exchange"
	"github.com/briarrouter/briarrouter/outcome"
	"github.com/briarrouter/briarrouter/schedule"
)

// prober asks one target for its health. A good answer proves little, since
// health endpoints lag and mislead; a refused connection and a sign of leaving
// are believed.
type prober struct {
	service  *serviceDispatcher
	endpoint schedule.Endpoint
	pool     *exchange.Pool
}

// probedAfterUse is how long after its last request a service is still probed.
const probedAfterUse = 30 * time.Second

func (p *prober) loop(ctx context.Context) {
	for {
		probe, contract := p.policy()
		timer := time.NewTimer(probe.Every)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		if p.wanted() {
			p.probe(ctx, probe, contract)
		}
	}
}

func (p *prober) policy() (configuration.Probe, configuration.Contract) {
	s := p.service
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.policy.Probe, s.policy.Target
}

func (p *prober) wanted() bool {
	s := p.service
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.used) < probedAfterUse
}

func (p *prober) probe(ctx context.Context, probe configuration.Probe, contract configuration.Contract) {
	ctx, cancel := context.WithTimeout(ctx, probe.Timeout)
	defer cancel()
	reply := p.pool.Do(ctx, exchange.Call{
		Method: http.MethodGet, URI: probe.Path, Host: string(p.endpoint.Address), MaxIdle: idleLimit,
	})
	reply.Release()
	if reply.Rest != nil {
		reply.Rest.Close()
	}
	p.service.probed(p.endpoint, reply, contract)
}

// probed draws the conclusions from a probe.
func (s *serviceDispatcher) probed(e schedule.Endpoint, reply exchange.Reply, contract configuration.Contract) {
	now := time.Now()
	leaving := reply.Ending == outcome.Answered && contract.DrainHeader != "" && reply.Header.Get(contract.DrainHeader) != ""
	if leaving {
		s.owner.leaves(s.name, e.Address)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case reply.Ending == outcome.DialFailed:
		s.scheduler.SetUnreachable(now, e.ID)
	case leaving:
		s.scheduler.SetLeaving(now, e.Address)
	case reply.Ending == outcome.Answered && s.scheduler.SetServing(now, e.Address):
		s.owner.serves(e.Address)
	}
}
