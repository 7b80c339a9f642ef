package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// unable ends the script because the case could not run.
func unable(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "cannot run: "+format+"\n", args...)
	stopAll()
	os.Exit(2)
}

// daemon is a process of the system, started with the command of the deploy file.
type daemon struct {
	name, zone                           string
	front, ready, directory, control, op string
	settings                             string
	// process is the latest run; nil before the first.
	process *process
}

var (
	startedMu sync.Mutex
	// started has the processes that were started.
	started []*process
	// directory is the temporary folder with the settings and the logs.
	directory string
)

// process is one run of a daemon.
type process struct {
	*exec.Cmd
	// exited is closed when the process has ended.
	exited chan struct{}
}

// stopAll ends all processes that were started and removes the temporary folder.
func stopAll() {
	startedMu.Lock()
	defer startedMu.Unlock()
	for _, p := range started {
		p.Process.Signal(syscall.SIGCONT)
		p.Process.Kill()
		<-p.exited
	}
	started = nil
	os.RemoveAll(directory)
}

const (
	// The limits of a machine of the small deployment ppsol-gw.
	memoryMb = 284
	maxFds   = 4100
)

// nextPort is the port that freeAddress tries next. The ports are below those that the
// operating system gives to outgoing connections, which might take a free one before its
// daemon listens.
var nextPort = 12_000 + rand.N(10_000)

// freeAddress returns a loopback address on which nobody listens.
func freeAddress() string {
	for range 1000 {
		nextPort++
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", nextPort))
		if err == nil {
			defer l.Close()
			return l.Addr().String()
		}
	}
	unable("no free port below %d", nextPort)
	return ""
}

// newDaemons writes the settings of n daemons, filled in like the template of the deploy
// file.
func newDaemons(dir string, st *store, n int) []*daemon {
	var list []*daemon
	var seeds []string
	for i := range n {
		d := &daemon{name: fmt.Sprintf("front-%d", i+1), zone: zones[i%len(zones)], front: freeAddress(), ready: freeAddress(), directory: freeAddress(), control: freeAddress(), op: freeAddress()}
		list = append(list, d)
		if len(seeds) < 3 {
			seeds = append(seeds, d.control)
		}
	}
	template, err := os.ReadFile("deploy/settings.ini")
	if err != nil {
		unable("%v", err)
	}
	for _, d := range list {
		text := strings.NewReplacer(
			"{{node}}", d.name, "{{zone}}", d.zone, "{{limits.cpuShare}}", "0.32", "{{limits.cores}}", "1",
			"{{listen.front}}", d.front, "{{listen.control}}", d.control, "{{ip}}:9464", d.op,
			"{{listen.directory}}", d.directory, "{{listen.ready}}", d.ready, "{{seeds}}", strings.Join(seeds, ","),
			"{{platform.address}}", st.address, "{{bounds|json}}", bounds,
			"{{limits.memoryMb}}", strconv.Itoa(memoryMb), "{{limits.maxFds}}", strconv.Itoa(maxFds),
		).Replace(string(template))
		if strings.Contains(text, "{{") {
			unable("the template of the settings has an unknown placeholder: %s", text)
		}
		d.settings = filepath.Join(dir, d.name+".ini")
		if err := os.WriteFile(d.settings, []byte(text), 0o600); err != nil {
			unable("%v", err)
		}
	}
	return list
}

// zones are those of the small deployment ppsol-gw.
var zones = []string{"yura", "cerro-colorado", "cayma", "socabaya"}

// bounds are those of the small deployment ppsol-gw.
const bounds = `{"seedLagS":3,"reuseAfterS":2,"settleWindowMs":3000,"ackMs":4000,"catchUpS":4,"drainMs":2000,"graceS":6,"lossSlackMs":200,"configApplyMs":2000,"rollbackSlackMs":250,"maxSkewMs":5000,"retryBudgetRatio":0.2,"retryWindowS":10,"budgetSlack":60,"recoveryS":15,"ttl_max_s":5,"probesPerS":3,"minShare":0.7}`

func (d *daemon) start() {
	log, err := os.OpenFile(d.settings+".log", os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		unable("%v", err)
	}
	p := &process{exec.Command("target/briarrouter", "serve", "--settings="+d.settings), make(chan struct{})}
	p.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GOGC=50", "BRIARROUTER_NODE_FILE=" + d.settings}
	p.Stdout, p.Stderr = log, log
	if err := p.Start(); err != nil {
		unable("%v (is the build of the deploy file done?)", err)
	}
	d.process = p
	startedMu.Lock()
	started = append(started, p)
	startedMu.Unlock()
	go func() {
		p.Wait()
		log.Close()
		close(p.exited)
	}()
}

func (d *daemon) isReady() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + d.ready + "/v1/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (d *daemon) awaitReady() {
	for range 200 {
		if d.isReady() {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	unable("%s is not ready after 20 s", d.name)
}

// startAll starts daemons and waits until all are ready and know each other.
func startAll(list []*daemon) {
	for _, d := range list {
		d.start()
	}
	for _, d := range list {
		d.awaitReady()
	}
	time.Sleep(time.Second)
}
