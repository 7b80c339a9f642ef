package exchange

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"syscall"
)

var errUnframed = errors.New("response has neither Content-Length nor chunked encoding; its end cannot be told from a broken connection")

// errUnfinished is the error of a response whose body ends with its connection, but that
// began before the request was written whole. The writer may have taken the error of the
// connection, so that its end looks like an ordinary one.
var errUnfinished = errors.New("response without a length to a request that was not written whole")

// framed reports whether the end of the body can be told from a broken
// connection.
func framed(resp *http.Response) bool {
	return resp.ContentLength >= 0 || slices.Contains(resp.TransferEncoding, "chunked")
}

// checkStatusLine returns an error for a status line that net/http parses but that is not
// one of HTTP/1.x with a status of 100 to 599.
func checkStatusLine(resp *http.Response) error {
	if resp.ProtoMajor != 1 {
		return malformedError(fmt.Sprintf("response has version %.20q; accepted: HTTP/1.x", resp.Proto))
	}
	if resp.StatusCode < http.StatusContinue || resp.StatusCode > maxStatus {
		return malformedError(fmt.Sprintf("response has status %.20q; accepted: 100 to %d", resp.Status, maxStatus))
	}
	return nil
}

const maxStatus = 599

// announcesAbsentBody reports whether a response that has no body states the length or the
// encoding of one. Some targets then send a body, which may arrive later and would be read
// as the next response of the connection.
func announcesAbsentBody(resp *http.Response, method string) bool {
	if method != http.MethodHead && resp.StatusCode != http.StatusNoContent && resp.StatusCode != http.StatusNotModified {
		return false
	}
	length := resp.Header.Get("Content-Length")
	return len(resp.TransferEncoding) > 0 || length != "" && length != "0"
}

// lastBody is a body that ends with its connection. It is complete only if the connection
// has no error.
type lastBody struct {
	io.ReadCloser
	conn *conn
}

func (b lastBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		if failure := b.conn.pendingError(); failure != nil {
			return n, failure
		}
	}
	return n, err
}

// pendingError returns the error of the socket that no read or write has returned, or nil.
func (c *conn) pendingError() error {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	var code int
	var optionErr error
	err = raw.Control(func(fd uintptr) {
		code, optionErr = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR)
	})
	if err := errors.Join(err, optionErr); err != nil || code == 0 {
		return err
	}
	return syscall.Errno(code)
}
