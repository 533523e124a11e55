package link

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
)

// dialPair returns both ends of a connection; dialed is the one that Dialer opened.
func dialPair(t *testing.T, l net.Listener) (dialed net.Conn, accepted *net.TCPConn) {
	t.Helper()
	dialed, err := Dialer(time.Second).DialContext(t.Context(), "tcp", l.Addr().String())
	must.NoError(t, err)
	t.Cleanup(func() { _ = dialed.Close() })
	c, err := l.Accept()
	must.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return dialed, c.(*net.TCPConn)
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// reset resets a connection.
func reset(t *testing.T, c *net.TCPConn) {
	t.Helper()
	must.NoError(t, c.SetLinger(0))
	must.NoError(t, c.Close())
}

// readToEnd reads what is left of a connection and returns the error that ends it.
func readToEnd(c net.Conn) (string, error) {
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	var text []byte
	buf := make([]byte, 16)
	for {
		n, err := c.Read(buf)
		text = append(text, buf[:n]...)
		if err != nil {
			return string(text), err
		}
	}
}

func awaitUnread(t *testing.T, c net.Conn) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return HasUnread(c) }), wait.Timeout(5*time.Second), wait.Gap(time.Millisecond)))
}

// Guards against a reset that reads as the end of the connection because HasUnread was called before.
func TestHasUnreadLeavesResetsToReaders(t *testing.T) {
	dialed, accepted := dialPair(t, listen(t))
	reset(t, accepted)
	awaitUnread(t, dialed)
	for range 3 {
		_, err := readToEnd(dialed)
		must.ErrorIs(t, err, syscall.ECONNRESET)
	}
}

// Guards against the same while another goroutine is reading.
func TestHasUnreadLeavesResetsToBlockedReaders(t *testing.T) {
	l := listen(t)
	ends := 0
	for range 1000 {
		dialed, accepted := dialPair(t, l)
		var done atomic.Bool
		var looks sync.WaitGroup
		looks.Go(func() {
			for !done.Load() {
				HasUnread(dialed)
			}
		})
		resets := make(chan struct{})
		go func() {
			defer close(resets)
			time.Sleep(100 * time.Microsecond)
			_ = accepted.SetLinger(0)
			_ = accepted.Close()
		}()
		_, err := readToEnd(dialed)
		if err == io.EOF {
			ends++
		}
		done.Store(true)
		looks.Wait()
		<-resets
		_ = dialed.Close()
	}
	must.Zero(t, ends, must.Sprint("resets that were read as ends"))
}

// Guards against a reset that reads as the end of the connection because a write has failed before.
func TestResetThatFailsAWriteFailsReadsToo(t *testing.T) {
	dialed, accepted := dialPair(t, listen(t))
	_, err := accepted.Write([]byte("answer"))
	must.NoError(t, err)
	awaitUnread(t, dialed)
	reset(t, accepted)
	must.Wait(t, wait.InitialSuccess(wait.ErrorFunc(func() error {
		if _, err := dialed.Write([]byte("x")); err == nil {
			return context.DeadlineExceeded
		}
		return nil
	}), wait.Timeout(5*time.Second), wait.Gap(time.Millisecond)))
	text, err := readToEnd(dialed)
	must.Eq(t, "answer", text)
	must.ErrorIs(t, err, syscall.ECONNRESET)
}

// Guards against the same while writes are in progress.
func TestResetFailsReadsBesideWrites(t *testing.T) {
	l := listen(t)
	ends := 0
	for range 300 {
		dialed, accepted := dialPair(t, l)
		var writer sync.WaitGroup
		writer.Go(func() {
			for buf := make([]byte, 64<<10); ; {
				if _, err := dialed.Write(buf); err != nil {
					return
				}
			}
		})
		go func() {
			time.Sleep(100 * time.Microsecond)
			_ = accepted.SetLinger(0)
			_ = accepted.Close()
		}()
		if _, err := readToEnd(dialed); err == io.EOF {
			ends++
		}
		writer.Wait()
		_ = dialed.Close()
	}
	must.Zero(t, ends, must.Sprint("resets that were read as ends"))
}

// An end is still an end: also after HasUnread, beside a write that blocks, and if a later write resets the connection.
func TestEndIsReadAsEnd(t *testing.T) {
	l := listen(t)
	t.Run("after HasUnread", func(t *testing.T) {
		dialed, accepted := dialPair(t, l)
		must.False(t, HasUnread(dialed))
		must.NoError(t, accepted.Close())
		awaitUnread(t, dialed)
		_, err := readToEnd(dialed)
		must.Eq(t, io.EOF, err)
	})
	t.Run("beside a blocked write", func(t *testing.T) {
		// Dialer's connections time out while their peer reads nothing.
		dialed, err := KeepErrors((&net.Dialer{}).DialContext)(t.Context(), "tcp", l.Addr().String())
		must.NoError(t, err)
		defer dialed.Close()
		accepted, err := l.Accept()
		must.NoError(t, err)
		defer accepted.Close()
		var writer sync.WaitGroup
		writer.Go(func() {
			for buf := make([]byte, 64<<10); ; {
				if _, err := dialed.Write(buf); err != nil {
					return
				}
			}
		})
		time.Sleep(50 * time.Millisecond)
		must.NoError(t, accepted.(*net.TCPConn).CloseWrite())
		_, err = readToEnd(dialed)
		must.Eq(t, io.EOF, err)
		must.NoError(t, dialed.Close())
		writer.Wait()
	})
	t.Run("before a write that is answered with a reset", func(t *testing.T) {
		dialed, accepted := dialPair(t, l)
		must.NoError(t, accepted.Close())
		awaitUnread(t, dialed)
		must.Wait(t, wait.InitialSuccess(wait.ErrorFunc(func() error {
			if _, err := dialed.Write([]byte("x")); err == nil {
				return context.DeadlineExceeded
			}
			return nil
		}), wait.Timeout(5*time.Second), wait.Gap(time.Millisecond)))
		_, err := readToEnd(dialed)
		must.Eq(t, io.EOF, err)
	})
}

// lateWriter is a connection whose failed writes return late.
type lateWriter struct {
	*net.TCPConn
	failed chan struct{}
}

func (c *lateWriter) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	if err != nil {
		close(c.failed)
		time.Sleep(50 * time.Millisecond)
	}
	return n, err
}

// Guards against a reset that reads as the end of the connection while the write that got it has not returned yet.
func TestReadsAwaitTheErrorOfAWriteInProgress(t *testing.T) {
	dialed, accepted := dialPair(t, listen(t))
	late := &lateWriter{dialed.(*Conn).Conn.(*net.TCPConn), make(chan struct{})}
	conn := &Conn{Conn: late}
	reset(t, accepted)
	awaitUnread(t, conn)
	go func() { _, _ = conn.Write([]byte("x")) }()
	<-late.failed
	_, err := readToEnd(conn)
	must.ErrorIs(t, err, syscall.ECONNRESET)
}
