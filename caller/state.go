package caller

import (
	"errors"
	"os"
	"sync/atomic"
	"syscall"

	"github.com/briarrouter/briarrouter/work"
	"github.com/rs/zerolog"
)

// state is what a connection is doing.
type state int32

const (
	// idle means that no byte of the next request has been read.
	idle state = iota
	receivingHead
	receivingBody
	// handling means that the request is with the handler and has not been passed on.
	handling
	// passedOn means that the request has been sent to a target or a peer, or that a
	// connection for it is being opened.
	passedOn
	// writing means that the response is being written; the rest of its body may still
	// be arriving from the target.
	writing
	// lingering means that the last response has been written and the server waits for
	// the caller to close its side.
	lingering
	stateCount
)

var stateNames = [stateCount]string{"idle", "receiving-head", "receiving-body", "handling", "passed-on", "writing", "lingering"}

func (s state) String() string { return stateNames[s] }

// states holds the number of connections in each state.
type states [stateCount]int

// inProgress returns the number of connections with a request whose header section has
// been read and whose response has not been written.
func (s states) inProgress() int { return s[receivingBody] + s[handling] + s[passedOn] + s[writing] }

func (s states) MarshalZerologObject(e *zerolog.Event) {
	connections := 0
	for _, n := range s {
		connections += n
	}
	e.Int("Connections", connections).Int("Idle", s[idle]).Int("ReceivingHead", s[receivingHead]).Int("ReceivingBody", s[receivingBody]).
		Int("Handling", s[handling]).Int("PassedOn", s[passedOn]).Int("Writing", s[writing]).Int("Lingering", s[lingering])
}

// connectionEnding is why a connection ended.
type connectionEnding string

const (
	// callerClosed means that the caller closed the connection or its sending side.
	callerClosed connectionEnding = "caller-closed"
	// callerReset means that the caller or the network reset the connection. A reset
	// while the receive buffer is full cannot be told from callerClosed.
	callerReset connectionEnding = "caller-reset"
	idleTimeout connectionEnding = "idle-timeout"
	// closedIdle means that a stop, or a lack of slots, closed the connection while it was
	// idle.
	closedIdle connectionEnding = "closed-idle"
	// lastResponse means that a response announced the close.
	lastResponse connectionEnding = "last-response"
	// refused means that a request could not be read.
	refused connectionEnding = "refused"
	// responseFailed means that a response could not be written whole.
	responseFailed connectionEnding = "response-failed"
	// closedForMemory means that the header section of a request was not whole when its
	// memory was needed.
	closedForMemory connectionEnding = "closed-for-memory"
	// yielded means that the caller stood still while the connection's slot or its memory
	// was needed.
	yielded connectionEnding = "yielded"
	// closedByForce means that a stop closed the connection whatever its state.
	closedByForce connectionEnding = "closed-by-force"
)

// endingOf returns the ending that follows from the error of a receiveBuffer.
func endingOf(err error) connectionEnding {
	switch {
	case errors.Is(err, errStopped):
		return closedIdle
	case errors.Is(err, os.ErrDeadlineExceeded):
		return idleTimeout
	case errors.Is(err, syscall.ECONNRESET):
		return callerReset
	default:
		return callerClosed
	}
}

// end is the end of a connection. It is immutable.
type end struct {
	ending connectionEnding
	// state is what the connection was doing at its end.
	state state
}

// progress is the state of a connection and its end. It is safe for concurrent use.
type progress struct {
	state atomic.Int32
	// request is the progress of the last request that was handled.
	request atomic.Pointer[work.Progress]
	end     atomic.Pointer[end]
}

// enter sets the state. Only the task of the connection calls it.
func (p *progress) enter(s state) { p.state.Store(int32(s)) }

// handle sets the state for a request that is handled from now on, and returns its
// progress. Only the task of the connection calls it.
func (p *progress) handle() *work.Progress {
	request := &work.Progress{}
	p.request.Store(request)
	p.enter(handling)
	return request
}

func (p *progress) current() state {
	s := state(p.state.Load())
	if s == handling && p.request.Load().PassedOn() {
		return passedOn
	}
	return s
}

// finish records why the connection ends. The first call counts: what follows is a
// consequence of it.
func (p *progress) finish(e connectionEnding) {
	p.end.CompareAndSwap(nil, &end{ending: e, state: p.current()})
}
