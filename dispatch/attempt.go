package dispatch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/briarrouter/briarrouter/configuration"
	"github.com/briarrouter/briarrouter/exchange"
	"github.com/briarrouter/briarrouter/outcome"
	"github.com/briarrouter/briarrouter/schedule"
	"github.com/briarrouter/briarrouter/work"
)

// attemptExchange is one attempt to run a request, from the granted slot to
// the end of the answer.
type attemptExchange struct {
	service  *serviceDispatcher
	of       *delivery
	ticket   schedule.Ticket
	endpoint schedule.Endpoint
	// inputs is what the endpoint was chosen by.
	inputs schedule.Inputs
	// number counts the attempts of the request, from 1.
	number int
	// waited is how long the slot was waited for.
	waited time.Duration
	// beside tells that another attempt of the request runs.
	beside  bool
	started time.Time
	result  schedule.Result
	reply   exchange.Reply
}

// run sends the request and hands the result to the request's delivery. Unless a
// streamed answer follows, the slot is free again then.
func (x *attemptExchange) run() {
	x.reply = x.send()
	x.service.logAttempt(x)
	x.of.hand(x)
}

func (x *attemptExchange) send() exchange.Reply {
	req := x.of.req
	pool, contract := x.target()
	x.started = time.Now()
	if pool == nil || !x.started.Before(req.Deadline) {
		x.end(outcome.NotWritten)
		return exchange.Reply{Ending: outcome.NotWritten, Err: context.DeadlineExceeded}
	}
	reply := pool.Do(x.of.ctx, x.call(req, x.of.route, contract, x.number))
	x.service.learnIdle(&reply)
	x.judge(&reply, contract)
	if reply.Ending != outcome.Answered || reply.Rest == nil {
		x.end(reply.Ending)
	}
	return reply
}

func (x *attemptExchange) target() (*exchange.Pool, configuration.Contract) {
	s := x.service
	s.mu.Lock()
	defer s.mu.Unlock()
	if c := s.connections[x.endpoint.ID]; c != nil && c.endpoint.Same(x.endpoint) {
		return c.pool, s.policy.Target
	}
	return nil, s.policy.Target
}

func (x *attemptExchange) call(req *work.Request, route *configuration.Route, contract configuration.Contract, attempt int) exchange.Call {
	header := req.Header.Clone()
	if header == nil {
		header = make(http.Header)
	}
	attemptID := string(req.ID)
	if !contract.EchoVerbatim {
		attemptID = fmt.Sprintf("%s.%d", req.ID, attempt)
	}
	if contract.EchoHeader != "" {
		header.Set(contract.EchoHeader, attemptID)
	}
	if contract.TargetHeader != "" {
		header.Set(contract.TargetHeader, string(x.endpoint.ID))
	}
	if contract.DeadlineHeader != "" {
		left := req.Deadline.Sub(x.started).Milliseconds()
		header.Set(contract.DeadlineHeader, strconv.FormatInt(left, 10))
	}
	return exchange.Call{
		Method: req.Method, URI: req.URI, Host: req.Host, Header: header, Body: req.Body,
		MaxIdle: x.service.maxIdle(route), EchoHeader: contract.EchoHeader, Echo: attemptID,
		Unframed: contract.Unframed, SignatureHeader: contract.SignatureHeader,
	}
}

// judge draws the conclusions from the head of the answer.
func (x *attemptExchange) judge(reply *exchange.Reply, contract configuration.Contract) {
	x.result.Elapsed = time.Since(x.started)
	if reply.Ending != outcome.Answered {
		return
	}
	if contract.DrainHeader != "" && reply.Header.Get(contract.DrainHeader) != "" {
		x.result.Draining = true
	}
	x.result.Load = parseLoad(reply.Header.Get(contract.LoadHeader))
	x.result.Misdirected = contract.MisdirectedStatus != 0 && reply.Status == contract.MisdirectedStatus
	if declined(reply, contract) {
		x.discard(reply)
		reply.Ending = outcome.Declined
		return
	}
	if slices.Contains(contract.Promises, reply.Status) {
		x.discard(reply)
		reply.Ending, reply.Err = outcome.Malformed, errNoProof
		return
	}
	x.result.Wrong = reply.Status >= http.StatusInternalServerError
}

var errNoProof = errors.New("answer says without proof that the request did not run")

// discard ends the use of an answer that nobody gets.
func (x *attemptExchange) discard(reply *exchange.Reply) {
	reply.Release()
	if reply.Rest != nil {
		reply.Rest.Close()
	}
}

// declined tells whether the answer is the one that the contract declares to
// mean "not run". A status alone is no proof where a header must stand beside.
func declined(reply *exchange.Reply, contract configuration.Contract) bool {
	if contract.MisdirectedStatus != 0 && reply.Status == contract.MisdirectedStatus {
		return true
	}
	if contract.NotRunAnyStatus {
		return reply.Header.Get(contract.NotRunHeader) != ""
	}
	if contract.NotRunStatus == 0 || reply.Status != contract.NotRunStatus {
		return false
	}
	return contract.NotRunHeader == "" || reply.Header.Get(contract.NotRunHeader) != ""
}

// parseLoad reads the numbers of running and of waiting requests. Nothing is
// taken of a text that has another form: the load only helps to choose.
func parseLoad(text string) *schedule.Load {
	parts := strings.Split(text, ",")
	if len(parts) < 2 {
		return nil
	}
	running, errRunning := strconv.Atoi(strings.TrimSpace(parts[0]))
	waiting, errWaiting := strconv.Atoi(strings.TrimSpace(parts[1]))
	if errRunning != nil || errWaiting != nil || running < 0 || waiting < 0 {
		return nil
	}
	return &schedule.Load{Running: running, Waiting: waiting}
}

// end frees the slot.
func (x *attemptExchange) end(e outcome.Ending) {
	x.result.Ending = e
	x.service.finish(x.ticket, x.endpoint.Address, x.result)
}

// answer passes the target's answer on.
func (x *attemptExchange) answer() work.Answer {
	a := work.Answer{Outcome: outcome.Ran, Status: x.reply.Status, Header: x.reply.Header, Held: x.reply.Held, Size: x.reply.Size}
	if x.reply.Rest != nil {
		a.Rest = &answerStream{ReadCloser: x.reply.Rest, attempt: x}
		return a
	}
	x.of.release()
	a.Done = x.reply.Release
	return a
}

// answerStream is a streamed answer that holds its slot to the end.
type answerStream struct {
	io.ReadCloser
	attempt *attemptExchange
	ended   bool
}

// Read frees the slot at the end of the answer, or at a cut.
func (s *answerStream) Read(p []byte) (int, error) {
	n, err := s.ReadCloser.Read(p)
	switch {
	case err == io.EOF:
		s.end(outcome.Answered)
	case err != nil:
		s.end(outcome.Truncated)
	}
	return n, err
}

// Close frees the slot where the answer was not read to its end.
func (s *answerStream) Close() error {
	s.end(outcome.Cancelled)
	return s.ReadCloser.Close()
}

func (s *answerStream) end(e outcome.Ending) {
	if s.ended {
		return
	}
	s.ended = true
	s.attempt.end(e)
	s.attempt.of.release()
	s.attempt.reply.Release()
}
