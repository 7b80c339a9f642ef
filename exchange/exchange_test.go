package exchange

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/briarrouter/briarrouter/memory"
	"github.com/briarrouter/briarrouter/outcome"
	"github.com/briarrouter/briarrouter/scripttest"
	"github.com/briarrouter/briarrouter/unit"
	"github.com/briarrouter/briarrouter/work"
)

// TestScripts sends requests to a server that executes the steps of the script
// on each connection, one after the other.
func TestScripts(t *testing.T) {
	scripttest.Run(t, ".script", func(t *testing.T) func([]string) string {
		s := &script{limiter: memory.New(64)}
		s.pool = New(Config{
			Address: "server", Connections: 2, DialTimeout: time.Second, IdleLimit: time.Minute,
			HeaderLimit: 200, ResponseBuffer: 20, Memory: s.limiter, Dial: s.dial,
		})
		t.Cleanup(func() {
			s.pool.Close()
			s.cancel()
			time.Sleep(maxStepDuration)
		})
		return s.execute
	})
}

// maxStepDuration is longer than any step of a server. The clean-up sleeps for
// this long, so that all servers have ended.
const maxStepDuration = 2 * time.Hour

type script struct {
	limiter *memory.Limiter
	pool    *Pool
	// steps is what the server does on the next connection.
	steps []string
	last  Reply
	// endless counts the bytes that the exchanges took from endless responses.
	endless int
	// cancel ends the context of the last call.
	cancel context.CancelFunc
}

func (s *script) execute(words []string) string {
	switch words[0] {
	case "server":
		s.pool.Trim(time.Now().Add(time.Hour))
		s.steps = strings.Split(strings.Join(words[1:], " "), " | ")
		return ""
	case "call":
		return s.call(words[1], words[2:])
	case "read":
		return s.read()
	case "endless":
		synctest.Wait()
		defer func() { s.endless = 0 }()
		return fmt.Sprintf("%d bytes read", s.endless)
	case "drop":
		s.last.Rest.Close()
		s.last.Release()
		return s.state()
	case "wait":
		d, _ := time.ParseDuration(words[1])
		time.Sleep(d)
		s.pool.Trim(time.Now())
		return s.state()
	default:
		return "unknown command"
	}
}

func (s *script) dial(context.Context, string, string) (net.Conn, error) {
	if len(s.steps) > 0 && s.steps[0] == "refuse" {
		return nil, errors.New("connection refused")
	}
	clientConn, serverConn := net.Pipe()
	server := &server{script: s, conn: serverConn, reader: bufio.NewReader(serverConn), steps: s.steps}
	go server.run()
	return clientConn, nil
}

// server is the server's end of a connection.
type server struct {
	script *script
	conn   net.Conn
	reader *bufio.Reader
	steps  []string
}

func (s *server) run() {
	defer s.conn.Close()
	for _, step := range s.steps {
		word, text, _ := strings.Cut(step, " ")
		switch word {
		case "read":
			req, err := http.ReadRequest(s.reader)
			if err != nil {
				return
			}
			io.Copy(io.Discard, req.Body)
		case "header":
			http.ReadRequest(s.reader)
		case "write":
			io.WriteString(s.conn, expand(text))
		case "endless":
			for {
				n, err := io.WriteString(s.conn, expand(text))
				s.script.endless += n
				if err != nil {
					return
				}
			}
		case "sleep":
			d, _ := time.ParseDuration(text)
			time.Sleep(d)
		}
	}
}

// expand replaces ~ by the end of a line, ^ by its first character and OK by a status
// line.
func expand(text string) string {
	return strings.NewReplacer("~", "\r\n", "^", "\r", "OK ", "HTTP/1.1 200 OK\r\n").Replace(text)
}

// call takes the method and options: body=TEXT for a body that is buffered,
// rest=TEXT for one that can be read only once, badrest for one whose reading
// fails, long for one that is written concurrently, echo=ID, timeout=DURATION,
// cancel=DURATION, idle=DURATION, unframed, signed.
func (s *script) call(method string, options []string) string {
	call := Call{Method: method, URI: "/x?y=1", Host: "host", MaxIdle: time.Minute}
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	for _, o := range options {
		key, value, _ := strings.Cut(o, "=")
		duration, _ := time.ParseDuration(value)
		switch key {
		case "body":
			call.Body = work.Body{Buffered: []byte(value), Size: unit.Bytes(len(value))}
		case "rest":
			call.Body = work.Body{Rest: strings.NewReader(value), Size: -1}
		case "badrest":
			call.Body = work.Body{Rest: io.MultiReader(strings.NewReader(strings.Repeat("x", 5000)), failingBody{}), Size: -1}
		case "echo":
			call.EchoHeader, call.Echo = "X-Id", value
		case "timeout":
			ctx, cancel = context.WithTimeout(ctx, duration)
			s.cancel = cancel
		case "cancel":
			time.AfterFunc(duration, cancel)
		case "idle":
			call.MaxIdle = duration
		case "unframed":
			call.Unframed = true
		case "signed":
			call.SignatureHeader = "X-Signature"
		case "long":
			call.Body = work.Body{Buffered: bytes.Repeat([]byte("x"), 2*int(maxInlineBody)), Size: 2 * maxInlineBody}
		}
	}
	s.last = s.pool.Do(ctx, call)
	return s.describe() + "\n" + s.state()
}

// failingBody is the part of a body whose reading fails.
type failingBody struct{}

func (failingBody) Read([]byte) (int, error) { return 0, errors.New("caller went away") }

func (s *script) describe() string {
	r := &s.last
	words := []string{string(r.Ending), string(r.Ending.Outcome())}
	if r.Status != 0 {
		words = append(words, strconv.Itoa(r.Status))
	}
	if r.Ending == outcome.Answered {
		words = append(words, fmt.Sprintf("%q", r.Buffered))
		if r.Rest != nil {
			words = append(words, "and a stream")
			return strings.Join(words, " ")
		}
		r.Release()
	}
	s.cancel()
	return strings.Join(words, " ")
}

// read reads the stream to its end.
func (s *script) read() string {
	data, err := io.ReadAll(s.last.Rest)
	s.last.Rest.Close()
	s.last.Release()
	s.cancel()
	return fmt.Sprintf("%q %v\n%s", data, err, s.state())
}

func (s *script) state() string {
	return fmt.Sprintf("%+v held %s", s.pool.State(), s.limiter.State().Held)
}
