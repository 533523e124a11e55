package connlimit

import (
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/shoenig/test/must"

	"pearlanding/internal/membudget"
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

// listen returns a listener with limits.
func listen(t *testing.T, l Limits) net.Listener {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { inner.Close() })
	return NewListener(inner, l)
}

// connect returns an accepted connection and its peer.
func connect(t *testing.T, l net.Listener) (net.Conn, net.Conn) {
	t.Helper()
	peer, err := net.Dial("tcp", l.Addr().String())
	must.NoError(t, err)
	t.Cleanup(func() { peer.Close() })
	must.NoError(t, peer.SetDeadline(time.Now().Add(time.Minute)))
	c, err := l.Accept()
	must.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	return c, peer
}

// With all connections in use a new one replaces the one that has been idle longest, but none with a request
// in progress.
func TestNewConnectionReplacesAnIdleOne(t *testing.T) {
	l := listen(t, Limits{Idle: longTimeout, Read: longTimeout, Write: longTimeout, MaxConns: 2})
	busy, busyPeer := connect(t, l)
	_, err := busyPeer.Write([]byte("x"))
	must.NoError(t, err)
	_, err = busy.Read(make([]byte, 1))
	must.NoError(t, err)
	_, idlePeer := connect(t, l)
	connect(t, l)
	_, err = idlePeer.Read(make([]byte, 1))
	must.Error(t, err)
	_, err = busy.Write([]byte("y"))
	must.NoError(t, err)
	_, err = busyPeer.Read(make([]byte, 1))
	must.NoError(t, err)
}

// Guards against a process that is killed for its memory by requests that are not complete. Those for which
// there is no room are refused as not run.
func TestRequestsWithoutRoomAreRefused(t *testing.T) {
	memory := membudget.New(200 << 10)
	l := listen(t, Limits{Idle: longTimeout, Read: longTimeout, Write: longTimeout, Memory: memory})
	c, peer := connect(t, l)
	go func() {
		for {
			if _, err := peer.Write(make([]byte, 4<<10)); err != nil {
				return
			}
		}
	}()
	var err error
	for n := 0; err == nil; {
		must.Less(t, 100<<10, n)
		var read int
		read, err = c.Read(make([]byte, 4<<10))
		n += read
	}
	must.ErrorIs(t, err, ErrNoMemory)
	answer := make([]byte, len("HTTP/1.1 503"))
	_, err = io.ReadFull(peer, answer)
	must.NoError(t, err)
	must.Eq(t, "HTTP/1.1 503", string(answer))
	must.NoError(t, c.Close())
	must.Zero(t, memory.Usage().Bodies)
}

// Bytes of a request are accounted until the next one begins.
func TestNextRequestReleasesTheMemory(t *testing.T) {
	memory := membudget.New(1 << 20)
	l := listen(t, Limits{Idle: longTimeout, Read: longTimeout, Write: longTimeout, Memory: memory})
	c, peer := connect(t, l)
	for _, size := range []int{50 << 10, 10} {
		go func() { _, _ = peer.Write(make([]byte, size)) }()
		_, err := io.ReadFull(c, make([]byte, size))
		must.NoError(t, err)
		must.Eq(t, size > unaccountedBytes, memory.Usage().Bodies > 0)
		_, err = c.Write([]byte("y"))
		must.NoError(t, err)
	}
}
