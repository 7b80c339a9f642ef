package exchange

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
)

// isConnectionError reports whether reading a response failed because of the
// connection rather than because of what the response contains.
func isConnectionError(err error) bool {
	var op *net.OpError
	return errors.Is(err, io.EOF) ||
		errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) ||
		errors.Is(err, os.ErrDeadlineExceeded) ||
		errors.As(err, &op)
}
