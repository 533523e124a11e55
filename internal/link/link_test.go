package link

import (
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"golang.org/x/sys/unix"
)

// Loopback cannot simulate a silent link, so the test reads the socket options instead.
func TestConnectionsDetectSilentLinks(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer l.Close()
	conn, err := Dialer(time.Second).DialContext(t.Context(), "tcp", l.Addr().String())
	must.NoError(t, err)
	defer conn.Close()
	raw, err := conn.(syscall.Conn).SyscallConn()
	must.NoError(t, err)
	option := func(name int) (value int) {
		must.NoError(t, raw.Control(func(fd uintptr) { value, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, name) }))
		must.NoError(t, err)
		return value
	}
	must.Eq(t, 2000, option(unix.TCP_USER_TIMEOUT))
	must.Eq(t, 1, option(unix.TCP_KEEPIDLE))
	must.Eq(t, 2, option(unix.TCP_KEEPCNT))
}
