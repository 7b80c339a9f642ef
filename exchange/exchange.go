package exchange

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/briarrouter/briarrouter/outcome"
	"github.com/briarrouter/briarrouter/unit"
	"github.com/briarrouter/briarrouter/work"
)

// Call is one request to send.
type Call struct {
	Method string
	URI    string
	Host   string
	Header http.Header
	Body   work.Body
	// MaxIdle is how long a connection may have been idle to be used. A target
	// may close an idle connection just as the request is written, and then
	// nothing is known; work that must not be repeated asks for a short time.
	MaxIdle time.Duration
	// EchoHeader is a field of the answer that must repeat Echo; empty where
	// answers carry no such field.
	EchoHeader string
	Echo       string
	// Unframed allows an answer whose body ends with its connection.
	Unframed bool
	// SignatureHeader is a field that every answer of success must carry; empty
	// where answers carry no such field.
	SignatureHeader string
}

// Reply is how the exchange ended.
type Reply struct {
	Ending outcome.Ending
	// Err says why the ending is not Answered; for the log.
	Err    error
	Status int
	Header http.Header
	// Held is the whole body, or its start where Rest follows.
	Held []byte
	// Rest streams what follows Held; nil where Held is whole. It must be
	// closed. The connection is reused only when Rest was read to its end.
	Rest io.ReadCloser
	Size unit.Bytes
	// ToHead is the time from the first byte of the request to the answer's
	// head.
	ToHead time.Duration
	// Idle is how long the connection had been idle; negative for a new one.
	Idle time.Duration
	// release gives back the memory of Held.
	release func()
}

// Release gives back the memory of the body that is held. It must be called
// once the body was passed on.
func (r *Reply) Release() {
	if r.release != nil {
		r.release()
		r.release = nil
	}
}

func failed(e outcome.Ending, err error) Reply { return Reply{Ending: e, Err: err} }

// Do sends a request and reads its answer. The context's end interrupts it.
func (p *Pool) Do(ctx context.Context, call Call) Reply {
	c, err := p.take(ctx, call.MaxIdle)
	if err != nil {
		return failed(outcome.DialFailed, err)
	}
	if err := ended(ctx); err != nil {
		p.put(c)
		return failed(outcome.NotWritten, err)
	}
	x := &running{pool: p, conn: c, ctx: ctx, method: call.Method}
	x.stop = context.AfterFunc(ctx, c.interrupt)
	idle := c.idle()
	reply := x.run(call)
	reply.Idle = idle
	if reply.Ending != outcome.Answered {
		reply.Release()
		x.abandon()
	}
	return reply
}

// ended returns why nothing may be sent any more, or nil. It looks at the clock
// itself: in a process that was paused, the timer of the context may come late.
func ended(ctx context.Context) error {
	if deadline, ok := ctx.Deadline(); ok && !time.Now().Before(deadline) {
		return context.DeadlineExceeded
	}
	return ctx.Err()
}

// running is one exchange on its connection.
type running struct {
	pool   *Pool
	conn   *conn
	ctx    context.Context
	method string
	// stop ends the watch of the context; it returns false if the context
	// already interrupted the connection.
	stop  func() bool
	close bool
}

func (x *running) run(call Call) Reply {
	x.conn.begin(x.pool.cfg.HeadLimit)
	started := time.Now()
	send := newSender(x.conn, call)
	send.start()
	if err := send.finished(); err != nil && x.conn.written.Load() == 0 {
		return failed(outcome.NotWritten, err)
	}
	// A target may answer before it took the whole body, or answer and close,
	// so the answer is looked for even after a failed write.
	resp, err := x.readHead(call)
	early := send.end()
	if send.body.err != nil {
		return failed(outcome.BodyFailed, send.body.err)
	}
	if err != nil {
		return x.noHead(send.err, err)
	}
	x.conn.headDone()
	x.conn.answered(call.Echo)
	reply := Reply{Status: resp.StatusCode, Header: resp.Header, Size: unit.Bytes(resp.ContentLength), ToHead: time.Since(started)}
	x.close = x.close || resp.Close || early || send.err != nil
	x.conn.keep(resp.Header)
	if x.method != http.MethodHead && !framed(resp) && !call.Unframed {
		reply.Ending, reply.Err = outcome.Malformed, errUnframed
		return reply
	}
	if call.SignatureHeader != "" && success(resp.StatusCode) && resp.Header.Get(call.SignatureHeader) == "" {
		reply.Ending, reply.Err = outcome.Malformed, errUnsigned
		return reply
	}
	return x.readBody(resp, reply)
}

var errUnsigned = errors.New("answer of success lacks the signature of its target")

func success(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

var errCrossed = errors.New("answer carries the id of another request")

var errUnframed = errors.New("answer has neither a length nor chunks, so its end cannot be told from a cut")

// framed tells whether the end of the body can be told from a broken
// connection.
func framed(resp *http.Response) bool {
	return resp.ContentLength >= 0 || slices.Contains(resp.TransferEncoding, "chunked")
}

// maxInformational bounds the 1xx answers before the final one.
const maxInformational = 5

// readHead reads the head of the final answer. Second answers to earlier
// requests of the connection, which may arrive late, are skipped.
func (x *running) readHead(call Call) (*http.Response, error) {
	for {
		resp, err := x.readFinal()
		if err != nil || call.EchoHeader == "" {
			return resp, err
		}
		echo := resp.Header.Get(call.EchoHeader)
		switch {
		case echo == call.Echo, echo == "" && !success(resp.StatusCode):
			// A target that declines before it looks at the request names none.
			return resp, nil
		case !x.conn.answeredBefore(echo) || !framed(resp):
			return nil, errCrossed
		}
		x.close = true
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, err
		}
	}
}

func (x *running) readFinal() (*http.Response, error) {
	for range maxInformational {
		resp, err := http.ReadResponse(x.conn.reader, &http.Request{Method: x.method})
		if err != nil {
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
	errSwitched             = malformed("answer switches protocols")
	errTooManyInformational = malformed("too many informational answers")
)

// malformed is an answer that breaks the rules.
type malformed string

func (m malformed) Error() string { return string(m) }

// noHead returns the ending of an exchange whose answer has no head.
func (x *running) noHead(writeErr, readErr error) Reply {
	if e := x.interrupted(); e != "" {
		return failed(e, x.ctx.Err())
	}
	if writeErr != nil {
		return failed(outcome.WriteFailed, writeErr)
	}
	if errors.Is(readErr, errCrossed) {
		return failed(outcome.Crossed, readErr)
	}
	if lostConnection(readErr) {
		return failed(outcome.Lost, readErr)
	}
	return failed(outcome.Malformed, readErr)
}

// interrupted returns the ending where the context ended the exchange.
func (x *running) interrupted() outcome.Ending {
	switch err := x.ctx.Err(); {
	case err == nil:
		return ""
	case errors.Is(err, context.DeadlineExceeded):
		return outcome.TimedOut
	default:
		return outcome.Cancelled
	}
}

// readBody reads the body whole if it fits, or hands the rest over.
func (x *running) readBody(resp *http.Response, reply Reply) Reply {
	held, whole, err := x.hold(resp, &reply)
	reply.Held = held
	if err != nil {
		reply.Ending, reply.Err = outcome.Truncated, err
		if e := x.interrupted(); e != "" {
			reply.Ending = e
		}
		return reply
	}
	reply.Ending = outcome.Answered
	if whole {
		if x.method != http.MethodHead {
			reply.Size = unit.Bytes(len(held))
		}
		x.finish()
		return reply
	}
	reply.Rest = &stream{running: x, body: resp.Body}
	return reply
}

// hold reads as much of the body as the buffer and the memory allow.
func (x *running) hold(resp *http.Response, reply *Reply) (held []byte, whole bool, err error) {
	if x.method == http.MethodHead {
		return nil, true, nil
	}
	limit := x.pool.cfg.AnswerBuffer
	if resp.ContentLength > int64(limit) {
		return nil, false, nil
	}
	if resp.ContentLength >= 0 {
		limit = unit.Bytes(resp.ContentLength)
	}
	if !x.pool.cfg.Memory.TryTake(limit) {
		return nil, false, nil
	}
	reply.release = func() { x.pool.cfg.Memory.Release(limit) }
	held, err = io.ReadAll(io.LimitReader(resp.Body, int64(limit)))
	if err != nil {
		return held, false, err
	}
	var probe [1]byte
	n, err := io.ReadFull(resp.Body, probe[:])
	switch {
	case err == io.EOF:
		return held, true, nil
	case err != nil:
		return held, false, err
	default:
		return append(held, probe[:n]...), false, nil
	}
}

// finish ends an exchange whose answer was read to its end.
func (x *running) finish() {
	if !x.stop() || x.close || x.conn.reader.Buffered() > 0 {
		x.pool.discard(x.conn)
		return
	}
	x.pool.put(x.conn)
}

// abandon ends an exchange that is in doubt.
func (x *running) abandon() {
	x.stop()
	x.pool.discard(x.conn)
}

// stream is the rest of a body.
type stream struct {
	running *running
	body    io.ReadCloser
	ended   bool
}

// Read returns an error other than io.EOF if the body was cut.
func (s *stream) Read(p []byte) (int, error) {
	n, err := s.body.Read(p)
	if err == io.EOF && !s.ended {
		s.ended = true
		s.running.finish()
	}
	if err != nil && err != io.EOF {
		err = fmt.Errorf("answer was cut: %w", err)
	}
	return n, err
}

// Close ends the exchange. Without a full read the connection is closed.
func (s *stream) Close() error {
	if !s.ended {
		s.ended = true
		s.running.abandon()
	}
	return nil
}
