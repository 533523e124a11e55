// Package link opens TCP connections that notice a link gone silent: open connections
// may carry nothing any more, without a reset, while new ones work. Only the kernel's
// own timers show it where nobody else bounds the wait.
package link

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Times after which a silent link ends a connection.
const (
	// UnackedFor is how long sent bytes may go unacknowledged. Links within a region
	// take milliseconds, a lost packet some hundred; a caller's first event is late by
	// then, but its request can go on elsewhere.
	UnackedFor = 1500 * time.Millisecond
	// A connection that carries nothing is probed after idleFor, each probeEvery, and
	// ended after probes without an answer: two seconds in all.
	idleFor    = time.Second
	probeEvery = 500 * time.Millisecond
	probes     = 2
)

// Dialer returns a dialer of such connections; timeout bounds how long one may take to
// come up, 0: no bound but the context's.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: idleFor, Interval: probeEvery, Count: probes},
		ControlContext:  limitUnacked,
	}
}

// limitUnacked bounds how long sent bytes may go unacknowledged.
func limitUnacked(_ context.Context, _, _ string, c syscall.RawConn) error {
	var set error
	err := c.Control(func(fd uintptr) {
		set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(UnackedFor.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return set
}
