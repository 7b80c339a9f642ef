package exchange

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
)

// lostConnection tells an error of the connection from one of the contents.
func lostConnection(err error) bool {
	var op *net.OpError
	return errors.Is(err, io.EOF) ||
		errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) ||
		errors.Is(err, os.ErrDeadlineExceeded) ||
		errors.As(err, &op)
}
