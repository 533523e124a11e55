package upstream

import (
	"bytes"
	"net"

	"github.com/juju/errors"

	"pearlanding/internal/membudget"
)

// Limits on what is read from an upstream until the head of its response is complete: status lines and
// headers of the response, of interim responses and of skipped ones together. http.ReadResponse sets no
// limit: a head without end took 256 MB in 3 s.
const (
	// maxHeadBytes is the number of bytes.
	maxHeadBytes = 64 << 10
	// maxHeadLines is the number of lines after which no more is read. Each header takes some 200 bytes
	// of memory, however short it is.
	maxHeadLines = 512
	// unaccountedHeadBytes is the size up to which a head is not accounted to the budget of the daemon.
	unaccountedHeadBytes = readBufferBytes
	// headMemoryFactor is the memory that the rest of a head takes, in bytes per byte received: in the buffer
	// in which its line is collected, and in the parsed header.
	headMemoryFactor = 2
)

// ErrHeadTooLarge means that an upstream sent a response head that exceeds the limits; such an error is
// ErrUnknown, too.
const ErrHeadTooLarge = errors.ConstError("upstream: response head too large")

// ErrMemory means that the daemon holds as much for its peers as it may. Such an error says nothing about
// the upstream. If a byte was sent, it is ErrUnknown, too.
const ErrMemory = errors.ConstError("upstream: memory for peers exhausted")

// headLimiter reads from a connection and limits what is read of heads. Not safe for
// concurrent use.
type headLimiter struct {
	conn   net.Conn
	budget *membudget.Budget
	inHead bool  // what is read now belongs to a head
	bytes  int   // of heads, read so far
	lines  int   // likewise
	held   int   // bytes accounted to budget
	err    error // why no more is read of the heads; nil: no limit is exceeded
	// connErr is the first error of the connection, which a body's read may replace by its own.
	connErr error
}

// Read implements io.Reader. The error is that of the connection, ErrHeadTooLarge or ErrMemory.
func (l *headLimiter) Read(p []byte) (int, error) {
	if !l.inHead {
		return l.readConn(p)
	}
	// A limit only counts once more is needed, as what was read last may contain the end of the head.
	if l.bytes >= maxHeadBytes || l.lines > maxHeadLines {
		l.err = ErrHeadTooLarge
		return 0, l.err
	}
	p = p[:min(len(p), maxHeadBytes-l.bytes)]
	need := 0
	if l.bytes >= unaccountedHeadBytes {
		need = headMemoryFactor * len(p)
	}
	if !l.budget.TakeBody(need) {
		l.err = ErrMemory
		return 0, l.err
	}
	n, err := l.readConn(p)
	if need > 0 {
		used := headMemoryFactor * n
		l.budget.ReleaseBody(need - used)
		l.held += used
	}
	l.bytes += n
	l.lines += bytes.Count(p[:n], []byte{'\n'})
	return n, err
}

// readConn reads from the connection and keeps its error.
func (l *headLimiter) readConn(p []byte) (int, error) {
	n, err := l.conn.Read(p)
	if err != nil && l.connErr == nil {
		l.connErr = err
	}
	return n, err
}

// begin starts to limit the heads that answer a request.
func (l *headLimiter) begin() { l.inHead, l.bytes, l.lines = true, 0, 0 }

// release ends the accounting of the last response's head.
func (l *headLimiter) release() {
	l.budget.ReleaseBody(l.held)
	l.held = 0
}
