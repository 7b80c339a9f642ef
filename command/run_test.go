package command

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/briarrouter/briarrouter/kernel"
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
