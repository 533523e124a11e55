package gateway

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/juju/errors"
)

// Errors of streams that ended too early.
const (
	// errPartialEvent means that the stream ended inside an event.
	errPartialEvent = errors.ConstError("gateway: stream ended inside an event")
	// errNoEvents means that the stream ended before its first event.
	errNoEvents = errors.ConstError("gateway: stream without events")
)

// event is one server-sent event with its unmodified bytes.
type event struct {
	raw   []byte // including the terminating empty line; valid until the next read
	id    int64
	hasID bool
}

// eventReader splits an event stream (text/event-stream) into events and leaves their bytes
// unchanged.
type eventReader struct {
	src *bufio.Reader
	buf []byte
}

// maxEventBytes is the size of an event from which on a line that exceeds the read buffer is an
// error, bufio.ErrBufferFull. Shorter lines are accepted in an event of any size.
const maxEventBytes = 1 << 20

func newEventReader(body io.Reader) *eventReader {
	return &eventReader{src: bufio.NewReaderSize(body, 4<<10)}
}

// next returns the next complete event. The error is io.EOF if the stream ended between
// events, errPartialEvent if it ended inside one, and bufio.ErrBufferFull if an event is too
// large.
func (r *eventReader) next() (event, error) {
	r.buf = r.buf[:0]
	var ev event
	continued := false // the next part continues a line that exceeds the read buffer
	for {
		line, err := r.src.ReadSlice('\n')
		r.buf = append(r.buf, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull) && len(r.buf) < maxEventBytes:
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

// hasBufferedEvent reports whether a complete event is buffered, so that next doesn't block.
func (r *eventReader) hasBufferedEvent() bool {
	buffered, err := r.src.Peek(r.src.Buffered())
	if err != nil {
		return false
	}
	return bytes.Contains(buffered, []byte("\n\n")) || bytes.Contains(buffered, []byte("\n\r\n"))
}
