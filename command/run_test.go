package command

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/briarrouter/briarrouter/departure"
	"github.com/briarrouter/briarrouter/kernel"
	"github.com/briarrouter/briarrouter/peer"
	"github.com/rs/zerolog"
	"github.com/sebdah/goldie/v2"
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

// TestArrivalOfSIGTERM has beats before, around and after a pause of the process.
func TestArrivalOfSIGTERM(t *testing.T) {
	var out strings.Builder
	start := time.Now()
	for _, c := range []struct {
		name              string
		first, second, at time.Duration
	}{
		{"running", 0, 100, 150},
		{"running, late beats", 0, 700, 1400},
		{"paused, the signal is seen before a beat", 0, 100, 3000},
		{"paused, the signal is seen after a beat", 100, 3000, 3000},
		{"paused earlier", 3000, 3100, 3150},
	} {
		s := &stopRequest{beats: [2]time.Time{start.Add(c.first * time.Millisecond), start.Add(c.second * time.Millisecond)}}
		fmt.Fprintf(&out, "%s: seen at %s, counts from %s\n", c.name, c.at*time.Millisecond, s.arrival(start.Add(c.at*time.Millisecond)).Sub(start))
	}
	goldie.New(t).Assert(t, "arrival", []byte(out.String()))
}
