package gateway

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/juju/errors"
)

// errTornEvent: the stream ended inside an event.
const errTornEvent = errors.ConstError("gateway: stream ended inside an event")

// event is one event of a stream with the bytes it came in.
type event struct {
	raw   []byte // with its empty line; valid until the next read
	id    int64
	hasID bool
}

// eventReader splits an event stream (text/event-stream) into events without
// changing a byte.
type eventReader struct {
	src *bufio.Reader
	buf []byte
}

// maxEventBytes bounds one event.
const maxEventBytes = 1 << 20

func newEventReader(body io.Reader) *eventReader {
	return &eventReader{src: bufio.NewReaderSize(body, 4<<10)}
}

// next returns the next whole event. io.EOF says that the stream ended between
// events; a partial event is never returned.
func (r *eventReader) next() (event, error) {
	r.buf = r.buf[:0]
	var ev event
	for {
		line, err := r.src.ReadSlice('\n')
		r.buf = append(r.buf, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull) && len(r.buf) < maxEventBytes:
			continue
		case err == io.EOF && len(r.buf) == 0:
			return ev, io.EOF
		case err == io.EOF:
			return ev, errTornEvent
		case err != nil:
			return ev, err
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			if len(bytes.TrimSpace(r.buf)) == 0 {
				r.buf = r.buf[:0] // an empty line between events
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

// more tells whether the next whole event may be read without waiting.
func (r *eventReader) more() bool {
	ahead, err := r.src.Peek(r.src.Buffered())
	if err != nil {
		return false
	}
	return bytes.Contains(ahead, []byte("\n\n")) || bytes.Contains(ahead, []byte("\n\r\n"))
}
