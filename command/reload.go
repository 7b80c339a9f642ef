package command

import (
	"bytes"
	"context"
	"os"
	"sync"
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

// settingsPollInterval is the time between two reads of the settings file. Polling
// finds changes that no signal announces. It need not be faster, since no setting
// has to be applied at once.
const settingsPollInterval = 2 * time.Second

// reloader applies changed settings while the daemon runs. An invalid file
// changes nothing.
type reloader struct {
	path   string
	log    zerolog.Logger
	kernel *kernel.Kernel
	// signals triggers an immediate check of the file.
	signals <-chan os.Signal

	mu sync.Mutex
	// current holds the settings accepted last, some of which apply only from the
	// next start. data is the text of the file at the last check, which may have been
	// refused.
	current settings.Daemon
	data    []byte
	// stopBound is how long a stop may take by the settings accepted last.
	stopBound time.Duration
	// ended is set when the stop begins. No settings are applied from then on.
	ended bool
}

// end ends the application of settings and returns how long the stop may take. It does
// not wait for a read of the file.
func (r *reloader) end() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = true
	return r.stopBound
}

// run checks the file at each signal and every settingsPollInterval until the
// context ends.
func (r *reloader) run(ctx context.Context) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-r.signals:
			r.log.Info().Msg("signal to reload the settings")
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		r.reloadIfChanged()
	}
}

// reloadIfChanged reads the file and applies it if its text differs from that
// of the last check.
func (r *reloader) reloadIfChanged() {
	data, err := os.ReadFile(r.path)
	if err != nil {
		r.log.Error().Err(err).Msg("settings cannot be read; those in force stay")
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended || bytes.Equal(data, r.data) {
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
	applied, nextStart := settings.Changes(r.current, next)
	r.current = next
	r.log.Info().Strs("Applied", applied).Strs("NextStart", nextStart).Msg("settings reloaded")
}

// apply passes the settings to the services that can apply them while they run.
// If it returns an error, no service has changed. The caller holds mu.
func (r *reloader) apply(next settings.Daemon) error {
	terms, err := platform.ParseTerms(next.Store.Terms)
	if err != nil {
		return err
	}
	bound, err := stopBound(next, terms)
	if err != nil {
		return err
	}
	callers, err := kernel.Find[interface{ SetTiming(settings.Timing) }](r.kernel, caller.ServiceName)
	if err != nil {
		return err
	}
	peers, err := kernel.Find[interface{ AddSeeds([]id.Address) }](r.kernel, peer.ServiceName)
	if err != nil {
		return err
	}
	if next.Store.Address != "" {
		if err := r.applyTerms(next, terms); err != nil {
			return err
		}
	}
	r.stopBound = bound
	callers.SetTiming(next.Timing)
	peers.AddSeeds(next.Seeds)
	return nil
}

// applyTerms passes the terms of the platform whose store the daemon reads (its
// limits and the obligations of the daemons) to the configuration store and the
// address directory.
func (r *reloader) applyTerms(next settings.Daemon, terms platform.Terms) error {
	directory, err := kernel.Find[interface{ SetTTL(time.Duration) }](r.kernel, platform.DirectoryName)
	if err != nil {
		return err
	}
	store, err := kernel.Find[*configuration.Store](r.kernel, configuration.ServiceName)
	if err != nil {
		return err
	}
	if next.Store.Terms != r.current.Store.Terms {
		if err := store.SetFormat(platform.Format{Policy: policyForStoreServices(terms)}); err != nil {
			return err
		}
		r.log.Info().EmbedObject(terms).Msg("terms of the platform")
	}
	directory.SetTTL(addressTTL(next, terms))
	return nil
}

// addressTTL returns how long callers may use a list of addresses: Timing.Hold, but
// not longer than the terms of the platform whose store the daemon reads allow.
func addressTTL(daemon settings.Daemon, terms platform.Terms) time.Duration {
	return min(daemon.Timing.Hold, terms.MaxTTL)
}
