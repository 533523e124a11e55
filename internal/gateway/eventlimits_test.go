package gateway

import (
	"io"
	"runtime"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"pearlanding/internal/membudget"
	"pearlanding/internal/upstream"
)

// repeated is a text that is read again and again, size bytes in all.
type repeated struct {
	text      string
	remaining int
}

func (r *repeated) Read(p []byte) (int, error) {
	if r.remaining <= 0 {
		return 0, io.EOF
	}
	n := 0
	for n+len(r.text) <= len(p) {
		n += copy(p[n:], r.text)
	}
	r.remaining -= n
	return n, nil
}

// Guards against a daemon whose memory is exhausted by one event, or that reads what is no event until the
// request's deadline. Only lines that exceed the read buffer were limited.
func TestEventWithoutEndIsRefused(t *testing.T) {
	const size, maxAllocated = 64 << 20, 8 << 20
	for name, text := range map[string]string{"one line": "x", "short lines": "data: x\n", "lines without a field": "x\r\n", "empty lines": "\r\n"} {
		t.Run(name, func(t *testing.T) {
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			source := &repeated{text, size}
			_, err := newEventReader(source).next()
			runtime.ReadMemStats(&after)
			must.ErrorIs(t, err, errEventTooLarge)
			must.Less(t, maxAllocated, after.TotalAlloc-before.TotalAlloc)
			must.LessEq(t, 2*maxEventBytes, size-source.remaining, must.Sprint("bytes read"))
		})
	}
}

// Guards against hundreds of streams that each hold an event of almost the limit: the largest ones end.
func TestLargeEventsAreAccounted(t *testing.T) {
	memory := membudget.New(600 << 10)
	ended := 0
	newReader := func(size int) *eventReader {
		r := newEventReader(io.MultiReader(strings.NewReader(strings.Repeat("x", size)), strings.NewReader("\n\nid: 7\n\n")))
		r.memory, r.onEnd = memory, func() { ended++ }
		return r
	}
	first, second, small := newReader(200<<10), newReader(300<<10), newReader(3<<10)
	ev, err := first.next()
	must.NoError(t, err)
	must.Eq(t, 200<<10+2, len(ev.raw))
	must.Positive(t, memory.Usage().Streams)
	_, err = second.next()
	must.ErrorIs(t, err, upstream.ErrMemory)
	must.Eq(t, 1, ended)
	second.close()
	_, err = small.next()
	must.NoError(t, err)
	ev, err = first.next()
	must.NoError(t, err)
	must.Eq(t, 7, ev.id)
	must.Zero(t, memory.Usage().Streams, must.Sprint("a large buffer is not kept"))
	first.close()
	small.close()
}

// Guards against the replacement of an event that is still being written by the next one.
func TestDetachedEventIsNotOverwritten(t *testing.T) {
	r := newEventReader(strings.NewReader("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"))
	first, err := r.next()
	must.NoError(t, err)
	r.detach()
	_, err = r.next()
	must.NoError(t, err)
	must.Eq(t, "id: 1\ndata: a\n\n", string(first.raw))
}
