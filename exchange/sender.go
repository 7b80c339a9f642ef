package exchange

import (
	"bytes"
	"io"
	"maps"
	"net/http"
	"net/url"
	"time"

	"github.com/briarrouter/briarrouter/unit"
	"github.com/sourcegraph/conc"
)

// inlineBody is the largest body that is written before the answer is read. It
// fits into the buffers of a connection, so that the write does not block on a
// target that answers without reading. Longer bodies are written beside.
const inlineBody = 16 * unit.KiB

// sender writes one request to a connection.
type sender struct {
	conn    *conn
	request *http.Request
	// body is the caller's body; its err tells it from one of the connection.
	body callerBody
	// beside tells that a task of its own writes the request.
	beside bool
	group  conc.WaitGroup
	done   chan struct{}
	// err is valid once done is closed.
	err error
}

// callerBody remembers an error of the caller's body, to tell it from one of
// the connection.
type callerBody struct {
	io.Reader
	err error
}

func (b *callerBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err != nil && err != io.EOF {
		b.err = err
	}
	return n, err
}

func newSender(c *conn, call Call) *sender {
	s := &sender{conn: c, done: make(chan struct{})}
	req := &http.Request{
		Method: call.Method,
		URL:    &url.URL{Opaque: call.URI},
		Host:   call.Host,
		Header: make(http.Header, len(call.Header)+1),
	}
	// Without an empty field the library would add a User-Agent of its own.
	req.Header["User-Agent"] = []string{""}
	maps.Copy(req.Header, call.Header)
	switch {
	case call.Body.Rest != nil:
		s.body.Reader = io.MultiReader(bytes.NewReader(call.Body.Held), call.Body.Rest)
		req.Body = io.NopCloser(&s.body)
		req.ContentLength = int64(call.Body.Size)
		s.beside = true
	case len(call.Body.Held) > 0:
		req.Body = io.NopCloser(bytes.NewReader(call.Body.Held))
		req.ContentLength = int64(len(call.Body.Held))
		s.beside = len(call.Body.Held) > int(inlineBody)
	}
	s.request = req
	return s
}

// start writes a short request and begins to write a long one.
func (s *sender) start() {
	if s.beside {
		s.group.Go(s.run)
		return
	}
	s.run()
}

func (s *sender) run() {
	s.err = s.request.Write(s.conn)
	if s.body.err != nil {
		// No answer can follow half a request.
		s.conn.interrupt()
	}
	close(s.done)
}

// finished returns the error of a write that has ended, or nil.
func (s *sender) finished() error {
	select {
	case <-s.done:
		return s.err
	default:
		return nil
	}
}

// settleTime is how long a write may go on after the answer's head: a task that
// wrote its last byte needs a moment to say so.
const settleTime = 20 * time.Millisecond

// end ends the write and reports whether the whole request was not written yet.
// Nothing else may be sent on the connection then: the target takes what comes
// for the rest of the body.
func (s *sender) end() bool {
	early := false
	timer := time.NewTimer(settleTime)
	defer timer.Stop()
	select {
	case <-s.done:
	case <-timer.C:
		early = true
		s.conn.SetWriteDeadline(time.Unix(1, 0))
	}
	s.group.Wait()
	return early
}
