// Package proof holds proofs on separate processes with real signals.
package proof

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
	daemons = 4
	patient = 20 * time.Second
	poll    = 20 * time.Millisecond
)

// binary is the program under test, built once.
var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "proof")
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

// daemon is one daemon process.
type daemon struct {
	settings, callers, operator string
	process                     *exec.Cmd
}

// fleet is the processes of one proof.
type fleet struct {
	t       *testing.T
	dir     string
	control string
	daemons []*daemon
	targets []*targetProcess
}

// targetProcess is one target process.
type targetProcess struct {
	name, control string
	process       *exec.Cmd
}

func start(t *testing.T) *fleet {
	if testing.Short() {
		t.Skip("proofs on processes run by themselves")
	}
	f := &fleet{t: t, dir: t.TempDir()}
	f.command("standin", "layout", "--answers", "testdata/answers.ini", "--daemons", fmt.Sprint(daemons), "--directory", f.dir)
	f.command("generate", "--answers", "testdata/answers.ini", "--out", filepath.Join(f.dir, "first"))
	words := f.lines("platform.txt")[0]
	f.control = words[1]
	f.run("standin", "platform", "--listen", words[0], "--control", words[1])
	f.wait(func() bool { return f.get(f.control, "/counts") != "" })
	require.NoError(t, os.Mkdir(filepath.Join(f.dir, "records"), 0o755))
	for _, w := range f.lines("targets.txt") {
		process := f.run("standin", "target", "--listen", w[1], "--control", w[2], "--slots", w[3], "--record", filepath.Join(f.dir, "records", w[0]))
		f.targets = append(f.targets, &targetProcess{name: w[0], control: w[2], process: process})
		f.wait(func() bool { return f.get(w[2], "/faults") != "" })
	}
	f.publish("hosts/daemons", filepath.Join(f.dir, "values", "hosts", "daemons"))
	f.publish("hosts/targets/beds", filepath.Join(f.dir, "values", "hosts", "targets", "beds"))
	f.accept("first")
	for _, w := range f.lines("daemons.txt") {
		d := &daemon{settings: w[1], callers: w[2], operator: w[3]}
		f.daemons = append(f.daemons, d)
		f.serve(d)
	}
	for _, d := range f.daemons {
		f.ready(d)
	}
	return f
}

func (f *fleet) command(args ...string) {
	out, err := exec.Command(binary, args...).CombinedOutput()
	require.NoError(f.t, err, string(out))
}

func (f *fleet) run(args ...string) *exec.Cmd {
	process := exec.Command(binary, args...)
	require.NoError(f.t, process.Start())
	f.t.Cleanup(func() {
		process.Process.Kill()
		process.Wait()
	})
	return process
}

func (f *fleet) serve(d *daemon) { d.process = f.run("serve", "--settings", d.settings) }

func (f *fleet) ready(d *daemon) {
	f.wait(func() bool { return f.get(d.operator, "/ready") == "ready\n" })
}

func (f *fleet) signal(d *daemon, s os.Signal) { require.NoError(f.t, d.process.Process.Signal(s)) }

func (f *fleet) wait(condition func() bool) { require.Eventually(f.t, condition, patient, poll) }

// lines returns the words of each line of a file of the layout.
func (f *fleet) lines(name string) [][]string {
	data, err := os.ReadFile(filepath.Join(f.dir, name))
	require.NoError(f.t, err)
	var lines [][]string
	for line := range strings.Lines(string(data)) {
		lines = append(lines, strings.Fields(line))
	}
	return lines
}

// get returns the body of a successful answer, or nothing.
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

// accept publishes a generated configuration.
func (f *fleet) accept(dir string) {
	f.publish("configuration/service/beds", filepath.Join(f.dir, dir, "service-beds.ini"))
	f.publish("configuration/index", filepath.Join(f.dir, dir, "index.ini"))
}

// version returns the number of the configuration that a daemon has in force.
func (f *fleet) version(d *daemon) uint64 {
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

// prepared counts the daemons that know the service's targets.
func (f *fleet) prepared() int {
	n := 0
	for _, d := range f.daemons {
		if strings.Contains(f.get(d.operator, "/dump"), `"Target": "beds-01"`) {
			n++
		}
	}
	return n
}

// addresses asks a daemon which addresses to use.
func (f *fleet) addresses(d *daemon) caller.Addresses {
	var a caller.Addresses
	require.NoError(f.t, json.Unmarshal([]byte(f.get(d.callers, caller.AddressesPath+"?Service=beds")), &a))
	return a
}

// runs returns how often a piece of work ran.
func (f *fleet) runs(work string) int {
	n := 0
	for _, target := range f.targets {
		data, _ := os.ReadFile(filepath.Join(f.dir, "records", target.name))
		n += strings.Count(string(data), work+"\n")
	}
	return n
}

// request is one request of a caller.
type request struct {
	method, work, key string
	// cost is the service time in microseconds.
	cost int
	// timeout is the caller's patience in milliseconds; the route's where it
	// is zero.
	timeout int
	body    io.Reader
}

// result is what a caller gets.
type result struct {
	outcome, reason, body string
	err                   error
}

func (f *fleet) send(d *daemon, r request) result {
	req, err := http.NewRequest(r.method, "http://"+d.callers+"/beds/"+r.work, r.body)
	require.NoError(f.t, err)
	req.Header.Set("X-Work-Id", r.work)
	req.Header.Set("X-Work-Microseconds", fmt.Sprint(r.cost))
	req.GetBody = nil
	if r.key != "" {
		req.Header.Set(caller.KeyField, r.key)
	}
	if r.timeout > 0 {
		req.Header.Set(caller.TimeoutField, fmt.Sprint(r.timeout))
	}
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return result{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return result{resp.Header.Get(message.OutcomeField), resp.Header.Get(message.ReasonField), string(body), err}
}

// other returns a daemon that is not the given one.
func (f *fleet) other(d *daemon) *daemon {
	for _, o := range f.daemons {
		if o != d {
			return o
		}
	}
	return nil
}

var (
	stop  = syscall.SIGSTOP
	goOn  = syscall.SIGCONT
	leave = syscall.SIGTERM
	kill  = syscall.SIGKILL
)
