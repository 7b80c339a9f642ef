package soak

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/platform/platformtest"
	"github.com/briarrouter/briarrouter/scripttest"
)

// TestPromises shows which breaches are seen in what callers and targets see.
func TestPromises(t *testing.T) {
	scripttest.Run(t, ".script", func(*testing.T) func([]string) string {
		s := &promiseScript{calls: make(map[string]platformtest.Call), runs: make(map[string]*daemonRun)}
		s.calm = &calm{}
		s.promises = newPromises(time.Now(), s.calm)
		return s.execute
	})
}

type promiseScript struct {
	calm     *calm
	promises *promises
	calls    map[string]platformtest.Call
	runs     map[string]*daemonRun
	end      func()
}

func (s *promiseScript) run(name string) *daemonRun {
	if s.runs[name] == nil {
		s.runs[name] = &daemonRun{daemon: &daemon{name: id.Host(name)}}
	}
	return s.runs[name]
}

// execute runs a command: wait SPAN; fault; heal; move SERVICE; leave TARGET;
// stop DAEMON; send REQUEST safe|unsafe PATH DAEMON; run REQUEST TARGET;
// answer REQUEST STATUS [OF]; cut REQUEST; report.
func (s *promiseScript) execute(w []string) string {
	p := s.promises
	before := len(p.breaches)
	switch w[0] {
	case "wait":
		d, err := time.ParseDuration(w[1])
		if err != nil {
			return err.Error()
		}
		time.Sleep(d)
	case "fault":
		s.end = s.calm.begin()
	case "heal":
		s.end()
	case "move":
		p.moves = append(p.moves, move{service: id.Service(w[1]), at: time.Now()})
	case "leave":
		p.leaving[id.Target(w[1])] = time.Now()
	case "stop":
		s.run(w[1]).stopping = time.Now()
	case "send":
		call := platformtest.Call{Request: id.Request(w[1]), Idempotent: w[2] == "safe", Path: w[3]}
		s.calls[w[1]] = call
		p.sends(call, s.run(w[4]))
	case "run":
		service, _, _ := strings.Cut(w[2], "-")
		p.began(platformtest.Run{Request: id.Request(w[1]), Target: id.Target(w[2]), Service: id.Service(service), Path: s.calls[w[1]].Path})
	case "answer":
		s.answer(w)
	case "cut":
		p.ended(s.calls[w[1]], platformtest.Reply{}, true, errors.New("connection reset"))
	case "report":
		return fmt.Sprintf("%+v", p.counts)
	}
	var lines []string
	for _, b := range p.breaches[before:] {
		lines = append(lines, b.String())
	}
	return strings.Join(lines, "\n")
}

// answer gives a request the answer of another one where that is named.
func (s *promiseScript) answer(w []string) {
	call := s.calls[w[1]]
	var status int
	fmt.Sscan(w[2], &status)
	of := call.Request
	if len(w) > 3 {
		of = id.Request(w[3])
	}
	text := platformtest.Answer("beds-1", of, call.Path, nil)
	s.promises.ended(call, platformtest.Reply{Status: status, Body: text, Signature: platformtest.Sign(text), Attempt: call.Request}, true, nil)
}
