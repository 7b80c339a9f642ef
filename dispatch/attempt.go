package dispatch

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/briarrouter/briarrouter/configuration"
	"github.com/briarrouter/briarrouter/exchange"
	"github.com/briarrouter/briarrouter/outcome"
	"github.com/briarrouter/briarrouter/schedule"
	"github.com/briarrouter/briarrouter/unit"
	"github.com/briarrouter/briarrouter/work"
)

// attempt is one attempt to run a request, from the granted slot to the end of
// the response.
type attempt struct {
	service   *serviceDispatcher
	execution *execution
	ticket    schedule.Ticket
	endpoint  schedule.Endpoint
	// inputs is what the choice of the endpoint was based on; for the log.
	inputs schedule.Inputs
	// number counts the attempts of the request, from 1.
	number int
	// waited is the time from the request for a slot to the grant.
	waited time.Duration
	// held tells that the request waited for a sound target although another one was
	// free.
	held bool
	// hedged tells that another attempt of the request was running when this one
	// started.
	hedged    bool
	startedAt time.Time
	result    schedule.Result
	reply     exchange.Reply
}

// run sends the request and passes the result to the execution. The slot is
// released by then, unless the response is streamed.
func (a *attempt) run() {
	a.reply = a.send()
	a.service.logAttempt(a)
	a.execution.attemptEnded(a)
}

func (a *attempt) send() exchange.Reply {
	req := a.execution.req
	pool, contract := a.poolAndContract()
	a.startedAt = time.Now()
	if pool == nil || !a.startedAt.Before(req.Deadline) {
		a.releaseSlot(outcome.NotWritten)
		return exchange.Reply{Ending: outcome.NotWritten, Err: context.DeadlineExceeded}
	}
	req.Progress.PassOn()
	reply := pool.Do(a.execution.ctx, a.newCall(req, a.execution.route, contract, a.number))
	a.service.detectDroppedIdle(&reply)
	a.evaluate(&reply, contract)
	if reply.Ending != outcome.Answered || reply.Rest == nil {
		a.releaseSlot(reply.Ending)
	}
	return reply
}

// poolAndContract returns the target's connection pool and the service's contract.
// The pool is nil if the target is no longer listed, or is listed as another
// process.
func (a *attempt) poolAndContract() (*exchange.Pool, configuration.Contract) {
	s := a.service
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.pools[a.endpoint.ID]; p != nil && p.endpoint.SameProcess(a.endpoint) {
		return p.pool, s.policy.Contract
	}
	return nil, s.policy.Contract
}

func (a *attempt) newCall(req *work.Request, route *configuration.Route, contract configuration.Contract, number int) exchange.Call {
	header := make(http.Header)
	attemptID := string(req.ID)
	if !contract.EchoVerbatim {
		attemptID = fmt.Sprintf("%s.%d", req.ID, number)
	}
	if contract.EchoHeader != "" {
		header.Set(contract.EchoHeader, attemptID)
	}
	if contract.TargetHeader != "" {
		header.Set(contract.TargetHeader, string(a.endpoint.ID))
	}
	if contract.DeadlineHeader != "" {
		left := req.Deadline.Sub(a.startedAt).Milliseconds()
		header.Set(contract.DeadlineHeader, strconv.FormatInt(left, 10))
	}
	return exchange.Call{
		Method: req.Method, URI: req.URI, Host: req.Host, Fields: req.Header, Header: header, Body: req.Body,
		MaxIdle: a.service.maxIdle(route), EchoHeader: contract.EchoHeader, Echo: attemptID,
		Unframed: contract.Unframed, SignatureHeader: contract.SignatureHeader,
	}
}

// evaluate sets the result from the response's status and header fields. A response
// that proves that the request did not run is discarded and its ending becomes
// Declined; one that claims so without proof becomes Malformed.
func (a *attempt) evaluate(reply *exchange.Reply, contract configuration.Contract) {
	a.result.Elapsed = time.Since(a.startedAt)
	if reply.Ending != outcome.Answered {
		return
	}
	said, err := parseStatement(reply, contract)
	a.service.recordStatement(a.startedAt, a.endpoint, said, err)
	a.result.Size = headerSize(reply.Header) + max(reply.Size, unit.Bytes(len(reply.Buffered)))
	a.result.Load = parseLoad(reply.Header.Get(contract.LoadHeader))
	a.result.Misdirected = contract.MisdirectedStatus != 0 && reply.Status == contract.MisdirectedStatus
	if declined(reply, contract) {
		a.discard(reply)
		reply.Ending = outcome.Declined
		return
	}
	if slices.Contains(contract.CallerNotRunStatuses, reply.Status) {
		// Callers conclude from this status that the request did not run, so the
		// response must not reach them if the target gave no proof of it.
		a.discard(reply)
		reply.Ending, reply.Err = outcome.Malformed, errUnprovenNotRun
		return
	}
	a.result.Wrong = reply.Status >= http.StatusInternalServerError
}

var errUnprovenNotRun = errors.New("response status means that the request did not run, but the response lacks the required proof")

// lineOverhead is the size of what a header line has beyond its name and value.
const lineOverhead = 4

// headerSize returns about the size of a header section in a message.
func headerSize(h http.Header) unit.Bytes {
	n := 0
	for name, values := range h {
		for _, value := range values {
			n += len(name) + len(value) + lineOverhead
		}
	}
	return unit.Bytes(n)
}

// discard releases the memory of an unused response and closes its body.
func (a *attempt) discard(reply *exchange.Reply) {
	reply.Release()
	if reply.Rest != nil {
		reply.Rest.Close()
	}
}

// declined tells whether the response proves, by the service's contract, that the
// request did not run. The status alone is no proof if the contract also requires
// a header field.
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

// parseLoad reads the numbers of running and waiting requests, separated by a
// comma. It returns nil for any other format: the load only improves the choice
// of targets, so a malformed value is not an error.
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

// releaseSlot frees the target's slot and reports the result, with the given ending,
// to the scheduler.
func (a *attempt) releaseSlot(e outcome.Ending) {
	a.result.Ending = e
	a.service.finish(a.ticket, a.result)
}

// response returns the target's response for the caller.
func (a *attempt) response() work.Response {
	response := work.Response{Outcome: outcome.Ran, Status: a.reply.Status, Header: a.reply.Header, Buffered: a.reply.Buffered, Size: a.reply.Size}
	if a.reply.Rest != nil {
		stream := &responseStream{ReadCloser: a.reply.Rest, attempt: a}
		a.service.transfers.addResponse(stream)
		response.Rest = stream
		return response
	}
	a.execution.releaseContext()
	response.Release = a.reply.Release
	return response
}
