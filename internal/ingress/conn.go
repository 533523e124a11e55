package ingress

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
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

const (
	// serverBufferBytes is the size of the HTTP server's read buffer. Larger reads go to the buffer of who
	// reads a body.
	serverBufferBytes = 4 << 10
	// headBlockBytes is the size of the buffers that hold an incomplete head.
	headBlockBytes = 2 << 10
	// headBytesFactor and headLineBytes are the memory of a parsed head, in the request and in its copy for the
	// upstream: for each byte, and for each line.
	headBytesFactor = 2
	headLineBytes   = 256
	// unaccountedHeadBytes is the memory of a parsed head that counts as part of its connection's.
	unaccountedHeadBytes = 8 << 10
	// headBytesSlack is by how much a head may exceed its limit, which may be counted without the request
	// line.
	headBytesSlack = 4 << 10
	// progressBytes must be received for a request to count as making progress.
	progressBytes = 1 << 10
	// lingerTimeout bounds how long the rest of a refused request is read: closing a connection with
	// unread bytes would take the answer away.
	lingerTimeout = 500 * time.Millisecond
	// lingerBytes bounds how much of it is read.
	lingerBytes = 256 << 10
	// refusalTimeout bounds the writing of a refusal.
	refusalTimeout = time.Second
)

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

// readHead keeps what it reads until a head is complete, and then hands it out.
func (c *conn) readHead(p []byte) (int, error) {
	if c.handedOut && len(p) == 1 {
		return c.receive(p) // the server has parsed the head and watches for the end of the connection
	}
	for len(c.complete) == 0 {
		n, err := c.receive(p)
		end, complete := c.head.scan(p[:n])
		c.putBack(p[end:n])
		c.headBytes += end
		c.noteReceived(end)
		if refusal := c.checkHead(complete); refusal != "" {
			return 0, c.refuse(refusal)
		}
		if complete && len(c.blocks) == 0 {
			c.handedOut = true
			return end, nil
		}
		if !c.keep(p[:end]) {
			return 0, c.refuse(reasonNoMemory)
		}
		if complete {
			c.complete, c.blocks = c.blocks, nil
		} else if err != nil {
			return 0, c.headFailed(err)
		}
	}
	n := copy(p, c.complete[0])
	if c.complete[0] = c.complete[0][n:]; len(c.complete[0]) == 0 {
		c.complete = c.complete[1:]
	}
	c.handedOut = len(c.complete) == 0
	return n, nil
}

// checkHead returns why the current head is refused, empty if it is not.
func (c *conn) checkHead(complete bool) reason {
	limit := c.guard.options.Limits().HeadBytes
	switch {
	case c.headBytes > limit+headBytesSlack:
		return reasonHeadTooLarge
	case complete && !c.take(headBytesFactor*c.headBytes+headLineBytes*c.head.lines-unaccountedHeadBytes):
		return reasonNoMemory
	}
	return ""
}

// take accounts memory of a head. It returns false if there is no room for it, or the head was ended to
// make room for others.
func (c *conn) take(n int) bool {
	if n <= 0 || c.guard.options.Memory == nil {
		return true
	}
	now := c.guard.now()
	c.mu.Lock()
	if c.upload == nil {
		c.upload = c.guard.options.Memory.NewUpload(now, func() { c.end(reasonNoMemory) })
	}
	upload := c.upload
	c.mu.Unlock()
	return upload.Grow(n, now) // may end other connections
}

// release releases the memory of the head.
func (c *conn) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.upload.Release()
	c.upload = nil
}

// keep keeps a part of a head. It returns false if there is no room for it.
func (c *conn) keep(p []byte) bool {
	for len(p) > 0 {
		last := len(c.blocks) - 1
		if last < 0 || len(c.blocks[last]) == headBlockBytes {
			if !c.take(headBlockBytes) {
				return false
			}
			c.blocks = append(c.blocks, make([]byte, 0, headBlockBytes))
			last++
		}
		n := min(len(p), headBlockBytes-len(c.blocks[last]))
		c.blocks[last] = append(c.blocks[last], p[:n]...)
		p = p[n:]
	}
	return true
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

// headFailed returns the error of a read in a head. A head that was ended is refused first.
func (c *conn) headFailed(err error) error {
	c.mu.Lock()
	inHead, ended := c.phase == phaseHead, c.ended
	c.mu.Unlock()
	if inHead && ended != "" {
		return c.refuse(ended)
	}
	return err
}

// readBody reads from the body, but nothing that follows it.
func (c *conn) readBody(p []byte) (int, error) {
	c.mu.Lock()
	left := c.bodyLeft
	c.mu.Unlock()
	switch {
	case left > 0:
		p = p[:min(int64(len(p)), left)]
	case left == 0 && c.currentPhase() == phaseClosing:
		return 0, io.EOF
	}
	n, err := c.receive(p)
	if left < 0 {
		end := n
		for from := 0; from < n; from = end { // reads larger than the server's buffer are within a chunk
			at, found := c.bodyLines.scan(p[from:n])
			end = from + at
			if found && len(p) <= serverBufferBytes {
				break
			}
		}
		c.putBack(p[end:n])
		n = end
	}
	c.noteReceived(n)
	if left > 0 {
		c.mu.Lock()
		if c.bodyLeft -= int64(n); c.bodyLeft == 0 && c.phase == phaseBody {
			c.enter(phaseServing, c.guard.now())
		}
		c.mu.Unlock()
	}
	return n, err
}

// beginRequest notes that the server has parsed a head. length is that of the body, negative if it comes in
// chunks.
func (c *conn) beginRequest(length int64) {
	c.bodyLines = lineScanner{}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.upload.Received()
	if c.bodyLeft = length; length == 0 {
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

// refuse answers a request that will not run and reads on for a moment, so that the answer arrives. It
// returns the error for the server, which then writes nothing itself.
func (c *conn) refuse(r reason) error {
	c.end(r)
	c.blocks, c.stash, c.stashBuf = nil, nil, nil
	c.release()
	_ = c.Conn.SetWriteDeadline(link.DeadlineAfter(refusalTimeout))
	h := http.Header{"Connection": {"close"}, "Content-Type": {"text/plain; charset=utf-8"}}
	status := r.status()
	if status == http.StatusServiceUnavailable && c.guard.options.SetRetryAfter != nil {
		c.guard.options.SetRetryAfter(h)
	}
	text := string(r) + "\n"
	h.Set("Content-Length", strconv.Itoa(len(text)))
	resp := &http.Response{StatusCode: status, ProtoMajor: 1, ProtoMinor: 1, Header: h, ContentLength: int64(len(text)), Body: io.NopCloser(strings.NewReader(text))}
	if resp.Write(c.Conn) == nil && c.CloseWrite() == nil {
		_ = c.Conn.SetReadDeadline(link.DeadlineAfter(lingerTimeout))
		_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes) // the connection is closed in any case
	}
	return io.EOF
}

// CloseWrite closes the side of the connection that is written to.
func (c *conn) CloseWrite() error {
	if tcp, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.guard.remove(c)
	c.release()
	return c.Conn.Close()
}
