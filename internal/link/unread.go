package link

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// unreadConn is a connection that knows itself whether there is something to read.
type unreadConn interface {
	// HasUnread reports whether there is data or the connection's end to read.
	HasUnread() bool
}

// HasUnread reports whether there is data or the connection's end to read, without reading it or taking a pending
// error from readers. It returns false for a connection that is neither a socket nor has a method HasUnread.
func HasUnread(conn net.Conn) bool {
	if c, ok := conn.(unreadConn); ok {
		return c.HasUnread()
	}
	s := pollSocket(conn)
	return s.closed || s.readable || s.hungUp
}

// socketState is the state of a connection's socket.
type socketState struct {
	closed   bool // by this process
	readable bool // a read would not block
	hungUp   bool // both directions have ended, by a reset, a timeout or closes of both sides
}

// pollSocket returns the state of a connection, the zero state if it is not a socket. Unlike other calls, poll does
// not take the pending error of a socket.
func pollSocket(conn net.Conn) (s socketState) {
	c, ok := conn.(syscall.Conn)
	if !ok {
		return s
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return socketState{closed: true}
	}
	err = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN | unix.POLLRDHUP}}
		_, pollErr := unix.Poll(fds, 0)
		for pollErr == unix.EINTR {
			_, pollErr = unix.Poll(fds, 0)
		}
		events := fds[0].Revents
		s.readable = pollErr != nil || events&(unix.POLLIN|unix.POLLRDHUP) != 0
		s.hungUp = pollErr != nil || events&(unix.POLLHUP|unix.POLLERR) != 0
	})
	if err != nil {
		return socketState{closed: true}
	}
	return s
}
