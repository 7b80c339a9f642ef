package exchange

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/briarrouter/briarrouter/outcome"
	"github.com/briarrouter/briarrouter/unit"
	"github.com/briarrouter/briarrouter/work"
)

// Call is a request to send.
type Call struct {
	Method string
	URI    string
	Host   string
	// Fields are the header fields of the request that do not differ between attempts.
	// Those that Header also has are left out.
	Fields work.Fields
	Header http.Header
	Body   work.Body
	// MaxIdle is how long the connection may have been idle. A target may close
	// an idle connection just as the request is written, and then it is unknown
	// whether the request ran; non-idempotent requests set a short time.
	MaxIdle time.Duration
	// EchoHeader is the response header field that repeats the id of the request;
	// empty if responses carry no such field. An unsuccessful response may lack
	// it.
	EchoHeader string
	// Echo is the id that EchoHeader must repeat.
	Echo string
	// Unframed allows a response whose body ends with its connection.
	Unframed bool
	// SignatureHeader is a header field that every successful (2xx) response
	// must carry; empty if responses carry no such field.
	SignatureHeader string
}

// Reply is the result of an exchange.
type Reply struct {
	Ending outcome.Ending
	// Err is the cause of an ending other than Answered, for the log.
	Err    error
	Status int
	Header http.Header
	// Buffered is the whole body, or its beginning if Rest follows.
	Buffered []byte
	// Rest streams what follows Buffered; nil if Buffered is the whole body. It
	// must be closed. The connection is reused only if Rest was read to its end.
	Rest io.ReadCloser
	// Size is the length of the whole body, or -1 if unknown. For a HEAD request,
	// it is the Content-Length that the response states.
	Size unit.Bytes
	// Idle is how long the connection had been idle; negative for a new one.
	Idle time.Duration
	// release returns the memory of Header and Buffered; nil if there is none to return.
	release func()
}

// Release returns the memory of Header and Buffered. It must be called after the body has
// been passed on.
func (r *Reply) Release() {
	if r.release != nil {
		r.release()
		r.release = nil
	}
}

func failedReply(e outcome.Ending, err error) Reply { return Reply{Ending: e, Err: err} }

// Do sends a request and reads its response. The end of ctx interrupts the
// exchange.
func (p *Pool) Do(ctx context.Context, call Call) Reply {
	c, err := p.acquire(ctx, call.MaxIdle, call.Echo)
	if err != nil {
		return failedReply(outcome.DialFailed, err)
	}
	if err := contextError(ctx); err != nil {
		p.put(c)
		return failedReply(outcome.NotWritten, err)
	}
	x := &activeExchange{pool: p, conn: c, ctx: ctx, method: call.Method, sender: newSender(c, call)}
	x.stop = context.AfterFunc(ctx, x.interrupt)
	idle := c.idle()
	reply := x.run(call)
	reply.Idle = idle
	if reply.Ending != outcome.Answered {
		reply.Release()
		x.abandon()
	}
	return reply
}

// contextError returns why nothing may be sent any more, or nil. It compares
// the deadline with the clock: after a pause of the process, the context's
// timer may fire late.
func contextError(ctx context.Context) error {
	if deadline, ok := ctx.Deadline(); ok && !time.Now().Before(deadline) {
		return context.DeadlineExceeded
	}
	return ctx.Err()
}

// activeExchange is an exchange in progress. It holds its connection until
// finish or abandon is called.
type activeExchange struct {
	pool   *Pool
	conn   *conn
	ctx    context.Context
	method string
	sender *sender
	// stop ends the watch of the context; it returns false if the context has
	// already interrupted the connection.
	stop func() bool
	// mustClose is set if the connection must not be reused.
	mustClose bool
}

// interrupt ends the exchange when its context has ended.
func (x *activeExchange) interrupt() {
	x.sender.interruptBody()
	x.conn.interrupt()
}

func (x *activeExchange) run(call Call) Reply {
	x.conn.begin(x.pool.cfg.HeaderLimit)
	send := x.sender
	send.start()
	if err := send.writeError(); err != nil && x.conn.written.Load() == 0 {
		return failedReply(outcome.NotWritten, err)
	}
	// A target may respond before it has read the whole body, or respond and
	// close, so the response is read even after a failed write.
	resp, err := x.readResponse(call)
	incomplete := send.finish()
	if send.body.err != nil {
		return failedReply(outcome.BodyFailed, send.body.err)
	}
	if err != nil {
		return x.classifyFailure(send.err, err)
	}
	headers := x.conn.endHeader()
	x.conn.recordEcho(call.Echo)
	if call.EchoHeader != "" && !success(resp.StatusCode) && !x.conn.recordUnserved(call.Echo, resp.Header.Get(call.EchoHeader) != "") {
		x.mustClose = true
	}
	reply := Reply{Status: resp.StatusCode, Header: resp.Header, Size: unit.Bytes(resp.ContentLength), release: headers.Close}
	x.mustClose = x.mustClose || resp.Close || incomplete || send.err != nil
	if !x.conn.readKeepAlive(resp.Header) || announcesAbsentBody(resp, x.method) {
		x.mustClose = true
	}
	unframed := x.method != http.MethodHead && !framed(resp)
	if unframed && !call.Unframed {
		reply.Ending, reply.Err = outcome.Malformed, errUnframed
		return reply
	}
	if call.SignatureHeader != "" && success(resp.StatusCode) && resp.Header.Get(call.SignatureHeader) == "" {
		reply.Ending, reply.Err = outcome.Malformed, errUnsigned
		return reply
	}
	if unframed {
		if incomplete || send.err != nil {
			return x.truncated(reply, errors.Join(errUnfinished, send.err))
		}
		resp.Body = lastBody{resp.Body, x.conn}
	}
	return x.readBody(resp, reply)
}

var errUnsigned = errors.New("successful response lacks the signature header field")

func success(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

var errCrossed = errors.New("response does not carry the id of the request")

// maxHeaderSections limits the header sections that are read for one response:
// those of informational (1xx) responses and the final one.
const maxHeaderSections = 5

// readResponse reads the header section of the final response. Late duplicate
// responses to earlier requests of the connection are skipped.
func (x *activeExchange) readResponse(call Call) (*http.Response, error) {
	for {
		resp, err := x.readFinalResponse()
		if err != nil || call.EchoHeader == "" {
			return resp, err
		}
		echo := resp.Header.Get(call.EchoHeader)
		switch {
		case echo == call.Echo, echo == "" && !success(resp.StatusCode):
			// A target that refuses a request without reading it sends no id.
			return resp, nil
		case !x.conn.hasEcho(echo) || !framed(resp):
			return nil, errCrossed
		}
		x.mustClose = true
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, err
		}
	}
}

func (x *activeExchange) readFinalResponse() (*http.Response, error) {
	for range maxHeaderSections {
		resp, err := http.ReadResponse(x.conn.reader, &http.Request{Method: x.method})
		if err != nil {
			return nil, err
		}
		if err := checkStatusLine(resp); err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errSwitched
		}
	}
	return nil, errTooManyInformational
}

var (
	errSwitched             = malformedError("response switches protocols (status 101)")
	errTooManyInformational = malformedError("too many informational (1xx) responses")
)

// malformedError is the reason for rejecting a response that was received intact
// but is not accepted. It leads to the ending Malformed.
type malformedError string

func (m malformedError) Error() string { return string(m) }

// classifyFailure returns the result of an exchange in which no acceptable
// response header section was received.
func (x *activeExchange) classifyFailure(writeErr, readErr error) Reply {
	if e := x.interrupted(); e != "" {
		return failedReply(e, x.ctx.Err())
	}
	if writeErr != nil {
		return failedReply(outcome.WriteFailed, writeErr)
	}
	if errors.Is(readErr, errCrossed) {
		return failedReply(outcome.Crossed, readErr)
	}
	if isConnectionError(readErr) {
		return failedReply(outcome.Lost, readErr)
	}
	return failedReply(outcome.Malformed, readErr)
}

// interrupted returns the ending of the exchange if its context has ended, or "".
func (x *activeExchange) interrupted() outcome.Ending {
	switch err := x.ctx.Err(); {
	case err == nil:
		return ""
	case errors.Is(err, context.DeadlineExceeded):
		return outcome.TimedOut
	default:
		return outcome.Cancelled
	}
}

// readBody reads the whole body if it fits into the buffer; if not, the rest is
// left to a stream.
func (x *activeExchange) readBody(resp *http.Response, reply Reply) Reply {
	buffered, complete, err := x.bufferBody(resp, &reply)
	reply.Buffered = buffered
	if err != nil {
		return x.truncated(reply, err)
	}
	reply.Ending = outcome.Answered
	if complete {
		if x.method != http.MethodHead {
			reply.Size = unit.Bytes(len(buffered))
		}
		x.finish()
		return reply
	}
	reply.Rest = &stream{exchange: x, body: resp.Body}
	return reply
}

// truncated returns the reply of a response of which a part is missing.
func (x *activeExchange) truncated(reply Reply, err error) Reply {
	reply.Ending, reply.Err = outcome.Truncated, err
	if e := x.interrupted(); e != "" {
		reply.Ending = e
	}
	return reply
}

// bufferBody buffers the whole body if it fits into the buffer. It reads nothing
// if the stated length is too large or no memory is available. If a body of
// unknown length turns out to be too large, it returns the start of the body.
func (x *activeExchange) bufferBody(resp *http.Response, reply *Reply) (buffered []byte, complete bool, err error) {
	if x.method == http.MethodHead {
		return nil, true, nil
	}
	limit := x.pool.cfg.ResponseBuffer
	if resp.ContentLength > int64(limit) {
		return nil, false, nil
	}
	if resp.ContentLength >= 0 {
		limit = unit.Bytes(resp.ContentLength)
	}
	if !x.pool.cfg.Memory.TryAcquire(limit) {
		return nil, false, nil
	}
	releaseHeaders := reply.release
	reply.release = func() {
		x.pool.cfg.Memory.Release(limit)
		releaseHeaders()
	}
	return readUpTo(resp.Body, limit, resp.ContentLength >= 0)
}

// firstBuffer is the size of the first buffer of a body of unknown length.
const firstBuffer = 4 * unit.KiB

// readUpTo reads a body up to its end, or up to a byte more than a limit. The limit is its
// length if that is known. Unlike io.ReadAll, it holds no more than that in the end.
func readUpTo(body io.Reader, limit unit.Bytes, known bool) (buffered []byte, complete bool, err error) {
	size := limit
	if !known {
		size = min(limit, firstBuffer)
	}
	buffered = make([]byte, 0, size+1)
	for unit.Bytes(len(buffered)) <= limit {
		if len(buffered) == cap(buffered) {
			buffered = append(make([]byte, 0, min(limit+1, 2*unit.Bytes(cap(buffered)))), buffered...)
		}
		n, err := body.Read(buffered[len(buffered):cap(buffered)])
		buffered = buffered[:len(buffered)+n]
		switch {
		case err == io.EOF:
			return buffered, true, nil
		case err != nil:
			return buffered, false, err
		}
	}
	return buffered, false, nil
}

// finish ends an exchange whose response was read to its end, and returns the
// connection to the pool if it can be used again.
func (x *activeExchange) finish() {
	if !x.stop() || x.mustClose || x.conn.reader.Buffered() > 0 {
		x.pool.discard(x.conn)
		return
	}
	x.pool.put(x.conn)
}

// abandon ends an exchange that did not complete, and closes its connection.
func (x *activeExchange) abandon() {
	x.stop()
	x.pool.discard(x.conn)
}

// stream is the rest of a response body.
type stream struct {
	exchange *activeExchange
	body     io.ReadCloser
	ended    bool
}

// Read returns an error other than io.EOF if the body is incomplete.
func (s *stream) Read(p []byte) (int, error) {
	n, err := s.body.Read(p)
	if err == io.EOF && !s.ended {
		s.ended = true
		s.exchange.finish()
	}
	if err != nil && err != io.EOF {
		err = fmt.Errorf("response body is incomplete: %w", err)
	}
	return n, err
}

// Close ends the exchange. If the body was not read to its end, the connection
// is closed.
func (s *stream) Close() error {
	if !s.ended {
		s.ended = true
		s.exchange.abandon()
	}
	return nil
}
