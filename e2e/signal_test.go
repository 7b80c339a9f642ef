package e2e

import (
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// replaceSettings makes the settings file of a daemon a pipe, so that reading it blocks,
// and returns its text.
func (f *fleet) replaceSettings(d *daemon) []byte {
	data, err := os.ReadFile(d.settings)
	require.NoError(f.t, err)
	require.NoError(f.t, os.Remove(d.settings))
	require.NoError(f.t, syscall.Mkfifo(d.settings, 0o600))
	return data
}

// awaitReader waits until a daemon reads its settings from a pipe, and returns the pipe's
// write side.
func (f *fleet) awaitReader(d *daemon) *os.File {
	var pipe *os.File
	f.wait(func() bool {
		var err error
		// Without a reader, opening fails.
		pipe, err = os.OpenFile(d.settings, os.O_WRONLY|syscall.O_NONBLOCK, 0)
		return err == nil
	})
	f.t.Cleanup(func() { pipe.Close() })
	return pipe
}

// exit waits for the end of a daemon and returns its error.
func (f *fleet) exit(d *daemon) error {
	ended := make(chan error, 1)
	go func() { ended <- d.process.Wait() }()
	select {
	case err := <-ended:
		return err
	case <-time.After(waitTimeout):
		require.FailNow(f.t, "the daemon still runs")
		return nil
	}
}

func TestSIGHUPDuringStartDoesNotKill(t *testing.T) {
	f := startFleet(t)
	d := f.daemons[0]
	f.signal(d, stop)
	require.NoError(t, f.exit(d))
	data := f.replaceSettings(d)
	f.startDaemon(d)
	pipe := f.awaitReader(d)
	f.signal(d, syscall.SIGHUP)
	_, err := pipe.Write(data)
	require.NoError(t, err)
	require.NoError(t, pipe.Close())
	f.waitReady(d)
}

func TestSIGTERMDuringReloadStopsDaemon(t *testing.T) {
	f := startFleet(t)
	d := f.daemons[0]
	f.replaceSettings(d)
	f.signal(d, syscall.SIGHUP)
	f.awaitReader(d)
	f.signal(d, stop)
	require.NoError(t, f.exit(d))
}

// limitStop sets the time that a stop of a daemon may take, and restarts the daemon.
func (f *fleet) limitStop(d *daemon, bound time.Duration) {
	data, err := os.ReadFile(d.settings)
	require.NoError(f.t, err)
	require.NoError(f.t, os.WriteFile(d.settings, fmt.Appendf(data, "Stop = %s\n", bound), 0o600))
	f.signal(d, stop)
	require.NoError(f.t, f.exit(d))
	f.startDaemon(d)
	f.waitReady(d)
}

// fullPipe returns the write side of a pipe that is full and that nobody reads.
func (f *fleet) fullPipe() *os.File {
	r, w, err := os.Pipe()
	require.NoError(f.t, err)
	f.t.Cleanup(func() { r.Close(); w.Close() })
	require.NoError(f.t, w.SetWriteDeadline(time.Now().Add(pollInterval)))
	_, err = w.Write(make([]byte, 1<<20))
	require.ErrorIs(f.t, err, os.ErrDeadlineExceeded)
	return w
}

func TestBlockedLogDoesNotDelayExit(t *testing.T) {
	f := startFleet(t)
	d := f.daemons[0]
	f.signal(d, stop)
	require.NoError(t, f.exit(d))
	d.process = exec.Command(binary, "serve", "--settings", d.settings)
	d.process.Stdout = f.fullPipe()
	require.NoError(t, d.process.Start())
	t.Cleanup(func() { d.process.Process.Kill() })
	f.waitReady(d)
	f.signal(d, stop)
	require.NoError(t, f.exit(d))
}

func TestFurtherSignalsDoNotCutStop(t *testing.T) {
	f := startFleet(t)
	d := f.daemons[0]
	body, pipe := io.Pipe()
	upload := f.sendAsync(d, request{method: "PUT", workID: "w-1", body: body})
	fmt.Fprint(pipe, strings.Repeat("x", 100_000))
	f.signal(d, stop)
	f.wait(func() bool { return f.get(d.operator, "/ready") == "" })
	for _, s := range []os.Signal{stop, os.Interrupt, syscall.SIGHUP, stop} {
		f.signal(d, s)
	}
	f.wait(func() bool { return f.send(d, request{method: "GET", workID: "w-2"}).err != nil })
	f.signal(d, stop)
	pipe.Close()
	got := <-upload.result
	require.NoError(t, got.err)
	require.Equal(t, "ran", got.outcome)
	require.NoError(t, f.exit(d))
}

// killMargin is how long after the bound of its stop a daemon is killed.
const killMargin = 500 * time.Millisecond

// TestStopEndsBeforeKill has an upload, a profile and connections without a request in
// progress on each listener at the end of the stop.
func TestStopEndsBeforeKill(t *testing.T) {
	const bound = 3 * time.Second
	f := startFleet(t)
	d := f.daemons[0]
	f.limitStop(d, bound)
	body, pipe := io.Pipe()
	defer pipe.Close()
	upload := f.sendAsync(d, request{method: "PUT", workID: "w-1", body: body})
	fmt.Fprint(pipe, strings.Repeat("x", 100_000))
	profile := make(chan string, 1)
	go func() { profile <- f.get(d.operator, "/debug/pprof/profile?seconds=30") }()
	settings, err := os.ReadFile(d.settings)
	require.NoError(t, err)
	for _, address := range regexp.MustCompile(`(?:Callers|Peers|Operator) = (\S+)`).FindAllSubmatch(settings, -1) {
		conn, err := net.Dial("tcp", string(address[1]))
		require.NoError(t, err)
		defer conn.Close()
	}
	begin := time.Now()
	f.signal(d, stop)
	f.exit(d)
	took := time.Since(begin)
	t.Log("stop took", took)
	require.Less(t, took, bound+killMargin)
	pipe.Close()
	<-upload.result
	require.Empty(t, <-profile)
}
