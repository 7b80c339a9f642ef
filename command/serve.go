package command

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"slices"
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
	"github.com/briarrouter/briarrouter/platform"
	"github.com/briarrouter/briarrouter/publication"
	"github.com/briarrouter/briarrouter/registry"
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
	data, err := os.ReadFile(s.Settings)
	if err != nil {
		return invalid(fmt.Errorf("settings: %w", err))
	}
	daemon, err := settings.Parse(s.Settings, data)
	if err != nil {
		return invalid(err)
	}
	level, err := zerolog.ParseLevel(s.LogLevel)
	if err != nil {
		return err
	}
	out := newLogWriter(s.streams.out)
	defer out.Close()
	log := newLogger(out).Level(level).With().Str("Host", string(daemon.Host)).Logger()
	a := &assembly{daemon: daemon, log: log, dropped: out.dropped, now: time.Now()}
	k, err := a.kernel()
	if err != nil {
		return invalid(err)
	}
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	return run(k, &reloader{path: s.Settings, log: log, kernel: k, signals: reload, current: daemon, data: data})
}

// run starts the services, waits for a signal, and stops them.
func run(k *kernel.Kernel, r *reloader) error {
	daemon, log := r.current, r.log
	log.Info().Str("FailureDomain", string(daemon.FailureDomain)).Int("Seeds", len(daemon.Seeds)).Msg("starting")
	if err := k.Start(context.Background()); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	r.run(ctx)
	daemon = r.current
	log.Info().Dur("Bound", daemon.Timing.Stop).Msg("stopping")
	ctx = context.Background()
	if daemon.Timing.Stop > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, daemon.Timing.Stop)
		defer cancel()
	}
	err := k.Stop(ctx)
	log.Info().AnErr("Cause", err).Msg("stopped")
	return err
}

// answersShare is the part of the memory for bodies that holds answers for
// repeats of keys.
const answersShare = 2

// assembly puts the services of a daemon together.
type assembly struct {
	daemon settings.Daemon
	log    zerolog.Logger
	// dropped returns how many log lines were dropped; nil where there is no log.
	dropped func() int64
	now     time.Time
}

// kernel registers the services of a daemon. They start in this order and stop
// in the reverse order.
func (a *assembly) kernel() (*kernel.Kernel, error) {
	daemon, log := a.daemon, a.log
	terms, err := platform.ParseTerms(daemon.Store.Terms)
	if err != nil {
		return nil, err
	}
	self := roster.Member{
		Host:          daemon.Host,
		FailureDomain: daemon.FailureDomain,
		Callers:       daemon.Advertised.Callers,
		Peers:         daemon.Advertised.Peers,
		Incarnation:   id.NewIncarnation(a.now),
		Room:          daemon.Room,
	}
	seed := uint64(self.Incarnation)
	gate := memory.New(daemon.Limits.Buffers)
	metrics := metric.New()
	scope := metrics.Scope()
	onStore := daemon.Store.Address != ""
	requestLog := log.Sample(newRequestSampler(scope))

	k := kernel.New()
	if a.dropped != nil {
		k.Register(logName, logService{a.dropped})
	}
	k.Register(metric.ServiceName, metrics)
	k.Register(operator.ServiceName, operator.New(operator.Config{Address: daemon.Operator, Log: log}))
	k.Register(configuration.ServiceName, a.store(terms))
	k.Register(dispatch.ServiceName, dispatch.New(dispatch.Config{
		Log: requestLog, Scope: scope, Memory: gate, AnswerBuffer: daemon.Limits.AnswerBuffer, Domain: daemon.FailureDomain, Seed: seed,
	}))
	k.Register(peer.ServiceName, peer.New(peer.Config{
		Self: self, Listen: daemon.Peers, Limits: daemon.Limits, Timing: daemon.Timing, Memory: gate, Scope: scope, Log: log, Seed: seed, Seeds: daemon.Seeds,
	}))
	if onStore {
		k.Register(registry.ServiceName, registry.New(registry.Config{
			Source: platform.NewStore(daemon.Store.Address), Log: log, Scope: scope,
			Seed: slices.Contains(daemon.Seeds, daemon.Advertised.Peers),
		}))
	} else {
		k.Register(publication.ServiceName, publication.NewReader(publication.Config{Addresses: daemon.Platform, Log: log}))
	}
	k.Register(router.ServiceName, router.New(router.Config{
		Ledger: ledger.Config{
			Incarnation: self.Incarnation, Start: a.now, Epoch: daemon.Timing.Epoch,
			Keys: daemon.Limits.Keys, Answers: daemon.Limits.Buffers / answersShare,
		},
		Scope: scope,
		Local: onStore,
	}))
	callers := caller.Config{Address: daemon.Callers, Limits: daemon.Limits, Timing: daemon.Timing, Memory: gate, Log: requestLog}
	if onStore {
		callers.Dialect = platform.Dialect{}
		k.Register(platform.DirectoryName, platform.NewDirectory(platform.DirectoryConfig{
			Resolve: daemon.Directory.Resolve, Ready: daemon.Directory.Ready, Hold: hold(daemon, terms), Log: log,
		}))
	}
	k.Register(caller.ServiceName, caller.New(callers))
	return k, nil
}

// store returns the store of the format that the platform publishes in.
func (a *assembly) store(terms platform.Terms) *configuration.Store {
	cfg := configuration.StoreConfig{Log: a.log}
	if a.daemon.Store.Address != "" {
		cfg.Format = platform.Format{Policy: storePolicy(terms)}
	}
	return configuration.NewStore(cfg)
}

const (
	// storeQueue bounds the requests of a service that wait at one daemon: more
	// than a daemon of the sizes in use can answer within any deadline.
	storeQueue = 256
	// storeAvoidance is how many requests on each of its slots the certainty
	// that a target fails weighs. A failed unrepeatable request is lost, while
	// one that waits is only late.
	storeAvoidance = 8
	// storeDistance makes an upload of 64 KiB share a target of this failure
	// domain rather than cross to an idle one.
	storeDistance = 0.6
	// storeHedge is passed by about one in twenty requests of the work that
	// callers of the platform describe: a spread of 0.8 and a tail of 3%.
	storeHedge = 2.5
	// storeWarmup is how long a target that is new during the day gets less.
	storeWarmup = 2 * time.Second
)

// storePolicy is the policy of services that the platform's configuration names
// without a questionnaire. Nothing is ejected: targets there fail for seconds,
// and ranking answers that without a floor to mind.
func storePolicy(terms platform.Terms) configuration.Service {
	return configuration.Service{
		Slots:      1,
		Floor:      1,
		LongShare:  1,
		Queue:      storeQueue,
		RetryShare: terms.RetryShare,
		RetryBurst: terms.RetryBurst,
		Attempts:   1,
		Avoidance:  storeAvoidance,
		Spread:     terms.FloorShare,
		Hedge:      storeHedge,
		Distance:   storeDistance,
		Warmup:     storeWarmup,
	}
}
