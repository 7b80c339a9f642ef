package exchange

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
)

// isConnectionError tells an error of the connection from one in the content of
// a response.
func isConnectionError(err error) bool {
	var op *net.OpError
	return errors.Is(err, io.EOF) ||
		errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) ||
		errors.Is(err, os.ErrDeadlineExceeded) ||
		errors.As(err, &op)
}
