package tunnel

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

	"pearlanding/internal/link"
)

// tcpRig is a daemon, a peer and an instance that is played by the test, over TCP.
type tcpRig struct {
	*testRig
	instances chan *net.TCPConn           // connections that the instance accepted
	accepted  atomic.Pointer[net.TCPConn] // the connection that the peer accepted last
}

// newTCPRig returns a rig whose peer wraps its connections to the instance.
func newTCPRig(t *testing.T, wrap func(net.Conn) net.Conn) *tcpRig {
	t.Helper()
	r := &tcpRig{testRig: newTestRig(), instances: make(chan *net.TCPConn, 1)}
	instance := listenTCP(t, func(c net.Conn) { r.instances <- c.(*net.TCPConn) })
	peer := newTestPeer()
	peer.connect = func(ctx context.Context) (net.Conn, error) {
		conn, err := link.Dialer(0).DialContext(ctx, "tcp", instance)
		if err != nil {
			return nil, err
		}
		return wrap(conn), nil
	}
	address := listenTCP(t, func(c net.Conn) {
		r.accepted.Store(c.(*net.TCPConn))
		go peer.serve(c)
	})
	r.dialer.Peers = func() []string { return []string{address} }
	r.dialer.DialPeer = link.Dialer(0).DialContext
	return r
}

func listenTCP(t *testing.T, accepted func(net.Conn)) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			accepted(conn)
		}
	}()
	return l.Addr().String()
}

// answerBesideUpload sends a large request through a tunnel. The instance sends a part of its answer and then ends
// the connection, without having read the request. It returns the error with which the answer ends for the caller.
func (r *tcpRig) answerBesideUpload(t *testing.T, end func(*net.TCPConn)) error {
	t.Helper()
	conn, err := r.dial(t, 5*time.Second)
	must.NoError(t, err)
	instance := <-r.instances
	var upload sync.WaitGroup
	upload.Go(func() { _, _ = conn.Write(make([]byte, 16<<20)) }) // does not fit into socket buffers
	_, err = io.WriteString(instance, "part")
	must.NoError(t, err)
	part := make([]byte, 4)
	_, err = io.ReadFull(conn, part)
	must.NoError(t, err)
	time.Sleep(2 * time.Millisecond) // until the write to the instance waits
	end(instance)
	must.NoError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
	_, err = conn.Read(part)
	_ = conn.Close()
	upload.Wait()
	return err
}

func resetConn(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// lateReader is a connection whose reads, after the first one, begin once a write has failed, whose error is held back
// until then, as in a process that is short of processor time.
type lateReader struct {
	net.Conn
	reads  int
	failed chan struct{} // closed when a write has failed
	read   chan struct{} // closed when a read has ended after that
}

func (c *lateReader) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		close(c.failed)
		<-c.read
	}
	return n, err
}

func (c *lateReader) Read(p []byte) (int, error) {
	if c.reads++; c.reads == 2 {
		<-c.failed
		defer close(c.read)
	}
	return c.Conn.Read(p)
}

// Guards against a peer that reports a reset as the instance's own end because its write to the instance had failed
// before.
func TestFailedWriteDoesNotTurnAResetIntoAnEnd(t *testing.T) {
	r := newTCPRig(t, func(c net.Conn) net.Conn {
		return &lateReader{Conn: c, failed: make(chan struct{}), read: make(chan struct{})}
	})
	must.ErrorIs(t, r.answerBesideUpload(t, resetConn), syscall.ECONNRESET)
}

// Guards against the same while the peer is reading.
func TestResetBesideAWriteIsNoEnd(t *testing.T) {
	r := newTCPRig(t, func(c net.Conn) net.Conn { return c })
	ends := 0
	for range 200 {
		if err := r.answerBesideUpload(t, resetConn); err == io.EOF {
			ends++
		} else {
			must.ErrorIs(t, err, syscall.ECONNRESET)
		}
	}
	must.Zero(t, ends, must.Sprint("resets that the peer reported as ends"))
}

// An instance may end its answer, and only this, while the request is being written.
func TestEndBesideAWriteIsAnEnd(t *testing.T) {
	r := newTCPRig(t, func(c net.Conn) net.Conn { return c })
	must.Eq(t, io.EOF, r.answerBesideUpload(t, func(c *net.TCPConn) { _ = c.CloseWrite() }))
}

// The loss of the peer is no end either, whichever call on the connection to it takes the error.
func TestLossOfThePeerBesideAWriteIsNoEnd(t *testing.T) {
	r := newTCPRig(t, func(c net.Conn) net.Conn { return c })
	for range 50 {
		err := r.answerBesideUpload(t, func(*net.TCPConn) { resetConn(r.accepted.Load()) })
		must.Error(t, err)
		must.NotEq(t, io.EOF, err)
	}
}
