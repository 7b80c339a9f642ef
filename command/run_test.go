package command

import (
	"context"
	"errors"
	"syscall"
	"testing"
	"time"

	"github.com/briarrouter/briarrouter/departure"
	"github.com/briarrouter/briarrouter/kernel"
	"github.com/briarrouter/briarrouter/peer"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// stubService is a service whose Start and Stop are functions; nil does nothing.
type stubService struct{ start, stop func(context.Context) error }

func (s stubService) Start(ctx context.Context, _ *kernel.Kernel) error {
	if s.start == nil {
		return nil
	}
	return s.start(ctx)
}

func (s stubService) Stop(ctx context.Context) error {
	if s.stop == nil {
		return nil
	}
	return s.stop(ctx)
}

func (stubService) State() any { return nil }

func TestStopAfterFailedStartIsBounded(t *testing.T) {
	const bound = time.Minute
	var deadline time.Time
	k := kernel.New()
	k.Register("first", stubService{stop: func(ctx context.Context) error {
		deadline, _ = ctx.Deadline()
		return nil
	}})
	k.Register("second", stubService{start: func(context.Context) error { return errors.New("no address") }})
	require.ErrorContains(t, run(k, &reloader{log: zerolog.Nop(), kernel: k, stopBound: bound}), "start second: no address")
	require.WithinDuration(t, time.Now().Add(bound), deadline, bound/2, "the stop has no bound")
}

// stopDuringStart sends this process a SIGTERM and waits until the start is told to end.
func stopDuringStart(ctx context.Context) error {
	if err := syscall.Kill(syscall.Getpid(), syscall.SIGTERM); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}

func TestSIGTERMDuringStartStopsLastService(t *testing.T) {
	stopped := false
	k := kernel.New()
	k.Register("last", stubService{start: stopDuringStart, stop: func(context.Context) error {
		stopped = true
		return nil
	}})
	require.NoError(t, run(k, &reloader{log: zerolog.Nop(), kernel: k}))
	require.True(t, stopped)
}

// leavingService is a stub of the peer service.
type leavingService struct {
	stubService
	left *bool
}

func (l leavingService) Leave(*departure.Plan) { *l.left = true }

func TestSIGTERMDuringStartKeepsDaemonFromBecomingReady(t *testing.T) {
	left, startedLater := false, false
	k := kernel.New()
	k.Register(peer.ServiceName, leavingService{stubService{start: stopDuringStart}, &left})
	k.Register("later", stubService{start: func(context.Context) error {
		startedLater = true
		return nil
	}})
	require.NoError(t, run(k, &reloader{log: zerolog.Nop(), kernel: k}))
	require.True(t, left)
	require.False(t, startedLater)
}

func TestStopIsBoundedFromSIGTERM(t *testing.T) {
	const bound = time.Minute
	var received, deadline time.Time
	k := kernel.New()
	k.Register("last", stubService{
		start: func(ctx context.Context) error {
			err := stopDuringStart(ctx)
			received = time.Now()
			return err
		},
		stop: func(ctx context.Context) error {
			deadline, _ = ctx.Deadline()
			return nil
		},
	})
	require.NoError(t, run(k, &reloader{log: zerolog.Nop(), kernel: k, stopBound: bound}))
	require.False(t, deadline.IsZero())
	require.LessOrEqual(t, deadline.Sub(received), bound, "the bound counts from after the signal")
}
