package gateway

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/juju/errors"

	"pearlanding/internal/membudget"
	"pearlanding/internal/upstream"
)

// Errors of streams that ended too early.
const (
	// errPartialEvent means that the stream ended inside an event.
	errPartialEvent = errors.ConstError("gateway: stream ended inside an event")
	// errEndNotProved means that a response ended, and that this does not prove that the stream is complete.
	errEndNotProved = errors.ConstError("gateway: stream ended without a proof that it is complete")
	// errEndAtDeadline means that a response ended when the time that its instance was handed was over, or too short for
	// an event: there may have been more.
	errEndAtDeadline = errors.ConstError("gateway: stream ended at the deadline")
	// errEventTooLarge means that an event, or what is between two events, exceeds maxEventBytes.
	errEventTooLarge = errors.ConstError("gateway: event too large")
)

// event is one server-sent event with its unmodified bytes.
type event struct {
	raw   []byte // including the terminating empty line; valid until the next read
	id    int64
	hasID bool
	// comment is true if all lines are comments, as of an event that only keeps the connection open.
	comment bool
}

// eventReader splits an event stream (text/event-stream) into events and leaves their bytes
// unchanged.
type eventReader struct {
	src *bufio.Reader
	buf []byte
	// Large events are accounted to memory; onEnd is called if the stream must end to release them. nil:
	// they are not accounted.
	memory  *membudget.Budget
	onEnd   func()
	holder  *membudget.Holder // nil until the first large event
	bufHeld int               // size of buf that is accounted to holder
}

// Sizes of events, in bytes.
const (
	// maxEventBytes limits an event, and the empty lines between two events.
	maxEventBytes = 1 << 20
	// unaccountedEventBytes is the size up to which an event is not accounted.
	unaccountedEventBytes = 4 << 10
	// maxKeptEventBytes is the largest buffer that is kept for the next event.
	maxKeptEventBytes = 64 << 10
)

func newEventReader(body io.Reader) *eventReader {
	return &eventReader{src: bufio.NewReaderSize(body, 4<<10)}
}

// next returns the next complete event. The error is io.EOF if the stream ended between
// events, errPartialEvent if it ended inside one, errEventTooLarge, or upstream.ErrMemory.
func (r *eventReader) next() (event, error) {
	r.reset()
	ev := event{comment: true}
	skipped := 0       // bytes of empty lines
	continued := false // the next part continues a line that exceeds the read buffer
	for {
		line, err := r.src.ReadSlice('\n')
		if err := r.append(line); err != nil {
			return ev, err
		}
		if text := bytes.TrimRight(line, "\r\n"); !continued && len(text) > 0 && text[0] != ':' {
			ev.comment = false
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continued = true
			continue
		case err == io.EOF && len(r.buf) == 0:
			return ev, io.EOF
		case err == io.EOF:
			return ev, errPartialEvent
		case err != nil:
			return ev, err
		}
		if continued {
			continued = false
			continue // neither an empty line nor an id
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			if len(bytes.TrimSpace(r.buf)) == 0 {
				if skipped += len(r.buf); skipped > maxEventBytes {
					return ev, errEventTooLarge
				}
				r.buf = r.buf[:0] // extra empty line between events
				continue
			}
			ev.raw = r.buf
			return ev, nil
		}
		if value, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			if id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64); err == nil {
				ev.id, ev.hasID = id, true
			}
		}
	}
}

// reset prepares the buffer for the next event.
func (r *eventReader) reset() {
	if cap(r.buf) > maxKeptEventBytes {
		r.buf = nil
		r.holder.Shrink(r.bufHeld)
		r.bufHeld = 0
	}
	r.buf = r.buf[:0]
}

// append adds a line, or a part of one, to the event. The error is errEventTooLarge or upstream.ErrMemory.
func (r *eventReader) append(line []byte) error {
	size := len(r.buf) + len(line)
	if size > maxEventBytes {
		return errEventTooLarge
	}
	if size > cap(r.buf) && size > unaccountedEventBytes {
		if r.holder == nil {
			r.holder = r.memory.NewHolder(r.onEnd)
		}
		grown := min(max(2*cap(r.buf), size), maxEventBytes)
		if !r.holder.Grow(grown - r.bufHeld) {
			return upstream.ErrMemory
		}
		r.bufHeld = grown
		r.buf = append(make([]byte, 0, grown), r.buf...)
	}
	r.buf = append(r.buf, line...)
	return nil
}

// insideEvent reports, after an error of next, whether the stream ended inside an event.
func (r *eventReader) insideEvent() bool { return len(r.buf) > 0 }

// detach leaves the buffer of the last event to a goroutine that still uses it. It stays accounted until
// close.
func (r *eventReader) detach() { r.buf, r.bufHeld = nil, 0 }

// close ends the accounting.
func (r *eventReader) close() { r.holder.Close() }

// hasBufferedEvent reports whether a complete event is buffered, so that next doesn't block.
func (r *eventReader) hasBufferedEvent() bool {
	buffered, err := r.src.Peek(r.src.Buffered())
	if err != nil {
		return false
	}
	return bytes.Contains(buffered, []byte("\n\n")) || bytes.Contains(buffered, []byte("\n\r\n"))
}
