// Package link opens TCP connections that detect a silent link: an open connection can stop
// carrying data without a reset while new ones work. Only the kernel's own timers detect this
// where no caller bounds the wait.
package link

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Timeouts after which a silent link closes a connection.
const (
	// unackedTimeout is how long sent bytes may stay unacknowledged. Links within a region take
	// milliseconds, a lost packet some hundred. A caller's first event is late by then, but its
	// request can continue on another connection.
	unackedTimeout = 1500 * time.Millisecond
	// An idle connection is probed after keepAliveIdle, then every keepAliveInterval, and closed
	// after keepAliveProbes without an answer: two seconds in all.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveProbes   = 2
)

// Dialer returns a dialer of such connections; timeout bounds the connection setup, 0: only the
// context bounds it.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes},
		ControlContext:  setUnackedTimeout,
	}
}

// setUnackedTimeout applies unackedTimeout to a socket.
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
