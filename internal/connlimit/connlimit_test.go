package connlimit

import (
	"net"
	"os"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/shoenig/test/must"
)

// newConnPair returns a connection with limits and its peer.
func newConnPair(t *testing.T, l Limits) (net.Conn, net.Conn) {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	listener := NewListener(inner, l)
	t.Cleanup(func() { listener.Close() })
	peer, err := net.Dial("tcp", listener.Addr().String())
	must.NoError(t, err)
	t.Cleanup(func() { peer.Close() })
	c, err := listener.Accept()
	must.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	return c, peer
}

const longTimeout = time.Hour

func TestIdlePeerTimesOut(t *testing.T) {
	c, _ := newConnPair(t, Limits{Idle: time.Millisecond, Read: longTimeout, Write: longTimeout})
	_, err := c.Read(make([]byte, 1))
	must.True(t, errors.Is(err, os.ErrDeadlineExceeded))
}

func TestIncompleteRequestTimesOut(t *testing.T) {
	c, peer := newConnPair(t, Limits{Idle: longTimeout, Read: time.Millisecond, Write: longTimeout})
	_, err := peer.Write([]byte("POST"))
	must.NoError(t, err)
	buf := make([]byte, 4)
	_, err = c.Read(buf)
	must.NoError(t, err)
	_, err = c.Read(buf)
	must.True(t, errors.Is(err, os.ErrDeadlineExceeded))
}

func TestWriteStartsANewRequest(t *testing.T) {
	c, peer := newConnPair(t, Limits{Idle: longTimeout, Read: time.Nanosecond, Write: longTimeout})
	buf := make([]byte, 1)
	for range 3 { // the idle limit applies again to each first byte
		_, err := peer.Write([]byte("x"))
		must.NoError(t, err)
		_, err = c.Read(buf)
		must.NoError(t, err)
		_, err = c.Write([]byte("y"))
		must.NoError(t, err)
	}
}

func TestBlockedWriteTimesOut(t *testing.T) {
	c, _ := newConnPair(t, Limits{Idle: longTimeout, Read: longTimeout, Write: time.Millisecond})
	data := make([]byte, 1<<20)
	var err error
	for err == nil { // until the buffers of both sides are full
		_, err = c.Write(data)
	}
	must.True(t, errors.Is(err, os.ErrDeadlineExceeded))
}
