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

// daemon is one host that runs the program under test. Callers and peers reach
// it through proxies, whose addresses stay the same when its process restarts.
type daemon struct {
	soak   *Soak
	name   id.Host
	domain id.FailureDomain
	// These addresses are used directly, without a proxy. Callers ask resolveAddress
	// where to connect; readyAddress serves the readiness check.
	resolveAddress, readyAddress, operatorAddress id.Address
	// These proxies forward to the addresses for callers and for peers.
	callerProxy, peerProxy *proxy
	// callerAddress is the address that callers are given: that of callerProxy, or the
	// daemon's own while no faults are injected.
	callerAddress id.Address
	settingsPath  string
	log           *os.File

	mu sync.Mutex
	// process is the running process; nil if there is none.
	process *daemonProcess
	// closed prevents further starts once the soak ends.
	closed bool
}

// daemonProcess is one process of a daemon, from its start to its exit.
type daemonProcess struct {
	daemon *daemon
	cmd    *exec.Cmd
	// startedAt is when the process was started.
	startedAt time.Time
	// exited is closed when the process has exited.
	exited chan struct{}
	// newestUsed is the newest configuration that the process was seen to use, as a
	// position in checker.assignments counted from 1; 0 if there is none. newestUsedAt
	// is when it was first seen to use it. Both are guarded by checker.mu.
	newestUsed   int
	newestUsedAt time.Time

	mu sync.Mutex
	// stopRequestedAt is when a planned stop began; zero before that.
	stopRequestedAt time.Time
}

// stopTime returns when a planned stop began; zero before that.
func (p *daemonProcess) stopTime() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stopRequestedAt
}

// stoppedFaultFree reports whether a planned stop was requested and no fault can
// have affected it.
func (p *daemonProcess) stoppedFaultFree(f *faultTracker) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.stopRequestedAt.IsZero() && f.noneSince(p.stopRequestedAt.Add(-settleTime))
}

// start starts a process unless one is running or the daemon is closed. A
// goroutine of the soak waits for its exit.
func (d *daemon) start() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.process != nil || d.closed {
		return nil
	}
	cmd := exec.Command(d.soak.cfg.Program, "serve", "--settings", d.settingsPath)
	cmd.Stdout, cmd.Stderr = d.log, d.log
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("soak: starting daemon %s: %w", d.name, err)
	}
	p := &daemonProcess{daemon: d, cmd: cmd, startedAt: time.Now(), exited: make(chan struct{})}
	d.process = p
	d.soak.group.Go(p.run)
	if share := d.soak.cfg.RunShare; share > 0 {
		t := &throttle{process: p, share: share}
		d.soak.group.Go(t.run)
	}
	return nil
}

// run waits for the exit of the process. A non-zero exit code before the end
// of the soak breaks StopCutsNothing. Termination by a signal does not, since the
// soak itself kills processes.
func (p *daemonProcess) run() {
	err := p.cmd.Wait()
	p.daemon.mu.Lock()
	if p.daemon.process == p {
		p.daemon.process = nil
	}
	p.daemon.mu.Unlock()
	close(p.exited)
	var exit *exec.ExitError
	if errors.As(err, &exit) && exit.Exited() && p.daemon.soak.context.Err() == nil {
		p.daemon.soak.checker.recordViolation(StopCutsNothing, "daemon %s exited with a failure: %v", p.daemon.name, err)
	}
}

// current returns the running process; nil if there is none.
func (d *daemon) current() *daemonProcess {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.process
}

// signal sends a signal to the process. It does nothing if p is nil or the
// process has exited.
func (p *daemonProcess) signal(s os.Signal) {
	if p == nil {
		return
	}
	if err := p.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		p.daemon.soak.logf("sending signal %v to %s: %v", s, p.daemon.name, err)
	}
}

const (
	// stopGrace is the time between SIGTERM and SIGKILL in a planned stop.
	stopGrace = 6 * time.Second
	// readyTimeout is the time within which a started daemon must be ready for
	// callers.
	readyTimeout = 10 * time.Second
	readyPoll    = 50 * time.Millisecond
	// listenPoll is short, so that the time from the begin of listening is known.
	listenPoll = 2 * time.Millisecond
)

// stop stops the process as the platform does in planned maintenance: SIGTERM,
// then SIGKILL if it still runs after stopGrace. If ctx ends first, stop returns
// without SIGKILL.
func (d *daemon) stop(ctx context.Context) {
	p := d.current()
	if p == nil {
		return
	}
	p.mu.Lock()
	p.stopRequestedAt = time.Now()
	p.mu.Unlock()
	p.signal(syscall.SIGTERM)
	timer := time.NewTimer(stopGrace)
	defer timer.Stop()
	select {
	case <-p.exited:
	case <-ctx.Done():
	case <-timer.C:
		if p.stoppedFaultFree(d.soak.faults) {
			d.soak.checker.recordViolation(StopCutsNothing, "daemon %s was still running %s after SIGTERM", d.name, stopGrace)
		}
		d.kill()
	}
}

// close kills the process, closes the proxies and prevents further starts.
func (d *daemon) close() {
	d.mu.Lock()
	d.closed = true
	d.mu.Unlock()
	d.kill()
	d.callerProxy.close()
	d.peerProxy.close()
	d.log.Close()
}

// kill sends SIGKILL and waits for the exit.
func (d *daemon) kill() {
	if p := d.current(); p != nil {
		p.signal(syscall.SIGKILL)
		<-p.exited
	}
}

// awaitReady waits until the daemon is ready for callers and reports whether it
// became so within readyTimeout.
func (d *daemon) awaitReady(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for ctx.Err() == nil {
		if platformtest.Ready(ctx, d.readyAddress) {
			return true
		}
		clock.Sleep(ctx, readyPoll)
	}
	return false
}

// awaitListening waits until the daemon listens for callers, at most readyTimeout.
func (d *daemon) awaitListening(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for ctx.Err() == nil {
		if conn, err := platformtest.Dial(ctx, d.callerAddress); err == nil {
			conn.Close()
			return
		}
		clock.Sleep(ctx, listenPoll)
	}
}

// writeSettings writes the settings file with the addresses to listen on for
// callers and peers. The variant, modulo 5, selects the value of SlowCaller. Since
// all five values are longer than callerTimeout, a daemon can be made to reload
// changed settings without an effect on callers.
func (d *daemon) writeSettings(seeds []id.Address, callers, peers id.Address, variant int) error {
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
`, d.name, d.domain, callers, peers, d.operatorAddress, d.callerAddress, d.peerProxy.address(), d.resolveAddress, d.readyAddress,
		strings.Join(list, ","), d.soak.storeProxy.address(), 10+variant%5)
	// The rename makes the replacement atomic: the daemon never reads a partial file.
	next := d.settingsPath + ".next"
	if err := os.WriteFile(next, []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(next, d.settingsPath)
}

// newDaemon creates a daemon's proxies and log file without starting a process.
func newDaemon(s *Soak, n int) (*daemon, error) {
	d := &daemon{soak: s, name: id.Host(fmt.Sprintf("host-%02d", n)), domain: domains[n%len(domains)]}
	d.settingsPath = filepath.Join(s.cfg.Directory, string(d.name)+".ini")
	listen := listenAddresses(n)
	d.resolveAddress, d.readyAddress, d.operatorAddress = listen[2], listen[3], listen[4]
	var err error
	if d.callerProxy, err = newProxy(listen[0]); err != nil {
		return nil, err
	}
	d.callerAddress = d.callerProxy.address()
	if s.cfg.PlannedWork {
		d.callerAddress = listen[0]
	}
	if d.peerProxy, err = newProxy(listen[1]); err != nil {
		return nil, err
	}
	d.log, err = os.Create(filepath.Join(s.cfg.Directory, string(d.name)+".log"))
	return d, err
}

const (
	firstPort = 9001
	// daemonPorts is the number of addresses that a daemon listens on: callers,
	// peers, resolve, ready and operator, on consecutive ports.
	daemonPorts = 5
)

// listenAddresses returns the addresses that a daemon listens on. They are in a
// part of 127.0.0.0/8 derived from the process id, so that soaks running at the
// same time rarely collide. Outgoing connections occupy no port there, because their
// local address is 127.0.0.1.
func listenAddresses(n int) []id.Address {
	pid := os.Getpid()
	var list []id.Address
	for i := range daemonPorts {
		list = append(list, id.Address(fmt.Sprintf("127.%d.%d.%d:%d", 1+pid/256%250, pid%256, n+1, firstPort+i)))
	}
	return list
}
