package soak

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/briarrouter/briarrouter/clock"
	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/platform/platformtest"
)

// daemon is one host with the real program. Callers and peers reach it through
// proxies; the process itself comes and goes.
type daemon struct {
	soak   *Soak
	name   id.Host
	domain id.FailureDomain
	// resolve and ready are asked directly.
	resolve, ready, operator id.Address
	callers, peers           *proxy
	settings                 string
	log                      *os.File

	mu sync.Mutex
	// run is the process that runs now; nil while there is none.
	run *daemonRun
	// closed tells that no process may be started any more.
	closed bool
}

// daemonRun is one run of a daemon's process.
type daemonRun struct {
	daemon  *daemon
	process *exec.Cmd
	// ended is closed when the process has ended.
	ended chan struct{}
	// seen is the newest configuration whose effect was seen in this run, and
	// seenAt when; the lock of the promises guards both.
	seen   int
	seenAt time.Time

	mu sync.Mutex
	// stopping is when it was told to stop; zero before that.
	stopping time.Time
}

// stoppedCalmly tells whether the run was told to stop with no fault about.
func (r *daemonRun) stoppedCalmly(c *calm) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.stopping.IsZero() && c.since(r.stopping.Add(-settle))
}

// start starts the process, unless one runs or the soak ends. Its end is awaited
// by a task of the soak.
func (d *daemon) start() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.run != nil || d.closed {
		return nil
	}
	process := exec.Command(d.soak.cfg.Program, "serve", "--settings", d.settings)
	process.Stdout, process.Stderr = d.log, d.log
	if err := process.Start(); err != nil {
		return fmt.Errorf("soak: daemon %s: %w", d.name, err)
	}
	r := &daemonRun{daemon: d, process: process, ended: make(chan struct{})}
	d.run = r
	d.soak.group.Go(r.loop)
	return nil
}

// loop waits for the end of the process.
func (r *daemonRun) loop() {
	err := r.process.Wait()
	r.daemon.mu.Lock()
	if r.daemon.run == r {
		r.daemon.run = nil
	}
	r.daemon.mu.Unlock()
	close(r.ended)
	var exit *exec.ExitError
	if errors.As(err, &exit) && exit.Exited() && r.daemon.soak.context.Err() == nil {
		r.daemon.soak.promises.note(StopCutsNothing, "daemon %s ended by itself: %v", r.daemon.name, err)
	}
}

// current returns the run of the process; nil while there is none.
func (d *daemon) current() *daemonRun {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.run
}

// signal sends a signal to the process that this soak started, if it runs. There
// may be no run.
func (r *daemonRun) signal(s os.Signal) {
	if r == nil {
		return
	}
	if err := r.process.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		r.daemon.soak.say("signal %v to %s: %v", s, r.daemon.name, err)
	}
}

const (
	// grace is the time between the signal to stop and the end by force.
	grace = 6 * time.Second
	// readyTime bounds the time until a daemon that was started takes callers.
	readyTime = 10 * time.Second
	readyPoll = 50 * time.Millisecond
)

// stop ends the process as the platform does at planned work.
func (d *daemon) stop(ctx context.Context) {
	r := d.current()
	if r == nil {
		return
	}
	r.mu.Lock()
	r.stopping = time.Now()
	r.mu.Unlock()
	r.signal(syscall.SIGTERM)
	timer := time.NewTimer(grace)
	defer timer.Stop()
	select {
	case <-r.ended:
	case <-ctx.Done():
	case <-timer.C:
		if r.stoppedCalmly(d.soak.calm) {
			d.soak.promises.note(StopCutsNothing, "daemon %s still ran %s after it was told to stop", d.name, grace)
		}
		d.kill()
	}
}

// close ends the process and what stands before it.
func (d *daemon) close() {
	d.mu.Lock()
	d.closed = true
	d.mu.Unlock()
	d.kill()
	d.callers.close()
	d.peers.close()
	d.log.Close()
}

// kill ends the process without notice.
func (d *daemon) kill() {
	if r := d.current(); r != nil {
		r.signal(syscall.SIGKILL)
		<-r.ended
	}
}

// awaitReady waits until the daemon takes callers, and tells whether it does.
func (d *daemon) awaitReady(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, readyTime)
	defer cancel()
	for ctx.Err() == nil {
		if platformtest.Ready(ctx, d.ready) {
			return true
		}
		clock.Sleep(ctx, readyPoll)
	}
	return false
}

// write writes the daemon's settings. The variant is a part that has no effect
// on the others, so that the file changes.
func (d *daemon) write(seeds []id.Address, callers, peers id.Address, variant int) error {
	var list []string
	for _, s := range seeds {
		list = append(list, string(s))
	}
	text := fmt.Sprintf(`[Host]
Name = %s
FailureDomain = %s
[Listen]
Callers = %s
Peers = %s
Operator = %s
[Advertise]
Callers = %s
Peers = %s
[Directory]
Resolve = %s
Ready = %s
[Peers]
Seeds = %s
[Store]
Address = %s
Terms = retryBudgetRatio=0.2,budgetSlack=50,ttl_max_s=5,minShare=0.7
[Limits]
BodyBuffer = 1MiB
[Timing]
Hold = 2s
LeaveMargin = 2s
Stop = 5500ms
Suspect = 1s
Probe = 500ms
Join = 1s
SlowCaller = %ds
`, d.name, d.domain, callers, peers, d.operator, d.callers.address(), d.peers.address(), d.resolve, d.ready,
		strings.Join(list, ","), d.soak.storeProxy.address(), 10+variant%5)
	// The daemon must never see half a file.
	next := d.settings + ".next"
	if err := os.WriteFile(next, []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(next, d.settings)
}

// newDaemon lays a daemon out without starting it.
func newDaemon(s *Soak, n int) (*daemon, error) {
	d := &daemon{soak: s, name: id.Host(fmt.Sprintf("host-%02d", n)), domain: domains[n%len(domains)]}
	d.settings = filepath.Join(s.cfg.Directory, string(d.name)+".ini")
	own := addresses(n)
	d.resolve, d.ready, d.operator = own[2], own[3], own[4]
	var err error
	if d.callers, err = newProxy(own[0]); err != nil {
		return nil, err
	}
	if d.peers, err = newProxy(own[1]); err != nil {
		return nil, err
	}
	d.log, err = os.Create(filepath.Join(s.cfg.Directory, string(d.name)+".log"))
	return d, err
}

const (
	// firstPort is the port of a daemon's first address.
	firstPort = 9001
	// daemonPorts is how many addresses a daemon listens on.
	daemonPorts = 5
)

// addresses returns the addresses of a daemon. Each process of a soak has a part
// of the loopback network of its own, where no connection takes ports away.
func addresses(n int) []id.Address {
	pid := os.Getpid()
	var list []id.Address
	for i := range daemonPorts {
		list = append(list, id.Address(fmt.Sprintf("127.%d.%d.%d:%d", 1+pid/256%250, pid%256, n+1, firstPort+i)))
	}
	return list
}
