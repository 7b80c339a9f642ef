package command

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"slices"
	"syscall"
	"time"

	"github.com/briarrouter/briarrouter/caller"
	"github.com/briarrouter/briarrouter/configuration"
	"github.com/briarrouter/briarrouter/departure"
	"github.com/briarrouter/briarrouter/dispatch"
	"github.com/briarrouter/briarrouter/exchange"
	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/idempotency"
	"github.com/briarrouter/briarrouter/kernel"
	"github.com/briarrouter/briarrouter/memory"
	"github.com/briarrouter/briarrouter/metric"
	"github.com/briarrouter/briarrouter/operator"
	"github.com/briarrouter/briarrouter/peer"
	"github.com/briarrouter/briarrouter/platform"
	"github.com/briarrouter/briarrouter/publication"
	"github.com/briarrouter/briarrouter/quota"
	"github.com/briarrouter/briarrouter/registry"
	"github.com/briarrouter/briarrouter/roster"
	"github.com/briarrouter/briarrouter/router"
	"github.com/briarrouter/briarrouter/settings"
	"github.com/rs/zerolog"
)

// serveCommand implements the subcommand that runs a daemon.
type serveCommand struct {
	streams  streams
	Settings string `long:"settings" value-name:"FILE" required:"yes" description:"settings file of the daemon (INI)"`
	LogLevel string `long:"log-level" choice:"debug" choice:"info" choice:"warn" choice:"error" default:"info" description:"minimum level of log lines"`
}

// Execute runs the daemon until SIGINT or SIGTERM.
func (s *serveCommand) Execute([]string) error {
	// A SIGHUP during the start is handled after it.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	data, err := os.ReadFile(s.Settings)
	if err != nil {
		return invalidInputError(fmt.Errorf("settings: %w", err))
	}
	daemon, err := settings.Parse(s.Settings, data)
	if err != nil {
		return invalidInputError(err)
	}
	level, err := zerolog.ParseLevel(s.LogLevel)
	if err != nil {
		return err
	}
	out := newLogWriter(s.streams.out)
	defer flushLog(out)
	log := newLogger(out).Level(level).With().Str("Host", string(daemon.Host)).Logger()
	if limit := daemon.Limits.SoftMemoryLimit(); limit > 0 {
		debug.SetMemoryLimit(int64(limit))
	}
	b := &daemonBuilder{daemon: daemon, log: log, dropped: out.dropped, now: time.Now()}
	k, err := b.buildKernel()
	if err != nil {
		return invalidInputError(err)
	}
	return run(k, &reloader{path: s.Settings, log: log, kernel: k, signals: reload, current: daemon, data: data, stopBound: b.stopBound})
}

// logFlushTime is how long the process waits at its end for the reader of the log.
const logFlushTime = 100 * time.Millisecond

// logFlush is the writing of the lines that are buffered at the end of the process.
type logFlush struct {
	out  logWriter
	done chan struct{}
}

// flushLog writes the buffered lines and drops those that the reader of the log has not
// taken within logFlushTime.
func flushLog(out logWriter) {
	f := &logFlush{out, make(chan struct{})}
	go f.run()
	timer := time.NewTimer(logFlushTime)
	defer timer.Stop()
	select {
	case <-f.done:
	case <-timer.C:
	}
}

func (f *logFlush) run() {
	defer close(f.done)
	f.out.Close()
}

// killMargin is how long before the platform kills a daemon its stop ends.
const killMargin = 500 * time.Millisecond

// stopBound returns how long a stop may take: Timing.Stop, or what the platform whose
// store the daemon reads grants if the settings set none. It is an error if callers may
// still hold the daemon's address when the stop has to end.
func stopBound(daemon settings.Daemon, terms platform.Terms) (time.Duration, error) {
	bound := daemon.Timing.Stop
	if daemon.Store.Address != "" {
		granted := terms.Grace - killMargin
		if bound > granted {
			return 0, fmt.Errorf("settings: [Timing] Stop = %s is longer than the platform's grace of %s less %s", bound, terms.Grace, killMargin)
		}
		if bound == 0 {
			bound = granted
		}
	}
	if bound > 0 && daemon.Timing.Hold > bound {
		return 0, fmt.Errorf("settings: [Timing] Hold = %s is longer than a stop may take, %s", daemon.Timing.Hold, bound)
	}
	return bound, nil
}

// stopRequest is the first SIGINT or SIGTERM to the process. Later ones change nothing.
type stopRequest struct {
	signals chan os.Signal
	// ctx ends when the signal has arrived.
	ctx    context.Context
	cancel context.CancelFunc
	// at is when the signal arrived. It is set before ctx ends.
	at time.Time
}

// newStopRequest replaces the default action of the signals, which is to end the process.
func newStopRequest() *stopRequest {
	s := &stopRequest{signals: make(chan os.Signal, 1)}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	signal.Notify(s.signals, os.Interrupt, syscall.SIGTERM)
	go s.run()
	return s
}

func (s *stopRequest) run() {
	<-s.signals
	s.at = time.Now()
	s.cancel()
}

// begin returns when the stop began: when the signal arrived or, if none has, now.
func (s *stopRequest) begin() time.Time {
	if s.ctx.Err() == nil {
		return time.Now()
	}
	return s.at
}

// run starts the services, applies changed settings until SIGINT or SIGTERM, and
// stops the services. A signal during the start ends the start. If a service fails to
// start, run stops those already started.
func run(k *kernel.Kernel, r *reloader) error {
	daemon, log := r.current, r.log
	log.Info().Str("FailureDomain", string(daemon.FailureDomain)).Int("Seeds", len(daemon.Seeds)).Msg("starting")
	stop := newStopRequest()
	err := k.Start(stop.ctx)
	switch {
	case errors.Is(err, context.Canceled):
		err = leave(k)
	case err == nil:
		go r.run(stop.ctx)
		<-stop.ctx.Done()
	}
	return errors.Join(err, stopServices(k, log, stop.begin(), r.end()))
}

// leave keeps a daemon that is stopped during its start from becoming ready until its
// peer service has stopped.
func leave(k *kernel.Kernel) error {
	member, err := kernel.Find[interface{ Leave(plan *departure.Plan) }](k, peer.ServiceName)
	if err != nil {
		return err
	}
	member.Leave(nil)
	return nil
}

// stopServices stops the services that have started. It ends at most the bound that
// stopBound gives after the stop began, or, if that is zero, when the requests in progress
// have ended.
func stopServices(k *kernel.Kernel, log zerolog.Logger, begin time.Time, bound time.Duration) error {
	log.Info().Dur("Bound", bound).Dur("Since", time.Since(begin)).Msg("stopping")
	ctx := context.Background()
	if bound > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, begin.Add(bound))
		defer cancel()
	}
	err := k.Stop(ctx)
	log.Info().AnErr("Cause", err).Msg("stopped")
	return err
}

// recordedResponsesDivisor bounds the responses that are recorded for retries with
// the same idempotency key: their total size is at most Limits.Buffers, the memory
// for bodies, divided by this.
const recordedResponsesDivisor = 2

// daemonBuilder creates the services of a daemon from its settings.
type daemonBuilder struct {
	daemon settings.Daemon
	log    zerolog.Logger
	// dropped returns the number of dropped log lines. If it is nil, no log service
	// is registered.
	dropped func() int64
	now     time.Time
	// stopBound is set by buildKernel; see the function.
	stopBound time.Duration
}

// buildKernel registers the services of a daemon. They start in the order of
// registration and stop in the reverse order.
func (b *daemonBuilder) buildKernel() (*kernel.Kernel, error) {
	daemon, log := b.daemon, b.log
	terms, err := platform.ParseTerms(daemon.Store.Terms)
	if err != nil {
		return nil, err
	}
	if b.stopBound, err = stopBound(daemon, terms); err != nil {
		return nil, err
	}
	self := roster.Member{
		Host:          daemon.Host,
		FailureDomain: daemon.FailureDomain,
		Callers:       daemon.Advertised.Callers,
		Peers:         daemon.Advertised.Peers,
		Incarnation:   id.NewIncarnation(b.now),
		Room:          daemon.Room,
	}
	seed := uint64(self.Incarnation)
	processMemory := memory.New(daemon.Limits.Buffers)
	metrics := metric.New()
	scope := metrics.Scope()
	processMemory.Report(scope)
	// The daemon reads either the store of the platform on which the fleet is
	// deployed, or publications in the project's own format.
	usesStore := daemon.Store.Address != ""
	requestLog := log.Sample(newRequestSampler(scope))

	if usesStore {
		log.Info().EmbedObject(terms).Msg("terms of the platform")
	}
	k := kernel.New()
	if b.dropped != nil {
		k.Register(logServiceName, logService{b.dropped})
	}
	k.Register(metric.ServiceName, metrics)
	k.Register(operator.ServiceName, operator.New(operator.Config{
		Address: daemon.Operator, Memory: processMemory, Connections: daemon.Limits.ServiceConnections(), Buffers: daemon.Limits.ServiceBuffers(), Scope: scope, Log: log,
	}))
	k.Register(configuration.ServiceName, b.newConfigurationStore(terms))
	k.Register(dispatch.ServiceName, dispatch.New(dispatch.Config{
		Log: requestLog, Scope: scope, Memory: processMemory, ResponseBuffer: daemon.Limits.AnswerBuffer, Connections: targetConnections(daemon.Limits),
		Buffers: daemon.Limits.TargetBuffers(),
		Host:    daemon.Host, FailureDomain: daemon.FailureDomain, Crossing: daemon.Crossing, Seed: seed,
	}))
	k.Register(peer.ServiceName, peer.New(peer.Config{
		Self: self, Listen: daemon.Peers, Limits: daemon.Limits, Timing: daemon.Timing, Memory: processMemory, Scope: scope, Log: log, RandomSeed: seed, Seeds: daemon.Seeds,
	}))
	if usesStore {
		k.Register(registry.ServiceName, registry.New(registry.Config{
			Platform: platform.NewStoreClient(daemon.Store.Address, metric.NewTraffic(scope, metric.StoreLink, "")), Log: log, Scope: scope,
			Seed: slices.Contains(daemon.Seeds, daemon.Advertised.Peers), InForce: terms.InForce(),
			OwnDomain: daemon.Crossing.Enabled(),
		}))
	} else {
		k.Register(publication.ServiceName, publication.NewReader(publication.Config{Addresses: daemon.Platform, Log: log}))
	}
	if usesStore {
		k.Register(quota.ServiceName, quota.New(quota.ServiceConfig{
			Ledger: quota.Config{Host: daemon.Host, Incarnation: self.Incarnation, Start: b.now, HasPeers: b.hasOtherSeeds()},
			Scope:  scope, Log: requestLog,
		}))
	}
	k.Register(router.ServiceName, router.New(router.Config{
		Idempotency: idempotency.Config{
			Incarnation: self.Incarnation, Start: b.now, Epoch: daemon.Timing.Epoch,
			Keys: daemon.Limits.Keys, ResponseBytes: daemon.Limits.Buffers / recordedResponsesDivisor,
		},
		Scope: scope,
		Local: usesStore,
	}))
	callerConfig := caller.Config{Address: daemon.Callers, Limits: daemon.Limits, Timing: daemon.Timing, Memory: processMemory, Buffers: daemon.Limits.CallerBuffers(), Log: requestLog}
	if usesStore {
		callerConfig.Dialect = platform.Dialect{}
		k.Register(platform.DirectoryName, platform.NewDirectory(platform.DirectoryConfig{
			Resolve: daemon.Directory.Resolve, Ready: daemon.Directory.Ready, TTL: addressTTL(daemon, terms), Memory: processMemory,
			Connections: daemon.Limits.ServiceConnections(), Buffers: daemon.Limits.ServiceBuffers(), Scope: scope, Log: log,
		}))
	}
	k.Register(caller.ServiceName, caller.New(callerConfig))
	return k, nil
}

// hasOtherSeeds reports whether the settings name another daemon of the fleet.
func (b *daemonBuilder) hasOtherSeeds() bool {
	return slices.ContainsFunc(b.daemon.Seeds, func(a id.Address) bool { return a != b.daemon.Advertised.Peers })
}

// targetConnections returns the bound on the connections to targets; nil for none.
func targetConnections(l settings.Limits) *exchange.Budget {
	if n := l.TargetConnections(); n > 0 {
		return exchange.NewBudget(n)
	}
	return nil
}

// newConfigurationStore returns a configuration store for the format that the
// daemon reads: that of the platform's store if Store.Address is set, INI otherwise.
func (b *daemonBuilder) newConfigurationStore(terms platform.Terms) *configuration.Store {
	cfg := configuration.StoreConfig{Log: b.log}
	if b.daemon.Store.Address != "" {
		cfg.Format = platform.Format{Policy: policyForStoreServices(terms)}
	}
	return configuration.NewStore(cfg)
}

// Policy values that the configuration in the platform's store does not contain;
// policyForStoreServices applies them to every service configured there.
const (
	// storeQueue is the maximum number of queued requests of a service on one daemon.
	// It is more than a daemon of the deployed sizes can serve within any deadline.
	storeQueue = 256
	// storeFailureCost is the cost of a target with failure probability 1, in
	// requests per slot. It is high because a failed non-idempotent request is
	// lost, while a queued one is only delayed.
	storeFailureCost = 8
	// storeCrossDomainCost is the cost of a target in another failure domain, in
	// requests per slot for each 64 KiB of request body. With 0.6, an upload of
	// 64 KiB goes to a target in the daemon's own failure domain that has less than
	// 0.6 requests per slot rather than to an equally healthy idle one in another.
	storeCrossDomainCost = 0.6
	// storeHedge is when an idempotent request is hedged, as a multiple of the mean
	// duration of its route. About one request in twenty takes longer in the
	// workload that the platform's callers describe, whose service times have a
	// sigma of 0.8 (the standard deviation of their logarithm) and a tail of 3%.
	storeHedge = 2.5
	// storeWarmup is how long a target that joins a running service takes to reach
	// its full share of requests.
	storeWarmup = 2 * time.Second
)

// policyForStoreServices returns the policy of the services that are configured in
// the platform's store. There are no questionnaire answers for these services. The
// policy ejects no target: targets of that platform fail for seconds at a time, and
// ranking them by failure probability is enough to avoid them. Unlike ejections,
// ranking needs no minimum in service.
func policyForStoreServices(terms platform.Terms) configuration.Service {
	return configuration.Service{
		Slots:           1,
		Floor:           1,
		LongShare:       1,
		Queue:           storeQueue,
		RetryShare:      terms.RetryShare,
		RetryBurst:      terms.RetryBurst,
		RetryWindow:     terms.RetryWindow,
		Attempts:        1,
		FailureCost:     storeFailureCost,
		Spread:          terms.MinCoverage,
		Hedge:           storeHedge,
		CrossDomainCost: storeCrossDomainCost,
		Warmup:          storeWarmup,
	}
}
