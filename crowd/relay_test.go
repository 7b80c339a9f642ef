package crowd

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/unit"
	"github.com/stretchr/testify/require"
)

// startFleet starts two daemons that relay requests to each other, with stand-ins of the
// platform and of the targets, and waits until both serve.
func startFleet(t *testing.T) []*daemon {
	if testing.Short() {
		t.Skip("crowds run on their own, without -short")
	}
	dir := t.TempDir()
	command(t, "standin", "layout", "--answers", "testdata/answers.ini", "--daemons", "2", "--directory", dir)
	command(t, "generate", "--answers", "testdata/answers.ini", "--out", filepath.Join(dir, "first"))
	platform := layoutLines(t, dir, "platform.txt")[0]
	startProcess(t, nil, "standin", "platform", "--listen", platform[0], "--control", platform[1])
	var targets []id.Address
	for _, fields := range layoutLines(t, dir, "targets.txt") {
		startProcess(t, nil, "standin", "target", "--listen", fields[1], "--control", fields[2], "--slots", fields[3], "--record", filepath.Join(dir, fields[0]))
		targets = append(targets, id.Address(fields[1]))
	}
	for key, file := range map[string]string{
		"hosts/daemons": "values/hosts/daemons", "hosts/targets/beds": "values/hosts/targets/beds",
		"configuration/service/beds": "first/service-beds.ini", "configuration/index": "first/index.ini",
	} {
		publish(t, platform[1], key, filepath.Join(dir, file))
	}
	var daemons []*daemon
	for _, fields := range layoutLines(t, dir, "daemons.txt") {
		d := &daemon{t: t, cfg: config{descriptors: descriptorLimit}, targets: targets, callers: id.Address(fields[2]), exited: make(chan struct{}), ordinaryPath: "/beds/ordinary"}
		settings, err := os.ReadFile(fields[1])
		require.NoError(t, err)
		_, rest, _ := strings.Cut(string(settings), "Peers = ")
		peers, _, _ := strings.Cut(rest, "\n")
		d.peers, d.operator = id.Address(peers), id.Address(fields[3])
		settings = fmt.Appendf(settings, "[Limits]\nMemory = %s\nDescriptors = %d\nBodyBuffer = %s\n", memoryLimit, descriptorLimit, 256*unit.KiB)
		require.NoError(t, os.WriteFile(fields[1], settings, 0o600))
		d.run(fields[1], filepath.Join(dir, fields[0]+".log"))
		daemons = append(daemons, d)
	}
	for _, d := range daemons {
		d.requireServing(d.ordinaryPath)
	}
	return daemons
}

func command(t *testing.T, args ...string) {
	out, err := exec.Command(binary, args...).CombinedOutput()
	require.NoError(t, err, "%s", out)
}

func startProcess(t *testing.T, log *os.File, args ...string) *exec.Cmd {
	process := exec.Command(binary, args...)
	if log != nil {
		process.Stdout, process.Stderr = log, log
	}
	require.NoError(t, process.Start())
	t.Cleanup(func() {
		process.Process.Kill()
		process.Wait()
	})
	return process
}

// layoutLines returns the fields of each line of a list that "standin layout" wrote.
func layoutLines(t *testing.T, dir, name string) [][]string {
	data, err := os.ReadFile(filepath.Join(dir, name))
	require.NoError(t, err)
	var lines [][]string
	for line := range strings.Lines(string(data)) {
		lines = append(lines, strings.Fields(line))
	}
	return lines
}

// publish publishes a value, once the stand-in of the platform answers.
func publish(t *testing.T, control, key, file string) {
	require.Eventually(t, func() bool {
		body, err := os.Open(file)
		require.NoError(t, err)
		defer body.Close()
		req, err := http.NewRequest(http.MethodPut, "http://"+control+"/v1/values/"+key, body)
		require.NoError(t, err)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	}, recoveryTime, 20*time.Millisecond, "%s cannot be published", key)
}

// run starts the daemon of a settings file.
func (d *daemon) run(settings, logFile string) {
	d.log = logFile
	log, err := os.Create(logFile)
	require.NoError(d.t, err)
	d.t.Cleanup(func() { log.Close() })
	d.process = startProcess(d.t, log, "serve", "--settings", settings)
	ctx, cancel := context.WithCancel(context.Background())
	d.stopSampling = cancel
	d.t.Cleanup(cancel)
	d.sampling.Go(func() { d.sample(ctx) })
}

// TestRelayedBodies guards against bodies that are relayed to another daemon and take more
// than the memory of its host, or of the one that relays them. Half of the clients send to
// each daemon.
func TestRelayedBodies(t *testing.T) {
	for _, b := range bodies[:7] {
		t.Run(b.name, func(t *testing.T) {
			daemons := startFleet(t)
			run(func(i int) {
				head := fmt.Appendf(nil, "PUT /beds/%d HTTP/1.1\r\nHost: %s\r\nX-Work-Id: w-%d\r\n", i, hostName, i)
				hold(daemons[i%2].callers, head, b.size, b.send)
			})
			for _, d := range daemons {
				d.requireWithinLimits()
			}
		})
	}
}
