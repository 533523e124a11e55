package tunnel

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"sync/atomic"
	"syscall"

	"github.com/juju/errors"

	"pearlanding/internal/link"
)

// A frame is a length of headerBytes bytes followed by as many bytes of the response. Lengths above
// maxFrameBytes are marks without bytes.
const (
	headerBytes   = 4
	maxFrameBytes = 4 << 10
	markEnd       = 1 << 16 // the instance closed its connection
	markReset     = 2 << 16 // the instance's connection broke off
	markRetire    = 3 << 16 // the peer stops: no further request may be sent here
)

// frameWriter writes frames. Safe for concurrent use.
type frameWriter struct {
	w io.Writer
	// turn holds a value while somebody writes.
	turn chan struct{}
	// retire is set while the mark markRetire is still to be written.
	retire atomic.Bool
}

func newFrameWriter(w io.Writer) *frameWriter {
	return &frameWriter{w: w, turn: make(chan struct{}, 1)}
}

// copyFrom copies r until it ends, and writes the mark for how it ended. It returns the error of a
// write.
func (f *frameWriter) copyFrom(r io.Reader) error {
	buf := make([]byte, headerBytes+maxFrameBytes)
	for {
		n, err := r.Read(buf[headerBytes:])
		if n > 0 {
			binary.BigEndian.PutUint32(buf, uint32(n))
			if err := f.write(buf[:headerBytes+n]); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return f.mark(markEnd)
		}
		if err != nil {
			return f.mark(markReset)
		}
	}
}

func (f *frameWriter) mark(mark uint32) error {
	return f.write(appendMark(nil, mark))
}

func appendMark(p []byte, mark uint32) []byte { return binary.BigEndian.AppendUint32(p, mark) }

func (f *frameWriter) write(p []byte) error {
	f.turn <- struct{}{}
	_, err := f.w.Write(p)
	<-f.turn
	f.writeRetire()
	return errors.Trace(err)
}

// Retire writes the mark markRetire, now or after the frame that is being written.
func (f *frameWriter) Retire() {
	f.retire.Store(true)
	f.writeRetire()
}

// writeRetire writes the mark if it is due, unless somebody else writes and will do so.
func (f *frameWriter) writeRetire() {
	for f.retire.Load() {
		select {
		case f.turn <- struct{}{}:
		default:
			return
		}
		if f.retire.Swap(false) {
			_, _ = f.w.Write(appendMark(nil, markRetire)) // a broken connection needs no mark
		}
		<-f.turn
	}
}

// Conn is a connection to an instance through a peer.
type Conn struct {
	net.Conn
	peer    string // its address
	reader  *bufio.Reader
	inFrame int   // bytes of the current frame that were not read yet
	err     error // after the last frame
	retired atomic.Bool
	// crowded is set if the peer had used much of its limit when the tunnel was opened.
	crowded bool
	// unread is set while Read could return at once from what was received before.
	unread atomic.Bool
}

// Peer returns the address of the peer that the connection goes through.
func (c *Conn) Peer() string { return c.peer }

// Read implements io.Reader. It returns io.EOF only if the instance closed its connection, ECONNRESET if
// that broke off, and io.ErrUnexpectedEOF or the connection's error if the peer was lost.
func (c *Conn) Read(p []byte) (int, error) {
	defer func() { c.unread.Store(c.inFrame > 0 || c.err != nil || c.reader.Buffered() > 0) }()
	for c.inFrame == 0 {
		if c.err != nil {
			return 0, c.err
		}
		if err := c.nextFrame(); err != nil {
			c.err = err
		}
	}
	n, err := c.reader.Read(p[:min(len(p), c.inFrame)])
	c.inFrame -= n
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// nextFrame reads the header of the next frame.
func (c *Conn) nextFrame() error {
	var header [headerBytes]byte
	if _, err := io.ReadFull(c.reader, header[:]); err != nil {
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		return err
	}
	switch length := binary.BigEndian.Uint32(header[:]); {
	case length == markEnd:
		return io.EOF
	case length == markReset:
		return syscall.ECONNRESET
	case length == markRetire:
		c.retired.Store(true)
	case length > maxFrameBytes:
		return errors.Errorf("peer %s: frame of %d bytes", c.peer, length)
	default:
		c.inFrame = int(length)
	}
	return nil
}

// Idle reports whether the connection may be kept for another request. A peer with many tunnels needs
// them for requests in progress.
func (c *Conn) Idle() (keep bool) { return !c.crowded && !c.retired.Load() }

// HasUnread reports whether there is data, a mark or the end of the connection to read. Safe for
// concurrent use.
func (c *Conn) HasUnread() bool { return c.unread.Load() || link.HasUnread(c.Conn) }
