package exchange

import (
	"bytes"
	"io"
	"maps"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/briarrouter/briarrouter/unit"
	"github.com/briarrouter/briarrouter/work"
	"github.com/sourcegraph/conc"
)

// maxInlineBody is the largest body that is written before the response is
// read. It fits into the buffers of a connection, so that the write does not
// block on a target that responds without reading. Longer bodies are written
// concurrently.
const maxInlineBody = 16 * unit.KiB

// sender writes one request to a connection.
type sender struct {
	conn    *conn
	request *http.Request
	// fields are the header fields of the request that request.Header lacks.
	fields work.Fields
	// header holds the fields of the call that replace those in fields.
	header http.Header
	// body is the caller's body if part of it is still to be read from the
	// caller.
	body callerBody
	// concurrent is set if a goroutine of its own writes the request.
	concurrent bool
	group      conc.WaitGroup
	// done is closed when the write has ended.
	done chan struct{}
	// err is valid once done is closed.
	err error
}

// callerBody records an error in reading the caller's body, to tell it from an
// error of the connection.
type callerBody struct {
	io.Reader
	// rest is the stream from the caller; nil if it cannot be interrupted.
	rest interrupter
	// abandoned is set before the body is interrupted because the rest of it is not needed.
	abandoned atomic.Bool
	err       error
}

// interrupter is a stream whose reads can be ended. Otherwise an exchange lasts until its
// caller has sent the rest of the body or the read has timed out.
type interrupter interface {
	// Interrupt ends a read in progress, and fails later ones.
	Interrupt()
}

func (b *callerBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err != nil && err != io.EOF && !b.abandoned.Load() {
		b.err = err
	}
	return n, err
}

func newSender(c *conn, call Call) *sender {
	s := &sender{conn: c, fields: call.Fields, header: call.Header, done: make(chan struct{})}
	req := &http.Request{
		Method: call.Method,
		URL:    &url.URL{Opaque: call.URI},
		Host:   call.Host,
		Header: make(http.Header, len(call.Header)+1),
	}
	// Without an empty field, net/http would add a User-Agent of its own.
	req.Header["User-Agent"] = []string{""}
	maps.Copy(req.Header, call.Header)
	switch {
	case call.Body.Rest != nil:
		s.body.Reader = io.MultiReader(bytes.NewReader(call.Body.Buffered), call.Body.Rest)
		s.body.rest, _ = call.Body.Rest.(interrupter)
		req.Body = io.NopCloser(&s.body)
		req.ContentLength = int64(call.Body.Size)
		s.concurrent = true
	case len(call.Body.Buffered) > 0:
		req.Body = io.NopCloser(bytes.NewReader(call.Body.Buffered))
		req.ContentLength = int64(len(call.Body.Buffered))
		s.concurrent = len(call.Body.Buffered) > int(maxInlineBody)
	}
	s.request = req
	return s
}

// start writes a short request, or starts writing a long one.
func (s *sender) start() {
	if s.concurrent {
		s.group.Go(s.run)
		return
	}
	s.run()
}

func (s *sender) run() {
	s.err = s.request.Write(&fieldWriter{conn: s.conn, fields: s.fields, replaced: s.header})
	if s.body.err != nil {
		// No response can follow an incomplete request.
		s.conn.interrupt()
	}
	close(s.done)
}

// fieldWriter inserts encoded header fields after the request line, so that the fields
// need not be parsed again for net/http to write them.
type fieldWriter struct {
	conn   *conn
	fields work.Fields
	// replaced holds the fields that are not inserted.
	replaced http.Header
	inserted bool
}

func (w *fieldWriter) Write(p []byte) (int, error) {
	end := bytes.IndexByte(p, '\n') + 1
	if w.inserted || end == 0 || w.fields.Size() == 0 {
		return w.conn.Write(p)
	}
	w.inserted = true
	out := make([]byte, 0, len(p)+int(w.fields.Size()))
	out = append(out, p[:end]...)
	out = w.fields.AppendTo(out, w.replaced)
	out = append(out, p[end:]...)
	if _, err := w.conn.Write(out); err != nil {
		return 0, err
	}
	return len(p), nil
}

// interruptBody ends the read of the caller's body.
func (s *sender) interruptBody() {
	if s.body.rest != nil {
		s.body.rest.Interrupt()
	}
}

// writeError returns the error of a write that has ended, or nil.
func (s *sender) writeError() error {
	select {
	case <-s.done:
		return s.err
	default:
		return nil
	}
}

// writeGrace is how long a write may go on after the header section of the
// response has arrived: a goroutine that has written the last byte needs a
// moment to report it.
const writeGrace = 20 * time.Millisecond

// finish ends the write and reports whether the request is incomplete. If it is,
// nothing else may be sent on the connection: the target would take it for the
// rest of the body.
func (s *sender) finish() bool {
	incomplete := false
	timer := time.NewTimer(writeGrace)
	defer timer.Stop()
	select {
	case <-s.done:
	case <-timer.C:
		incomplete = true
		s.conn.SetWriteDeadline(time.Unix(1, 0))
		s.body.abandoned.Store(true)
		s.interruptBody()
	}
	s.group.Wait()
	return incomplete
}
