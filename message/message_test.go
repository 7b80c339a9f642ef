package message

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/briarrouter/briarrouter/memory"
	"github.com/briarrouter/briarrouter/outcome"
	"github.com/briarrouter/briarrouter/unit"
	"github.com/briarrouter/briarrouter/work"
	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"
)

// TestReadBody reads more bodies than fit in memory: those that do not fit are
// streamed instead of rejected, and all memory is released.
func TestReadBody(t *testing.T) {
	var out strings.Builder
	// Three quarters of the memory are for bodies.
	bodyMemory := memory.New(342)
	cfg := BodyConfig{Limit: 200, Buffer: 100, Memory: bodyMemory, ReadTimeout: time.Second}
	var releases []func()
	for _, c := range []struct {
		size    int
		chunked bool
	}{{0, false}, {60, false}, {100, false}, {101, false}, {60, true}, {60, false}, {150, true}, {200, false}, {201, false}, {250, true}} {
		body := io.Reader(bytes.NewReader(bytes.Repeat([]byte("x"), c.size)))
		if c.chunked {
			body = struct{ io.Reader }{body}
		}
		r := httptest.NewRequest(http.MethodPost, "/", body)
		b, release, err := ReadBody(httptest.NewRecorder(), r, cfg)
		releases = append(releases, release)
		fmt.Fprintf(&out, "%d bytes, chunked %v: buffered %d, replayable %v, error %v, reserved %s\n",
			c.size, c.chunked, len(b.Buffered), b.Replayable(), err, bodyMemory.State().Held)
		if b.Rest != nil {
			rest, err := io.ReadAll(b.Rest)
			fmt.Fprintf(&out, "  then %d streamed, error %v\n", len(rest), err)
		}
	}
	for _, release := range releases {
		release()
	}
	fmt.Fprintf(&out, "at the end: %+v\n", bodyMemory.State())
	goldie.New(t).Assert(t, "bodies", []byte(out.String()))
}

// TestEndToEnd checks that EndToEnd removes the hop-by-hop fields,
// Content-Length and the fields defined by this project.
func TestEndToEnd(t *testing.T) {
	h := http.Header{}
	for _, line := range []string{
		"Accept: a", "Connection: close, X-Mine", "X-Mine: 1", "Keep-Alive: 5", "Te: trailers", "Transfer-Encoding: chunked",
		"Upgrade: x", "Briarrouter-Outcome: ran", "Briarrouter-Hops: 0", "Content-Length: 3", "Cookie: c",
	} {
		name, value, _ := strings.Cut(line, ": ")
		h.Add(name, value)
	}
	require.Equal(t, http.Header{"Accept": {"a"}, "Cookie": {"c"}}, EndToEnd(h))
}

// truncatedStream fails at the end of the stream.
type truncatedStream struct{ io.Reader }

func (truncatedStream) Close() error { return nil }

func (s truncatedStream) Read(p []byte) (int, error) {
	n, err := s.Reader.Read(p)
	if err == io.EOF {
		return n, errors.New("response truncated")
	}
	return n, err
}

// TestTruncatedResponse checks that the receiver of a truncated response sees
// an unexpected end of the connection.
func TestTruncatedResponse(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		WriteResponse(w, "1", work.Response{
			Outcome: outcome.Ran, Status: http.StatusOK, Buffered: bytes.Repeat([]byte("x"), 8<<10), Rest: truncatedStream{strings.NewReader("llo")}, Size: unit.Bytes(-1),
		}, time.Second)
	}))
	defer server.Close()
	resp, err := http.Get(server.URL)
	require.NoError(t, err)
	defer resp.Body.Close()
	_, err = io.ReadAll(resp.Body)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
}
