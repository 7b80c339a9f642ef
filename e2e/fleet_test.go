// Package e2e holds end-to-end tests of a fleet of daemon processes, with
// stand-ins for the platform and the targets. The tests kill, pause and stop
// daemons with signals.
package e2e

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/briarrouter/briarrouter/caller"
	"github.com/briarrouter/briarrouter/message"
	"github.com/stretchr/testify/require"
)

const (
	daemonCount  = 4
	waitTimeout  = 20 * time.Second
	pollInterval = 20 * time.Millisecond
	// preparedDaemons is how many daemons learn the targets of a service before its
	// first request: the dispatcher and its standbys.
	preparedDaemons = 3
)

// binary is the program under test, built once.
var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "e2e")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "briarrouter")
	if out, err := exec.Command("go", "build", "-o", binary, "..").CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

type daemon struct {
	// settings is the path of the settings file.
	settings string
	// callers and operator are the addresses for callers and for operators.
	callers, operator string
	process           *exec.Cmd
}

// fleet holds the processes of one test.
type fleet struct {
	t   *testing.T
	dir string
	// control is the control address of the platform stand-in.
	control string
	daemons []*daemon
	targets []*targetProcess
}

// targetProcess is one target stand-in.
type targetProcess struct {
	// control is the control address.
	name, control string
	process       *exec.Cmd
}

// startFleet starts the stand-ins and the daemons, and waits until every daemon is
// ready.
func startFleet(t *testing.T) *fleet {
	if testing.Short() {
		t.Skip("end-to-end tests run on their own, without -short")
	}
	f := &fleet{t: t, dir: t.TempDir()}
	f.runCommand("standin", "layout", "--answers", "testdata/answers.ini", "--daemons", fmt.Sprint(daemonCount), "--directory", f.dir)
	f.runCommand("generate", "--answers", "testdata/answers.ini", "--out", filepath.Join(f.dir, "first"))
	platform := f.readLayoutFile("platform.txt")[0]
	f.control = platform[1]
	f.startProcess("standin", "platform", "--listen", platform[0], "--control", platform[1])
	f.wait(func() bool { return f.get(f.control, "/counts") != "" })
	require.NoError(t, os.Mkdir(filepath.Join(f.dir, "records"), 0o755))
	for _, fields := range f.readLayoutFile("targets.txt") {
		process := f.startProcess("standin", "target", "--listen", fields[1], "--control", fields[2], "--slots", fields[3], "--record", filepath.Join(f.dir, "records", fields[0]))
		f.targets = append(f.targets, &targetProcess{name: fields[0], control: fields[2], process: process})
		f.wait(func() bool { return f.get(fields[2], "/faults") != "" })
	}
	f.publish("hosts/daemons", filepath.Join(f.dir, "values", "hosts", "daemons"))
	f.publish("hosts/targets/beds", filepath.Join(f.dir, "values", "hosts", "targets", "beds"))
	f.publishConfiguration("first")
	for _, fields := range f.readLayoutFile("daemons.txt") {
		d := &daemon{settings: fields[1], callers: fields[2], operator: fields[3]}
		f.daemons = append(f.daemons, d)
		f.startDaemon(d)
	}
	for _, d := range f.daemons {
		f.waitReady(d)
	}
	return f
}

func (f *fleet) runCommand(args ...string) {
	out, err := exec.Command(binary, args...).CombinedOutput()
	require.NoError(f.t, err, string(out))
}

func (f *fleet) startProcess(args ...string) *exec.Cmd {
	process := exec.Command(binary, args...)
	require.NoError(f.t, process.Start())
	f.t.Cleanup(func() {
		process.Process.Kill()
		process.Wait()
	})
	return process
}

func (f *fleet) startDaemon(d *daemon) { d.process = f.startProcess("serve", "--settings", d.settings) }

func (f *fleet) waitReady(d *daemon) {
	f.wait(func() bool { return f.get(d.operator, "/ready") == "ready\n" })
}

func (f *fleet) signal(d *daemon, s os.Signal) { require.NoError(f.t, d.process.Process.Signal(s)) }

func (f *fleet) wait(condition func() bool) {
	require.Eventually(f.t, condition, waitTimeout, pollInterval)
}

// readLayoutFile returns the fields of each line of a list that "standin layout"
// wrote. standinLayoutCommand in package command describes them.
func (f *fleet) readLayoutFile(name string) [][]string {
	data, err := os.ReadFile(filepath.Join(f.dir, name))
	require.NoError(f.t, err)
	var lines [][]string
	for line := range strings.Lines(string(data)) {
		lines = append(lines, strings.Fields(line))
	}
	return lines
}

// get returns the body of a response with status 200, otherwise "".
func (f *fleet) get(address, path string) string {
	resp, err := http.Get("http://" + address + path)
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		return ""
	}
	return string(body)
}

// put sends a PUT request to the control address of the platform stand-in.
func (f *fleet) put(path string, body []byte) {
	f.putTo(f.control, path, body)
}

func (f *fleet) putTo(address, path string, body []byte) {
	req, err := http.NewRequest(http.MethodPut, "http://"+address+path, bytes.NewReader(body))
	require.NoError(f.t, err)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(f.t, err)
	resp.Body.Close()
	require.Equal(f.t, http.StatusOK, resp.StatusCode)
}

func (f *fleet) publish(key, file string) {
	data, err := os.ReadFile(file)
	require.NoError(f.t, err)
	f.put("/v1/values/"+key, data)
}

// publishConfiguration publishes a generated configuration: the service values
// first, the index last.
func (f *fleet) publishConfiguration(dir string) {
	f.publish("configuration/service/beds", filepath.Join(f.dir, dir, "service-beds.ini"))
	f.publish("configuration/index", filepath.Join(f.dir, dir, "index.ini"))
}

// versionInForce returns the number of the configuration version that a daemon has
// in force; 0 if its dump cannot be read.
func (f *fleet) versionInForce(d *daemon) uint64 {
	var states []struct {
		Name  string
		State struct{ Version struct{ Number uint64 } }
	}
	if json.Unmarshal([]byte(f.get(d.operator, "/dump")), &states) != nil {
		return 0
	}
	for _, s := range states {
		if s.Name == "configuration" {
			return s.State.Version.Number
		}
	}
	return 0
}

// daemonsWithTargets counts the daemons whose dump lists the first target of the
// service.
func (f *fleet) daemonsWithTargets() int {
	n := 0
	for _, d := range f.daemons {
		if strings.Contains(f.get(d.operator, "/dump"), `"Target": "beds-01"`) {
			n++
		}
	}
	return n
}

// addresses returns the addresses that a daemon tells callers to use.
func (f *fleet) addresses(d *daemon) caller.Addresses {
	var a caller.Addresses
	require.NoError(f.t, json.Unmarshal([]byte(f.get(d.callers, caller.AddressesPath+"?Service=beds")), &a))
	return a
}

// runs returns how often the request with the given work id ran, summed over all
// targets.
func (f *fleet) runs(workID string) int {
	n := 0
	for _, target := range f.targets {
		data, _ := os.ReadFile(filepath.Join(f.dir, "records", target.name))
		n += strings.Count(string(data), workID+"\n")
	}
	return n
}

// request is one request of a caller.
type request struct {
	method string
	// workID identifies the request in the records of the targets.
	workID string
	// key is the idempotency key; if it is empty, none is sent.
	key string
	// serviceMicroseconds is how long a target takes for the request.
	serviceMicroseconds int
	// timeoutMilliseconds is the timeout that the caller asks for. If it is 0, the
	// timeout of the route applies.
	timeoutMilliseconds int
	body                io.Reader
}

// result is the outcome, the reason and the body of a response. err is set if there
// is no response or its body is incomplete.
type result struct {
	outcome, reason, body string
	err                   error
}

func (f *fleet) send(d *daemon, r request) result {
	req, err := http.NewRequest(r.method, "http://"+d.callers+"/beds/"+r.workID, r.body)
	require.NoError(f.t, err)
	req.Header.Set("X-Work-Id", r.workID)
	req.Header.Set("X-Work-Microseconds", fmt.Sprint(r.serviceMicroseconds))
	// Keeps net/http from resending a body on its own.
	req.GetBody = nil
	if r.key != "" {
		req.Header.Set(caller.KeyField, r.key)
	}
	if r.timeoutMilliseconds > 0 {
		req.Header.Set(caller.TimeoutField, fmt.Sprint(r.timeoutMilliseconds))
	}
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return result{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return result{resp.Header.Get(message.OutcomeField), resp.Header.Get(message.ReasonField), string(body), err}
}

func (f *fleet) otherThan(d *daemon) *daemon {
	for _, o := range f.daemons {
		if o != d {
			return o
		}
	}
	return nil
}

// Signals to a daemon process.
var (
	pause  = syscall.SIGSTOP
	resume = syscall.SIGCONT
	stop   = syscall.SIGTERM
	kill   = syscall.SIGKILL
)
