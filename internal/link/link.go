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
	// unackedTimeout is how long sent bytes may stay unacknowledged. Within a region a round trip
	// takes milliseconds, and one with a lost packet some hundred. After the timeout a caller's
	// first event is late, but the request can continue on another connection.
	unackedTimeout = 1500 * time.Millisecond
	// An idle connection is probed after keepAliveIdle, then every keepAliveInterval, and closed
	// after keepAliveProbes without an answer: two seconds in all.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveProbes   = 2
)

// Dialer returns a dialer of such connections. timeout bounds the connection setup; with 0, only
// the context does.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes},
		ControlContext:  setUnackedTimeout,
	}
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
