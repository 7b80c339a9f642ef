package memory

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync"

	"github.com/briarrouter/briarrouter/unit"
)

// ErrNoMemory is the error of a header section for which no memory is available.
var ErrNoMemory = errors.New("no memory is available for the header section")

const (
	// parsedLineSize is about the memory that net/http needs for a parsed header line
	// with a name of its own, in addition to its bytes: an entry of a map that may be
	// half full, a slice and two strings.
	parsedLineSize = 256
	// freeLines and freeBytes are how much of a header section needs no reservation.
	// Ordinary header sections are smaller.
	freeLines = 48
	freeBytes = 4 * unit.KiB
)

// ParsedSize returns about how much memory a header section takes that net/http has
// parsed, beyond that of an ordinary one.
func ParsedSize(lines int, size unit.Bytes) unit.Bytes {
	if lines <= freeLines && size <= freeBytes {
		return 0
	}
	return size + unit.Bytes(lines)*parsedLineSize
}

// HeaderSize returns the ParsedSize of a parsed header section.
func HeaderSize(h http.Header) unit.Bytes {
	lines, size := 0, unit.Bytes(0)
	for name, values := range h {
		for _, value := range values {
			lines++
			size += unit.Bytes(len(name) + len(value))
		}
	}
	return ParsedSize(lines, size)
}

// HeaderMeter reserves memory for a header section while net/http reads and parses it.
// Read fails with ErrNoMemory if there is none. It is safe for concurrent use.
type HeaderMeter struct {
	Source io.Reader

	mu          sync.Mutex
	reservation *Reservation
	// counting is set while a header section is read.
	counting bool
	// size and lines count what was read of the header section.
	size  unit.Bytes
	lines int
	// aheadSize and aheadLines count the end of the last read, which its reader may have
	// read ahead.
	aheadSize  unit.Bytes
	aheadLines int
}

// maxAhead bounds the bytes that net/http reads ahead of a header section.
const maxAhead = 4 << 10

// NewHeaderMeter returns a meter that does not count yet.
func NewHeaderMeter(source io.Reader, l *Limiter) *HeaderMeter {
	return &HeaderMeter{Source: source, reservation: NewReservation(l)}
}

func (m *HeaderMeter) Read(p []byte) (int, error) {
	n, err := m.Source.Read(p)
	m.mu.Lock()
	defer m.mu.Unlock()
	ahead := p[max(0, n-maxAhead):n]
	m.aheadSize, m.aheadLines = unit.Bytes(len(ahead)), bytes.Count(ahead, []byte("\n"))
	if !m.counting {
		return n, err
	}
	m.size += unit.Bytes(n)
	m.lines += bytes.Count(p[:n], []byte("\n"))
	if !m.reserve() {
		return 0, ErrNoMemory
	}
	return n, err
}

// reserve adjusts the reservation to what was read. The caller holds mu.
func (m *HeaderMeter) reserve() bool { return m.reservation.Resize(ParsedSize(m.lines, m.size)) }

// Begin starts to count the next header section. If ahead is set, a part of it may have
// been read already, with the bytes before it.
func (m *HeaderMeter) Begin(ahead bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counting, m.size, m.lines = true, 0, 0
	if ahead {
		m.size, m.lines = m.aheadSize, m.aheadLines
	}
	// Without memory, the next read fails.
	m.reserve()
}

// End stops counting. What is reserved stays reserved until Begin, Take or Close.
func (m *HeaderMeter) End() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counting = false
}

// Take moves what is reserved for the header section to the returned Reservation.
func (m *HeaderMeter) Take() *Reservation { return m.reservation.Take() }

// Close releases what is reserved. Later reads of header sections fail.
func (m *HeaderMeter) Close() { m.reservation.Close() }
