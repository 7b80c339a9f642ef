package e2e

import (
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// pendingRequest is a request that was sent and whose result is still to come.
type pendingRequest struct{ result chan result }

func (f *fleet) sendAsync(d *daemon, r request) pendingRequest {
	pending := pendingRequest{make(chan result, 1)}
	go func() { pending.result <- f.send(d, r) }()
	return pending
}

// TestOwnerKilled kills the owner of an idempotency key while its request runs.
// A retry through another daemon, and one to the restarted owner, must get the
// outcome "unknown", because the record of the key is lost; the request must not
// run twice.
func TestOwnerKilled(t *testing.T) {
	f := startFleet(t)
	owner := f.daemons[0]
	r := request{method: "POST", workID: "w-1", key: f.addresses(owner).KeyPrefix + "a", serviceMicroseconds: 1_500_000}
	first := f.sendAsync(owner, r)
	f.wait(func() bool { return f.runs("w-1") == 1 })
	f.signal(owner, kill)
	require.Error(t, (<-first.result).err)
	retry := f.send(f.otherThan(owner), r)
	require.Equal(t, "unknown", retry.outcome)
	f.startDaemon(owner)
	f.waitReady(owner)
	retry = f.send(owner, r)
	require.Equal(t, "unknown", retry.outcome, "the restarted daemon must not own the keys of its predecessor")
	require.Equal(t, 1, f.runs("w-1"))
}

// TestOwnerPaused pauses the owner of an idempotency key while its request runs.
// A retry through another daemon must not run there and must get the outcome
// "unknown". After the owner has resumed, a retry must get the recorded response.
func TestOwnerPaused(t *testing.T) {
	f := startFleet(t)
	owner := f.daemons[0]
	r := request{method: "POST", workID: "w-1", key: f.addresses(owner).KeyPrefix + "a", serviceMicroseconds: 300_000}
	first := f.sendAsync(owner, r)
	f.wait(func() bool { return f.runs("w-1") == 1 })
	f.signal(owner, pause)
	retry := r
	retry.timeoutMilliseconds = 500
	require.Equal(t, "unknown", f.send(f.otherThan(owner), retry).outcome)
	f.signal(owner, resume)
	require.Equal(t, "ran", (<-first.result).outcome)
	f.wait(func() bool { return f.send(f.otherThan(owner), r).outcome == "ran" })
	require.Equal(t, 1, f.runs("w-1"))
}

// TestRetriesWithKey sends a request with an idempotency key twice at the same
// time and once afterwards, each time through a different daemon that does not own
// the key. It must run once, and all three must get its response.
func TestRetriesWithKey(t *testing.T) {
	f := startFleet(t)
	r := request{method: "POST", workID: "w-1", key: f.addresses(f.daemons[0]).KeyPrefix + "a", serviceMicroseconds: 300_000}
	first, second := f.sendAsync(f.daemons[1], r), f.sendAsync(f.daemons[2], r)
	for _, got := range []result{<-first.result, <-second.result, f.send(f.daemons[3], r)} {
		require.Equal(t, "ran", got.outcome)
		require.Equal(t, "w-1", strings.Fields(got.body)[0])
	}
	require.Equal(t, 1, f.runs("w-1"))
}

// TestGracefulStop stops a daemon while a slow upload is in progress. The daemon
// must leave the list of addresses, serve callers that still use its address for
// a while, and complete the upload before its process ends.
func TestGracefulStop(t *testing.T) {
	f := startFleet(t)
	d := f.daemons[0]
	body, pipe := io.Pipe()
	upload := f.sendAsync(d, request{method: "PUT", workID: "w-1", body: body})
	fmt.Fprint(pipe, strings.Repeat("x", 100_000))
	f.signal(d, stop)
	f.wait(func() bool {
		for _, a := range f.addresses(f.daemons[1]).Addresses {
			if string(a.Address) == d.callers {
				return false
			}
		}
		return true
	})
	require.Equal(t, "ran", f.send(d, request{method: "GET", workID: "w-2"}).outcome, "callers may still use the address")
	f.wait(func() bool { return f.send(d, request{method: "GET", workID: "w-3"}).err != nil })
	fmt.Fprint(pipe, strings.Repeat("x", 100_000))
	pipe.Close()
	got := <-upload.result
	require.NoError(t, got.err)
	require.Equal(t, "ran", got.outcome)
	require.NoError(t, d.process.Wait(), "the daemon must exit with status 0 once no request is in progress")
}

// TestConfigurationNeverReverts makes the platform serve an older configuration
// and later fail every read, and restarts a daemon each time. A restarted daemon has
// no record of the configuration in force and must take it from its peers.
func TestConfigurationNeverReverts(t *testing.T) {
	f := startFleet(t)
	f.runCommand("generate", "--answers", "testdata/answers.ini", "--previous", f.dir+"/first", "--out", f.dir+"/second")
	f.publishConfiguration("second")
	for _, d := range f.daemons {
		f.wait(func() bool { return f.versionInForce(d) == 2 })
	}
	f.wait(func() bool { return f.daemonsWithTargets() >= preparedDaemons })
	f.put("/faults/stale", nil)
	d := f.daemons[0]
	f.signal(d, kill)
	d.process.Wait()
	f.startDaemon(d)
	f.waitReady(d)
	require.EqualValues(t, 2, f.versionInForce(d), "a ready daemon must have the configuration of its peers")
	f.put("/faults/down", nil)
	f.signal(d, kill)
	d.process.Wait()
	f.startDaemon(d)
	f.waitReady(d)
	require.EqualValues(t, 2, f.versionInForce(d), "without the platform, the configuration must come from the peers")
	got := f.send(d, request{method: "GET", workID: "w-1"})
	require.Equal(t, "ran", got.outcome, got.reason)
}

// TestCrashingRequest sends a request that crashes every target that runs it. It
// sends it six times, through each daemon in turn. Only two targets may crash, any
// rejection must have the reason "quarantined", and another request must still run.
func TestCrashingRequest(t *testing.T) {
	f := startFleet(t)
	for i := range 6 {
		got := f.send(f.daemons[i%daemonCount], request{method: "GET", workID: "crash"})
		if got.outcome == "not-run" {
			require.Equal(t, "quarantined", got.reason)
		}
	}
	require.Equal(t, 2, f.runs("crash"))
	require.Equal(t, "ran", f.send(f.daemons[0], request{method: "GET", workID: "w-1"}).outcome)
}
