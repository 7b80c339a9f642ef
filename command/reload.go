package command

import (
	"bytes"
	"context"
	"os"
	"time"

	"github.com/briarrouter/briarrouter/caller"
	"github.com/briarrouter/briarrouter/configuration"
	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/kernel"
	"github.com/briarrouter/briarrouter/peer"
	"github.com/briarrouter/briarrouter/platform"
	"github.com/briarrouter/briarrouter/settings"
	"github.com/rs/zerolog"
)

// settingsEvery is the time between two looks at the settings file: it may
// change without a signal, and nothing in it is urgent.
const settingsEvery = 2 * time.Second

// reloader takes over changed settings while the daemon runs. A file that is
// refused changes nothing.
type reloader struct {
	path   string
	log    zerolog.Logger
	kernel *kernel.Kernel
	// signals asks for a look at once.
	signals <-chan os.Signal
	// current is what is in force, and data the text that it was read from.
	current settings.Daemon
	data    []byte
}

// run looks at the file at each signal, and now and then, until the context
// ends.
func (r *reloader) run(ctx context.Context) {
	ticker := time.NewTicker(settingsEvery)
	defer ticker.Stop()
	for {
		select {
		case <-r.signals:
			r.log.Info().Msg("signal to reload the settings")
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		r.look()
	}
}

// look reads the file and takes over what changed since the last look.
func (r *reloader) look() {
	data, err := os.ReadFile(r.path)
	if err != nil {
		r.log.Error().Err(err).Msg("settings cannot be read; those in force stay")
		return
	}
	if bytes.Equal(data, r.data) {
		return
	}
	r.data = data
	next, err := settings.Parse(r.path, data)
	if err == nil {
		err = r.apply(next)
	}
	if err != nil {
		r.log.Error().Err(err).Msg("settings refused; those in force stay")
		return
	}
	live, later := settings.Changes(r.current, next)
	r.current = next
	r.log.Info().Strs("Applied", live).Strs("NextStart", later).Msg("settings reloaded")
}

// apply hands the settings to the services that take them over.
func (r *reloader) apply(next settings.Daemon) error {
	terms, err := platform.ParseTerms(next.Store.Terms)
	if err != nil {
		return err
	}
	front, err := kernel.Find[interface{ SetTiming(settings.Timing) }](r.kernel, caller.ServiceName)
	if err != nil {
		return err
	}
	peers, err := kernel.Find[interface{ SetSeeds([]id.Address) }](r.kernel, peer.ServiceName)
	if err != nil {
		return err
	}
	if next.Store.Address != "" {
		if err := r.applyTerms(next, terms); err != nil {
			return err
		}
	}
	front.SetTiming(next.Timing)
	peers.SetSeeds(next.Seeds)
	return nil
}

// applyTerms hands on what the platform asks.
func (r *reloader) applyTerms(next settings.Daemon, terms platform.Terms) error {
	directory, err := kernel.Find[interface{ SetHold(time.Duration) }](r.kernel, platform.DirectoryName)
	if err != nil {
		return err
	}
	store, err := kernel.Find[*configuration.Store](r.kernel, configuration.ServiceName)
	if err != nil {
		return err
	}
	if next.Store.Terms != r.current.Store.Terms {
		if err := store.SetFormat(platform.Format{Policy: storePolicy(terms)}); err != nil {
			return err
		}
	}
	directory.SetHold(hold(next, terms))
	return nil
}

// hold returns how long callers may keep an answer about addresses.
func hold(daemon settings.Daemon, terms platform.Terms) time.Duration {
	return min(daemon.Timing.Hold, terms.MaxHold)
}
