package link

import (
	"net"

	"golang.org/x/sys/unix"
)

// unreadConn is a connection that knows itself whether there is something to read.
type unreadConn interface {
	// HasUnread reports whether there is data or the connection's end to read.
	HasUnread() bool
}

// HasUnread reports whether there is data or the connection's end to read, without reading it. It
// returns false for a connection that is neither TCP nor has a method HasUnread.
func HasUnread(conn net.Conn) bool {
	if c, ok := conn.(unreadConn); ok {
		return c.HasUnread()
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return true
	}
	quiet := false
	err = raw.Control(func(fd uintptr) {
		var buf [1]byte
		_, _, err := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN
	})
	return err != nil || !quiet
}
