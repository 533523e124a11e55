package upstream

import (
	"io"
	"net"
	"net/http"
	"os"
	"syscall"

	"github.com/juju/errors"
)

// Framing is what marks the end of a response's body. Its values are labels of metrics and values in logs.
type Framing string

// Framings of a response's body.
const (
	FramedByLength Framing = "length"
	FramedByChunks Framing = "chunks"
	// Unframed means that the body ends with its connection.
	Unframed Framing = "none"
)

// FramingOf returns what marks the end of a response's body.
func FramingOf(resp *http.Response) Framing {
	switch {
	case len(resp.TransferEncoding) > 0:
		return FramedByChunks
	case resp.ContentLength >= 0:
		return FramedByLength
	}
	return Unframed
}

// Ending is how the body of a response ended. Its values are labels of metrics and values in logs.
type Ending string

// Endings of a response's body.
const (
	// NotReadToEnd means that the body was closed before its end was read.
	NotReadToEnd Ending = "not_read_to_end"
	// EndedByMark means that the body is whole by its framing, or has no bytes by its status or method.
	EndedByMark Ending = "mark"
	// EndedByClose means that the connection was closed in order: the end of an unframed body, and any other
	// body truncated.
	EndedByClose Ending = "close"
	EndedByReset Ending = "reset"
	// EndedByTimeout means that the peer of the connection did not acknowledge or send anything in time.
	EndedByTimeout Ending = "timeout"
	// EndedByLostPeer means that the connection to the daemon through which the response came ended.
	EndedByLostPeer Ending = "peer_lost"
	// EndedByCancel means that the context of the request ended, which closes the connection.
	EndedByCancel Ending = "canceled"
	// EndedByError means any other error, such as an invalid chunk.
	EndedByError Ending = "error"
)

// EndingOf returns how the body of a response from Pool.Do ended, as far as it was read. It must not be called
// during a read of the body.
func EndingOf(resp *http.Response) Ending {
	if b, ok := resp.Body.(*pooledBody); ok && b.ending != "" {
		return b.ending
	}
	return NotReadToEnd
}

// endingOf returns how a body ended, from the error of its read.
func (b *pooledBody) endingOf(err error) Ending {
	connErr := b.conn.head.connErr
	if err == io.EOF && (b.framing != Unframed || connErr == nil) {
		return EndedByMark
	}
	var netErr net.Error
	var opErr *net.OpError
	switch _, tunneled := b.conn.Conn.(tunneledConn); {
	case connErr == nil:
		return EndedByError
	case errors.Is(connErr, net.ErrClosed):
		return EndedByCancel
	case tunneled && (errors.Is(connErr, io.ErrUnexpectedEOF) || errors.As(connErr, &opErr)):
		return EndedByLostPeer // what ended the instance's connection comes as a mark, without a net.OpError
	case connErr == io.EOF:
		return EndedByClose
	case errors.Is(connErr, syscall.ECONNRESET), errors.Is(connErr, syscall.EPIPE):
		return EndedByReset
	case errors.Is(connErr, os.ErrDeadlineExceeded), errors.As(connErr, &netErr) && netErr.Timeout():
		return EndedByTimeout
	}
	return EndedByError
}
