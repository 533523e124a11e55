// Package link opens TCP connections that detect a silent link: an open connection can stop
// carrying data without a reset while new connections still work. Where no caller bounds the
// wait, only the kernel's own timers detect this.
package link

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Timeouts after which a connection over a silent link is closed.
const (
	// unackedTimeout (TCP_USER_TIMEOUT) is how long sent bytes may stay unacknowledged. It also decides
	// when keep-alive probes give up, whatever their count: so long after the last answer. A peer that
	// works may be silent for a second or so. Requests do not wait for it: they continue on another
	// connection.
	unackedTimeout = 2 * time.Second
	// An idle connection is probed after keepAliveIdle, then every keepAliveInterval. The count of
	// probes gives the same two seconds.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveProbes   = 2
)

// TCPDialer opens connections that detect a silent link, as Conns.
type TCPDialer struct{ dialer net.Dialer }

// Dialer returns a TCPDialer. timeout bounds the connection setup; with 0, only the context does.
func Dialer(timeout time.Duration) *TCPDialer {
	return &TCPDialer{net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes},
		ControlContext:  setUnackedTimeout,
	}}
}

// DialContext opens a connection, like net.Dialer.DialContext.
func (d *TCPDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	return KeepErrors(d.dialer.DialContext)(ctx, network, address)
}

// setUnackedTimeout applies unackedTimeout to a socket that is about to connect.
func setUnackedTimeout(_ context.Context, _, _ string, c syscall.RawConn) error {
	var setErr error
	err := c.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return setErr
}

// DeadlineAfter returns the deadline for a connection's reads or writes that ends after a duration. The
// library compares deadlines of connections with its own clock, which does not count suspensions: after
// one a connection's limit ends later, never earlier.
func DeadlineAfter(d time.Duration) time.Time { return time.Now().Add(d) }

// SetReceiveBuffer returns a function for net.ListenConfig or net.Dialer that bounds how many received bytes the
// kernel holds for each connection. Linux holds up to twice as many.
func SetReceiveBuffer(bytes int) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var setErr error
		err := c.Control(func(fd uintptr) { setErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, bytes) })
		if err != nil {
			return err
		}
		return setErr
	}
}
