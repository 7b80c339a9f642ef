package caller

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/briarrouter/briarrouter/id"
	"github.com/briarrouter/briarrouter/outcome"
	"github.com/briarrouter/briarrouter/unit"
	"github.com/briarrouter/briarrouter/work"
	"golang.org/x/net/http/httpguts"
)

// transaction is one request and its response.
type transaction struct {
	connection *connection
	request    *http.Request
	limits     limits
	// hasKey is set if the request carries an idempotency key, or may carry one.
	hasKey bool
	// awaitsContinue is set if the caller sends the body only after an informational
	// response.
	awaitsContinue bool
	// arrivedAt is when the header section had arrived. A pipelined request has waited
	// since then for the requests before it.
	arrivedAt time.Time
	// body is the request body while it has not been read whole; nil if it has
	// been buffered whole or is empty.
	body *body
	id   id.Request
	// read is set when the request has been read, apart from a body that is streamed.
	read bool
	// closes is set once a response announces that it is the last one of the connection.
	closes bool
}

// run handles the request and reports whether the connection is kept open.
func (x *transaction) run() bool {
	c, s := x.connection, x.connection.server
	if response, ok := s.addressResponse(x.request); ok {
		c.endParsing()
		x.id = id.NewRequest()
		x.beRead()
		// A body is not read, and must not be taken for the next request.
		x.request.Close = x.request.Close || x.request.Body != http.NoBody
		return x.finish(response)
	}
	req, err := s.dialect.Decode(x.request, x.arrivedAt)
	x.dropHeader()
	if err != nil {
		x.refuse(http.StatusBadRequest, work.BadRequest, err)
		c.linger()
		return false
	}
	x.id, req.Origin = req.ID, c.origin
	release, err := x.readBody(req)
	defer release()
	if err != nil {
		x.refuseBody(err)
		c.linger()
		return false
	}
	c.setReadDeadline(0)
	x.beRead()
	req.Departure, req.Progress = s.departure.Load(), c.progress.handle()
	started := time.Now()
	response := x.handle(req)
	if response.Reason == work.CallerGone && !c.callerGone() {
		response = work.Refuse(response.Outcome, response.Status, work.Leaving)
	}
	x.logResponse(req, response, time.Since(started))
	return x.finish(response)
}

// dropHeader drops the parsed header section after it was decoded: the request holds an
// encoded copy of the fields that are passed on.
func (x *transaction) dropHeader() {
	h := x.request.Header
	x.hasKey = len(h.Values(KeyField)) > 0
	x.awaitsContinue = httpguts.HeaderValuesContainsToken(h["Expect"], "100-continue")
	x.request.Header, x.request.Trailer = nil, nil
	x.connection.endParsing()
}

// hasReadAll reports whether no request has arrived that was not read.
func (c *connection) hasReadAll() bool { return c.unparsed() == 0 && !c.input.hasUnread() }

// handle passes the request to the handler. If that panics, it is unknown whether the
// request ran.
func (x *transaction) handle(req *work.Request) (response work.Response) {
	defer func() {
		if cause := recover(); cause != nil {
			x.connection.server.log.Error().Str("Request", work.Clip(string(req.ID))).Interface("Cause", cause).Bytes("Stack", debug.Stack()).
				Msg("handling a request panicked")
			response = work.Refuse(outcome.Unknown, http.StatusBadGateway, work.InternalError)
		}
	}()
	return x.connection.server.handler.Handle(x.connection.ctx, req)
}

// finish writes a response and reports whether the connection is kept open.
func (x *transaction) finish(response work.Response) bool {
	if !x.write(response) {
		return false
	}
	if x.closes {
		x.connection.linger()
	}
	return !x.closes
}

// beRead records that the request has been read.
func (x *transaction) beRead() {
	x.read, x.connection.lastRequest = true, id.Request(work.Clip(string(x.id)))
	x.connection.used.Store(true)
}

// closesConnection reports whether the connection is to be closed after this
// response. It is closed if a streamed body was not read to its end, because
// the unread bytes would precede the next request, and if another connection waits for
// its slot.
func (x *transaction) closesConnection() bool {
	return x.request.Close || !x.request.ProtoAtLeast(1, 1) || x.body != nil && !x.body.atEOF ||
		x.connection.isLeaving() || x.connection.yielded.Load() || x.connection.server.crowded.Load() && x.connection.hasReadAll()
}

const (
	// minMemoryRetry and maxMemoryRetry bound Retry-After for lack of memory. A refusal
	// closes the connection that has waited longest in a header section, so that there may
	// be room at once; the range keeps callers that were refused together from returning
	// together.
	minMemoryRetry = 100 * time.Millisecond
	maxMemoryRetry = 400 * time.Millisecond
)

// refuse rejects a request before any attempt. The response announces that the
// connection will be closed; closing it is left to the calling function. If the
// request carries an idempotency key, the outcome is unknown, because an earlier
// request with the key may have run.
func (x *transaction) refuse(status int, reason work.Reason, err error) {
	result := outcome.NotRun
	if x.hasKey {
		result = outcome.Unknown
	}
	response := work.Refuse(result, status, reason)
	response.Buffered = append(response.Buffered, err.Error()+"\n"...)
	response.Size = unit.Bytes(len(response.Buffered))
	if status == http.StatusServiceUnavailable {
		response.RetryAfter = minMemoryRetry + rand.N(maxMemoryRetry-minMemoryRetry)
	}
	if x.id == "" {
		x.id = id.NewRequest()
	}
	x.connection.server.cfg.Log.Info().Str("Request", work.Clip(string(x.id))).Int("Status", status).Str("Reason", string(reason)).
		Str("Cause", work.Clip(err.Error())).Msg("request cannot be read")
	x.request.Close = true
	x.connection.progress.finish(refused)
	x.write(response)
}

// write writes and closes a response. It returns false if writing failed; the
// connection must then be closed, so that the truncated response does not look
// complete.
func (x *transaction) write(response work.Response) bool {
	defer response.Close()
	c := x.connection
	c.progress.enter(writing)
	c.output.written = 0
	// Decided once: a caller that is not told may send its next request on the connection.
	x.closes = x.closesConnection()
	resp := &http.Response{
		StatusCode: response.Status, ProtoMajor: 1, ProtoMinor: 1, Request: x.request,
		Header: c.server.dialect.Encode(x.id, response), ContentLength: int64(response.Size), Close: x.closes,
	}
	resp.Body = io.NopCloser(io.MultiReader(bytes.NewReader(response.Buffered), remainder(response)))
	if response.Size == 0 || x.request.Method == http.MethodHead {
		resp.Body = http.NoBody
	}
	if response.Size < 0 {
		resp.TransferEncoding = []string{"chunked"}
	}
	err := resp.Write(c.writer)
	if err == nil {
		err = c.writer.Flush()
	}
	switch {
	case err != nil:
		c.progress.finish(responseFailed)
	case x.closes:
		c.progress.finish(lastResponse)
	}
	x.recordAnswer(response, err)
	return err == nil
}

func remainder(response work.Response) io.Reader {
	if response.Rest == nil {
		return http.NoBody
	}
	return response.Rest
}
