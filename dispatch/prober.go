package dispatch

import (
	"context"
	"net/http"
	"time"

	"github.com/briarrouter/briarrouter/configuration"
	"github.com/briarrouter/briarrouter/exchange"
	"github.com/briarrouter/briarrouter/outcome"
	"github.com/briarrouter/briarrouter/schedule"
	"github.com/briarrouter/briarrouter/statement"
)

// prober sends health checks to one target. Health endpoints lag behind the
// target's state and can be wrong, so a successful health check does not make a
// target count as healthy. Only a failed dial, a statement of the target and its absence have
// an effect: responses without a statement can return a leaving target to
// service, see schedule.Scheduler.SetServing.
type prober struct {
	service  *serviceDispatcher
	endpoint schedule.Endpoint
	pool     *exchange.Pool
}

// probeAfterUse is how long after a service's last request its targets are still
// probed.
const probeAfterUse = 30 * time.Second

func (p *prober) loop(ctx context.Context) {
	for {
		probe, contract := p.config()
		timer := time.NewTimer(probe.Every)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		if p.serviceInUse() {
			p.probe(ctx, probe, contract)
		}
	}
}

func (p *prober) config() (configuration.Probe, configuration.Contract) {
	s := p.service
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.policy.Probe, s.policy.Contract
}

func (p *prober) serviceInUse() bool {
	s := p.service
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.lastUsed) < probeAfterUse
}

func (p *prober) probe(ctx context.Context, probe configuration.Probe, contract configuration.Contract) {
	ctx, cancel := context.WithTimeout(ctx, probe.Timeout)
	defer cancel()
	started := time.Now()
	reply := p.pool.Do(ctx, exchange.Call{
		Method: http.MethodGet, URI: probe.Path, Host: string(p.endpoint.Address), MaxIdle: idleLimit,
	})
	reply.Release()
	if reply.Rest != nil {
		reply.Rest.Close()
	}
	p.service.handleProbe(p.endpoint, started, reply, contract)
}

// handleProbe applies the result of a health check that was sent at a time.
func (s *serviceDispatcher) handleProbe(e schedule.Endpoint, sentAt time.Time, reply exchange.Reply, contract configuration.Contract) {
	now := time.Now()
	var said statement.Statement
	if reply.Ending == outcome.Answered {
		var err error
		said, err = parseStatement(&reply, contract)
		s.recordStatement(sentAt, e, said, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case reply.Ending == outcome.DialFailed:
		s.scheduler.SetUnreachable(now, e.ID)
	case reply.Ending == outcome.Answered && !said.Leaving:
		s.scheduler.SetServing(now, e.Address)
	}
}
