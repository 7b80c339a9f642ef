package command

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/briarrouter/briarrouter/caller"
	"github.com/briarrouter/briarrouter/configuration"
	"github.com/briarrouter/briarrouter/dispatch"
	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/kernel"
	"github.com/briarrouter/briarrouter/ledger"
	"github.com/briarrouter/briarrouter/memory"
	"github.com/briarrouter/briarrouter/metric"
	"github.com/briarrouter/briarrouter/operator"
	"github.com/briarrouter/briarrouter/peer"
	"github.com/briarrouter/briarrouter/publication"
	"github.com/briarrouter/briarrouter/roster"
	"github.com/briarrouter/briarrouter/router"
	"github.com/briarrouter/briarrouter/settings"
	"github.com/rs/zerolog"
)

// serve is the command that runs a daemon.
type serve struct {
	streams  streams
	Settings string `long:"settings" value-name:"FILE" required:"yes" description:"the daemon's settings (INI)"`
	LogLevel string `long:"log-level" choice:"debug" choice:"info" choice:"warn" choice:"error" default:"info" description:"the least level of log lines"`
}

// Execute runs the daemon until a signal ends it.
func (s *serve) Execute([]string) error {
	daemon, err := settings.Read(s.Settings)
	if err != nil {
		return invalid(err)
	}
	level, err := zerolog.ParseLevel(s.LogLevel)
	if err != nil {
		return err
	}
	log := newLogger(s.streams.err).Level(level).With().Str("Host", string(daemon.Host)).Logger()
	k := newKernel(daemon, log, time.Now())
	if err := k.Start(context.Background()); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	<-ctx.Done()
	return k.Stop(context.Background())
}

// answersShare is the part of the memory for bodies that holds answers for
// repeats of keys.
const answersShare = 2

// newKernel registers the services of a daemon. They start in this order and
// stop in the reverse order.
func newKernel(daemon settings.Daemon, log zerolog.Logger, now time.Time) *kernel.Kernel {
	self := roster.Member{
		Host:          daemon.Host,
		FailureDomain: daemon.FailureDomain,
		Callers:       daemon.Callers,
		Peers:         daemon.Peers,
		Incarnation:   id.NewIncarnation(now),
	}
	seed := uint64(self.Incarnation)
	gate := memory.New(daemon.Limits.Buffers)
	metrics := metric.New()
	scope := metrics.Scope()

	k := kernel.New()
	k.Register(metric.ServiceName, metrics)
	k.Register(operator.ServiceName, operator.New(operator.Config{Address: daemon.Operator, Log: log}))
	k.Register(configuration.ServiceName, configuration.NewStore(configuration.StoreConfig{Log: log}))
	k.Register(dispatch.ServiceName, dispatch.New(dispatch.Config{
		Log: log, Scope: scope, Memory: gate, AnswerBuffer: daemon.Limits.AnswerBuffer, Seed: seed,
	}))
	k.Register(peer.ServiceName, peer.New(peer.Config{
		Self: self, Limits: daemon.Limits, Timing: daemon.Timing, Memory: gate, Scope: scope, Log: log, Seed: seed,
	}))
	k.Register(publication.ServiceName, publication.NewReader(publication.Config{Addresses: daemon.Platform, Log: log}))
	k.Register(router.ServiceName, router.New(router.Config{
		Ledger: ledger.Config{
			Incarnation: self.Incarnation, Start: now, Epoch: daemon.Timing.Epoch,
			Keys: daemon.Limits.Keys, Answers: daemon.Limits.Buffers / answersShare,
		},
		Scope: scope,
	}))
	k.Register(caller.ServiceName, caller.New(caller.Config{
		Address: daemon.Callers, Limits: daemon.Limits, Timing: daemon.Timing, Memory: gate, Log: log,
	}))
	return k
}
