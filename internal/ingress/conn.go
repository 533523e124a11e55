package ingress

import (
	"net"
	"net/http"
	"sync"
	"time"

	"pearlanding/internal/link"
	"pearlanding/internal/membudget"
)

// phase is what a connection is used for. Its values are those of a metric.
type phase string

const (
	phaseNew     phase = "new"     // nothing was received
	phaseHead    phase = "head"    // a head is being received
	phaseBody    phase = "body"    // a body is being received
	phaseServing phase = "serving" // a whole request is in progress
	phaseClosing phase = "closing" // a request was answered before its body was received
	phaseIdle    phase = "idle"    // between two requests
)

var phases = []phase{phaseNew, phaseHead, phaseBody, phaseServing, phaseClosing, phaseIdle}

// progressBytes must be received for a request to count as making progress.
const progressBytes = 1 << 10

// lingerTimeout bounds how long the rest of a refused request is read: closing a connection with unread bytes
// would take the answer away.
const lingerTimeout = 500 * time.Millisecond

// longAgo is a deadline that ends a read at once.
var longAgo = time.Unix(1, 0)

// conn is a connection of a guard. Reads come from one goroutine at a time, as in an HTTP/1 server.
type conn struct {
	net.Conn
	guard *Guard

	// These are owned by the goroutine that reads.
	head      lineScanner
	headBytes int      // received of the current head
	handedOut bool     // the current head was handed out whole
	blocks    [][]byte // of a head that is not complete
	complete  [][]byte // of a complete head, not handed out
	stash     []byte   // received and not handed out; follows complete
	stashBuf  []byte   // memory of stash, for the next one
	bodyLines lineScanner

	mu       sync.Mutex
	upload   *membudget.Upload // of the head; nil: its memory is not accounted
	phase    phase
	since    time.Time // when the phase began
	marked   time.Time // when progressBytes had been received last, in phaseHead and phaseBody
	unmarked int       // bytes received since then
	bodyLeft int64     // bytes of the body that were not handed out; negative: it comes in chunks
	ended    reason    // why the guard ended the connection; empty: it did not
	// closeResets is set while closing the socket resets the connection.
	closeResets bool
	answered    bool // the handler of the last request has returned and did not abort the answer
	writeFailed bool
}

// Read implements io.Reader. It hands a head out only when it is complete, and never bytes that follow the
// current head or body, so that the server's buffer is empty when the next head begins.
func (c *conn) Read(p []byte) (int, error) {
	switch c.currentPhase() {
	case phaseBody, phaseClosing:
		return c.readBody(p)
	case phaseServing:
		return c.receive(p) // the server watches for the end of the connection
	default:
		return c.readHead(p)
	}
}

func (c *conn) currentPhase() phase {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase
}

// receive reads what was received and not handed out, or else from the connection.
func (c *conn) receive(p []byte) (int, error) {
	if len(c.stash) == 0 {
		return c.Conn.Read(p)
	}
	n := copy(p, c.stash)
	c.stash = c.stash[n:]
	return n, nil
}

// putBack makes receive return p again, before anything else.
func (c *conn) putBack(p []byte) {
	if len(p) == 0 {
		return
	}
	if len(c.stash) > 0 {
		c.stash = append(append(make([]byte, 0, len(p)+len(c.stash)), p...), c.stash...)
		return
	}
	c.stashBuf = append(c.stashBuf[:0], p...)
	c.stash = c.stashBuf
}

// noteReceived records the receipt of n bytes of a head or body.
func (c *conn) noteReceived(n int) {
	if n == 0 {
		return
	}
	now := c.guard.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseNew || c.phase == phaseIdle {
		c.enter(phaseHead, now)
	}
	if c.unmarked += n; c.unmarked >= progressBytes {
		c.unmarked, c.marked = 0, now
		c.upload.Progress(now)
	}
}

// enter begins a phase. c.mu must be held.
func (c *conn) enter(p phase, now time.Time) {
	c.phase, c.since, c.marked, c.unmarked = p, now, now, 0
}

// beginRequest notes that the server has parsed the head of r. An answer to an HTTP/1.0 caller may have neither a
// length nor chunks, so the connection is reset if it closes before the whole answer was written, also by the end of
// the process.
func (c *conn) beginRequest(r *http.Request) {
	c.bodyLines = lineScanner{}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answered = false
	if !r.ProtoAtLeast(1, 1) {
		c.closeResets = c.setLinger(0)
	}
	c.upload.Received()
	if c.bodyLeft = r.ContentLength; r.ContentLength == 0 {
		c.enter(phaseServing, c.guard.now())
	} else {
		c.enter(phaseBody, c.guard.now())
	}
}

// bodyReceived notes that the whole body was received.
func (c *conn) bodyReceived() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseBody {
		c.enter(phaseServing, c.guard.now())
	}
}

// setLinger sets the linger time of a TCP connection, in seconds, and reports whether it did. A connection that is
// closed with 0 is reset; a negative time is the system's default.
func (c *conn) setLinger(seconds int) bool {
	tcp, ok := c.Conn.(interface{ SetLinger(seconds int) error })
	return ok && tcp.SetLinger(seconds) == nil
}

// noteAnswered notes that the handler has returned and did not abort the answer.
func (c *conn) noteAnswered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answered = true
}

// stopResets lets the connection end in order if the whole answer was written, and reports whether it may. The server
// must have written what it buffers.
func (c *conn) stopResets() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closeResets && c.answered && !c.writeFailed {
		c.closeResets = !c.setLinger(-1)
	}
	return !c.closeResets
}

// Write implements io.Writer. The server does not tell the handler of all errors.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.mu.Lock()
		c.writeFailed = true
		c.mu.Unlock()
	}
	return n, err
}

// endRequest notes that the handler has returned. What is left of the body is read for lingerTimeout.
func (c *conn) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseBody {
		c.enter(phaseClosing, c.guard.now())
		_ = c.Conn.SetReadDeadline(link.DeadlineAfter(lingerTimeout))
	}
}

// idle notes that the answer was written and the connection waits for the next request.
func (c *conn) idle() {
	c.head, c.headBytes, c.handedOut, c.complete, c.blocks = lineScanner{}, 0, false, nil, nil
	c.release()
	c.stopResets()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.enter(phaseIdle, c.guard.now())
}

// SetReadDeadline implements net.Conn. A connection that was ended keeps its deadline.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended != "" {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// end makes the read in progress, and all later ones, fail.
func (c *conn) end(r reason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended == "" {
		c.ended = r
		c.guard.count(r)
		_ = c.Conn.SetReadDeadline(longAgo)
	}
}

// CloseWrite closes the side of the connection that is written to, unless closing the connection resets it.
func (c *conn) CloseWrite() error {
	if !c.stopResets() {
		return nil
	}
	if tcp, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.guard.remove(c)
	c.release()
	c.stopResets()
	return c.Conn.Close()
}
