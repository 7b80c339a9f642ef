package soak

import (
	"syscall"
	"time"
)

// throttlePeriod is the period in which a throttled process runs and pauses.
const throttlePeriod = 100 * time.Millisecond

// throttle lets a process run for a share of each throttlePeriod only.
type throttle struct {
	process *daemonProcess
	share   float64
}

// run pauses and resumes the process until it exits.
func (t *throttle) run() {
	running := time.Duration(t.share * float64(throttlePeriod))
	for t.sleep(running) {
		t.process.signal(syscall.SIGSTOP)
		if !t.sleep(throttlePeriod - running) {
			return
		}
		t.process.signal(syscall.SIGCONT)
	}
}

// sleep returns false if the process has exited meanwhile.
func (t *throttle) sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-t.process.exited:
		return false
	}
}
