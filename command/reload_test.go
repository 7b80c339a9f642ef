package command

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/briarrouter/briarrouter/caller"
	"github.com/briarrouter/briarrouter/configuration"
	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/kernel"
	"github.com/briarrouter/briarrouter/peer"
	"github.com/briarrouter/briarrouter/platform"
	"github.com/briarrouter/briarrouter/settings"
	"github.com/rs/zerolog"
	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"
)

// settingsRecorder is a service that records the settings that it is given.
type settingsRecorder struct{ out *strings.Builder }

func (settingsRecorder) Start(context.Context, *kernel.Kernel) error { return nil }
func (settingsRecorder) Stop(context.Context) error                  { return nil }
func (settingsRecorder) State() any                                  { return nil }

func (r settingsRecorder) SetTiming(t settings.Timing) {
	fmt.Fprintf(r.out, "  timing: hold %s, stop %s\n", t.Hold, t.Stop)
}

func (r settingsRecorder) AddSeeds(seeds []id.Address) { fmt.Fprintf(r.out, "  seeds: %v\n", seeds) }

func (r settingsRecorder) SetTTL(ttl time.Duration) { fmt.Fprintf(r.out, "  address hold: %s\n", ttl) }

// reloadSteps are successive changes of the settings file. Each replaces one string
// in the last valid text.
var reloadSteps = []struct{ name, old, replacement string }{
	{name: "no change"},
	{"changed seeds", "10.1.0.2:8382", "10.1.0.3:8382"},
	{"changed retry share and shorter maximum hold", "retryBudgetRatio=0.2,ttl_max_s=5", "retryBudgetRatio=0.1,ttl_max_s=1"},
	{"changed listen address, in force from the next start", "8381", "9381"},
	{"invalid file", "Hold = 2s", "Hold = soon"},
	{"invalid terms", "ttl_max_s=1", "ttl_max_s=soon"},
	{"valid file again", "Stop = 5s", "Stop = 4s"},
}

// TestReload changes the settings file that a reloader watches, with and without a
// signal. Refused files must leave the settings in force unchanged.
func TestReload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out, log strings.Builder
		path := filepath.Join(t.TempDir(), "settings.ini")
		data, err := os.ReadFile("testdata/reload.ini")
		require.NoError(t, err)
		require.NoError(t, os.WriteFile(path, data, 0o600))
		current, err := settings.Parse(path, data)
		require.NoError(t, err)
		store := configuration.NewStore(configuration.StoreConfig{Log: zerolog.Nop(), Format: platform.Format{}})
		docs := configuration.Documents{Index: []byte(`{"version":7,"services":[{"name":"beds","maxConns":3}]}`)}
		require.Equal(t, configuration.Accepted, store.Offer(docs, "test"))
		k := kernel.New()
		k.Register(configuration.ServiceName, store)
		for _, name := range []kernel.Name{caller.ServiceName, peer.ServiceName, platform.DirectoryName} {
			k.Register(name, settingsRecorder{&out})
		}
		signals := make(chan os.Signal, 1)
		r := &reloader{path: path, log: zerolog.New(&log), kernel: k, signals: signals, current: current, data: data}
		ctx, cancel := context.WithCancel(t.Context())
		go r.run(ctx)
		text := string(data)
		for i, step := range reloadSteps {
			fmt.Fprintf(&out, "%s\n", step.name)
			next := strings.Replace(text, step.old, step.replacement, 1)
			require.NoError(t, os.WriteFile(path, []byte(next), 0o600))
			if i%2 == 0 {
				signals <- os.Interrupt
			}
			time.Sleep(settingsPollInterval)
			synctest.Wait()
			fmt.Fprintf(&out, "%s  in force: version %d, retry share %v, hold %s\n", strings.ReplaceAll(log.String(), path, "FILE"),
				store.Version().Number, store.Current().Services["beds"].RetryShare, r.current.Timing.Hold)
			log.Reset()
			if _, err := settings.Parse(path, []byte(next)); err == nil && !strings.Contains(next, "ttl_max_s=soon") {
				text = next
			}
		}
		cancel()
		synctest.Wait()
		goldie.New(t).Assert(t, "reload", []byte(out.String()))
	})
}

func TestReloadDuringStopChangesNothing(t *testing.T) {
	var out, log strings.Builder
	path := filepath.Join(t.TempDir(), "settings.ini")
	data, err := os.ReadFile("testdata/reload.ini")
	require.NoError(t, err)
	current, err := settings.Parse(path, data)
	require.NoError(t, err)
	k := kernel.New()
	k.Register(configuration.ServiceName, configuration.NewStore(configuration.StoreConfig{Log: zerolog.Nop(), Format: platform.Format{}}))
	for _, name := range []kernel.Name{caller.ServiceName, peer.ServiceName, platform.DirectoryName} {
		k.Register(name, settingsRecorder{&out})
	}
	r := &reloader{path: path, log: zerolog.New(&log), kernel: k, current: current, data: data, stopBound: 5 * time.Second}
	require.Equal(t, 5*time.Second, r.end())
	require.NoError(t, os.WriteFile(path, []byte(strings.Replace(string(data), "Stop = 5s", "Stop = 4s", 1)), 0o600))
	r.reloadIfChanged()
	require.Empty(t, out.String()+log.String())
	require.Equal(t, 5*time.Second, r.stopBound)
}
