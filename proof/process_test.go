package proof

import (
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// sending is a request under way.
type sending struct{ result chan result }

func (f *fleet) begin(d *daemon, r request) sending {
	s := sending{make(chan result, 1)}
	go func() { s.result <- f.send(d, r) }()
	return s
}

// TestOwnerKilled kills the owner of a key while its request runs. A repeat by
// way of another daemon is answered "unknown", and nothing runs twice.
func TestOwnerKilled(t *testing.T) {
	f := start(t)
	owner := f.daemons[0]
	r := request{method: "POST", work: "w-1", key: f.addresses(owner).KeyPrefix + "a", cost: 1_500_000}
	first := f.begin(owner, r)
	f.wait(func() bool { return f.runs("w-1") == 1 })
	f.signal(owner, kill)
	require.Error(t, (<-first.result).err)
	again := f.send(f.other(owner), r)
	require.Equal(t, "unknown", again.outcome)
	f.serve(owner)
	f.ready(owner)
	again = f.send(owner, r)
	require.Equal(t, "unknown", again.outcome, "the replacement owns none of the keys of the one before it")
	require.Equal(t, 1, f.runs("w-1"))
}

// TestOwnerPaused pauses the owner of a key while its request runs. A repeat
// by way of another daemon is not run there; when the owner goes on, a repeat
// gets the recorded answer.
func TestOwnerPaused(t *testing.T) {
	f := start(t)
	owner := f.daemons[0]
	r := request{method: "POST", work: "w-1", key: f.addresses(owner).KeyPrefix + "a", cost: 300_000}
	first := f.begin(owner, r)
	f.wait(func() bool { return f.runs("w-1") == 1 })
	f.signal(owner, stop)
	impatient := r
	impatient.timeout = 500
	require.Equal(t, "unknown", f.send(f.other(owner), impatient).outcome)
	f.signal(owner, goOn)
	require.Equal(t, "ran", (<-first.result).outcome)
	f.wait(func() bool { return f.send(f.other(owner), r).outcome == "ran" })
	require.Equal(t, 1, f.runs("w-1"))
}

// TestRepeats sends a request with a key twice at the same time and once
// afterwards, each by way of another daemon.
func TestRepeats(t *testing.T) {
	f := start(t)
	r := request{method: "POST", work: "w-1", key: f.addresses(f.daemons[0]).KeyPrefix + "a", cost: 300_000}
	one, two := f.begin(f.daemons[1], r), f.begin(f.daemons[2], r)
	for _, got := range []result{<-one.result, <-two.result, f.send(f.daemons[3], r)} {
		require.Equal(t, "ran", got.outcome)
		require.Equal(t, "w-1", strings.Fields(got.body)[0])
	}
	require.Equal(t, 1, f.runs("w-1"))
}

// TestPlannedStop stops a daemon while an upload comes in slowly and another
// request runs; callers that still hold its address are served.
func TestPlannedStop(t *testing.T) {
	f := start(t)
	d := f.daemons[0]
	body, pipe := io.Pipe()
	upload := f.begin(d, request{method: "PUT", work: "w-1", body: body})
	fmt.Fprint(pipe, strings.Repeat("x", 100_000))
	f.signal(d, leave)
	f.wait(func() bool {
		for _, a := range f.addresses(f.daemons[1]).Addresses {
			if string(a.Address) == d.callers {
				return false
			}
		}
		return true
	})
	require.Equal(t, "ran", f.send(d, request{method: "GET", work: "w-2"}).outcome, "the address is still held")
	f.wait(func() bool { return f.send(d, request{method: "GET", work: "w-3"}).err != nil })
	fmt.Fprint(pipe, strings.Repeat("x", 100_000))
	pipe.Close()
	got := <-upload.result
	require.NoError(t, got.err)
	require.Equal(t, "ran", got.outcome)
	require.NoError(t, d.process.Wait(), "the daemon ends by itself with nothing under way")
}

// TestConfigurationNeverGoesBack lets the platform fall back to an older
// configuration and replaces a daemon, which remembers nothing.
func TestConfigurationNeverGoesBack(t *testing.T) {
	f := start(t)
	f.command("generate", "--answers", "testdata/answers.ini", "--previous", f.dir+"/first", "--out", f.dir+"/second")
	f.accept("second")
	for _, d := range f.daemons {
		f.wait(func() bool { return f.version(d) == 2 })
	}
	f.wait(func() bool { return f.prepared() >= 3 })
	f.put("/faults/stale", nil)
	d := f.daemons[0]
	f.signal(d, kill)
	d.process.Wait()
	f.serve(d)
	f.ready(d)
	require.EqualValues(t, 2, f.version(d), "a ready daemon has what its peers have")
	f.put("/faults/down", nil)
	f.signal(d, kill)
	d.process.Wait()
	f.serve(d)
	f.ready(d)
	require.EqualValues(t, 2, f.version(d), "without the platform, the peers have the configuration")
	got := f.send(d, request{method: "GET", work: "w-1"})
	require.Equal(t, "ran", got.outcome, got.reason)
}

// TestCrashingRequest sends a request that ends each target that runs it, and
// its caller sends it again and again. It ends two targets at the most.
func TestCrashingRequest(t *testing.T) {
	f := start(t)
	for i := range 6 {
		got := f.send(f.daemons[i%daemons], request{method: "GET", work: "crash"})
		if got.outcome == "not-run" {
			require.Equal(t, "quarantined", got.reason)
		}
	}
	require.Equal(t, 2, f.runs("crash"))
	require.Equal(t, "ran", f.send(f.daemons[0], request{method: "GET", work: "w-1"}).outcome)
}
