package caller

import (
	"bufio"
	"bytes"
	"errors"
	"net/http"
	"time"

	"github.com/briarrouter/briarrouter/memory"
	"github.com/briarrouter/briarrouter/unit"
)

// headerReader limits the size of a request's header section.
type headerReader struct {
	input *receiveBuffer
	// replay holds bytes that were read already and are to be read again.
	replay []byte
	// remaining is the number of bytes that the header section may still have;
	// negative while no header section is being read.
	remaining int
}

var errHeaderTooLarge = errors.New("head of the request is too large")

func (h *headerReader) Read(p []byte) (int, error) {
	if len(h.replay) > 0 {
		n := copy(p, h.replay)
		if h.replay = h.replay[n:]; len(h.replay) == 0 {
			h.replay = nil
		}
		return n, nil
	}
	if h.remaining == 0 {
		return 0, errHeaderTooLarge
	}
	if h.remaining > 0 && len(p) > h.remaining {
		p = p[:h.remaining]
	}
	n, err := h.input.Read(p)
	if h.remaining > 0 {
		h.remaining -= n
	}
	return n, err
}

const (
	// freeSection is the size up to which a header section needs no reservation, as it is
	// part of what each connection may hold.
	freeSection = readBufferSize
	// sectionFactor is how many times the size of its header section a request in progress
	// holds at most: the encoded fields, or the URI and its decoded path.
	sectionFactor = 2
	// manyLines is the number of lines from which on a header section is parsed by one
	// task at a time.
	manyLines = 64
)

// readRequest reads a header section and parses it once it has arrived whole. Until then
// it is held as it was received, since its parsed form may take 60 times as much memory.
// endParsing must be called when the parsed form is no longer used.
func (c *connection) readRequest(limits limits) (*http.Request, error) {
	c.header.remaining = int(limits.Header)
	defer func() { c.header.remaining = -1 }()
	lines, err := c.receiveSection()
	if err != nil {
		return nil, err
	}
	if lines > manyLines {
		c.server.parsing.Lock()
		c.parsing = true
	}
	return http.ReadRequest(c.reader)
}

// endParsing lets other tasks parse header sections of many lines, once the parsed form of
// this one has been dropped.
func (c *connection) endParsing() {
	if c.parsing {
		c.parsing = false
		c.server.parsing.Unlock()
	}
}

// receiveSection waits until the next header section has arrived whole, and returns the
// number of its lines. A section whose first line is malformed need not arrive whole. The
// section is not consumed.
func (c *connection) receiveSection() (lines int, err error) {
	if _, err := c.reader.Peek(1); err != nil {
		return 0, err
	}
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	if lines, ended := countLines(buffered); ended {
		return lines, nil
	}
	c.sectionSince.Store(time.Now().UnixNano())
	defer c.sectionSince.Store(0)
	var section []byte
	for {
		line, err := c.reader.ReadSlice('\n')
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return 0, err
		}
		starts := len(section) == 0 || section[len(section)-1] == '\n'
		if len(section)+len(line) > cap(section) {
			size := max(2*cap(section), len(section)+len(line), 512)
			if err := c.reserveSection(size); err != nil {
				return 0, err
			}
			section = append(make([]byte, 0, size), section...)
		}
		section = append(section, line...)
		if err != nil {
			continue
		}
		lines++
		if starts && isEmptyLine(line) || lines == 1 && !isRequestLine(section) {
			break
		}
	}
	rest, _ := c.reader.Peek(c.reader.Buffered())
	c.header.replay = append(append(section, rest...), c.header.replay...)
	c.reader.Reset(c.header)
	return lines, nil
}

// unparsed returns how many bytes were read from the connection and not parsed yet.
func (c *connection) unparsed() int { return c.reader.Buffered() + len(c.header.replay) }

// reserveSection reserves memory for a header section of a size that is being received
// or belongs to the request in progress. If there is none, the connection that has waited
// longest in a header section is closed, so that later requests find some.
func (c *connection) reserveSection(size int) error {
	n := sectionFactor * unit.Bytes(size)
	switch {
	case size <= freeSection:
		n = 0
	case n > c.server.cfg.Memory.HeaderLimit():
		return errHeaderTooLarge
	}
	if c.section.Resize(n) {
		return nil
	}
	c.server.closeLongestSection(c)
	return memory.ErrNoMemory
}

// countLines counts the lines of a header section up to the empty one that ends it, and
// reports whether it has ended.
func countLines(section []byte) (lines int, ended bool) {
	for line := range bytes.Lines(section) {
		lines++
		if isEmptyLine(line) {
			return lines, true
		}
	}
	return lines, false
}

func isEmptyLine(line []byte) bool { return string(line) == "\n" || string(line) == "\r\n" }

// isRequestLine reports whether a line may be the first one of a request.
func isRequestLine(line []byte) bool {
	method, rest, ok := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte(" "))
	_, version, hasVersion := bytes.Cut(rest, []byte(" "))
	return ok && hasVersion && len(method) > 0 && bytes.HasPrefix(version, []byte("HTTP/"))
}
