package gateway

import (
	"io"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	_ "pearlanding/internal/fixedseed"
)

func TestEventReaderReturnsWholeEventsOnly(t *testing.T) {
	r := newEventReader(strings.NewReader("id: 4\ndata: a\n\nid:5\r\ndata: b\r\n\r\nid: 6\nda"))
	for _, want := range []struct {
		raw string
		id  int64
	}{{"id: 4\ndata: a\n\n", 4}, {"id:5\r\ndata: b\r\n\r\n", 5}} {
		ev, err := r.next()
		must.NoError(t, err)
		must.Eq(t, want.raw, string(ev.raw))
		must.Eq(t, want.id, ev.id)
	}
	_, err := r.next()
	must.ErrorIs(t, err, errPartialEvent)
}

// A complete event must be flushed without waiting for the rest of the next one; otherwise the
// last event before the connection breaks is lost.
func TestEventReaderReportsBufferedWholeEvent(t *testing.T) {
	r := newEventReader(strings.NewReader("id: 1\n\nid: 2\n\nid: 3\nda"))
	for _, want := range []bool{true, false} {
		_, err := r.next()
		must.NoError(t, err)
		must.Eq(t, want, r.hasBufferedEvent())
	}
}

// oneByteReader returns one byte per read.
type oneByteReader struct{ io.Reader }

func (r oneByteReader) Read(b []byte) (int, error) { return r.Reader.Read(b[:min(1, len(b))]) }

func TestEventReaderChangesNoByte(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		var text strings.Builder
		for range rapid.IntRange(0, 8).Draw(r, "events") {
			for range rapid.IntRange(1, 4).Draw(r, "lines") {
				text.WriteString(rapid.StringMatching(`[a-z]{1,9}: ?[^\n\r]{1,40}`).Draw(r, "line") + "\n")
			}
			text.WriteString("\n")
		}
		reader := newEventReader(oneByteReader{strings.NewReader(text.String())})
		var got strings.Builder
		for {
			ev, err := reader.next()
			if err == io.EOF {
				break
			}
			must.NoError(r, err)
			got.Write(ev.raw)
		}
		must.Eq(r, text.String(), got.String())
	})
}

func FuzzEventReader(f *testing.F) {
	f.Add("id: 1\ndata: x\n\n")
	f.Fuzz(func(t *testing.T, text string) {
		reader, n := newEventReader(strings.NewReader(text)), 0
		for {
			ev, err := reader.next()
			if err != nil {
				break
			}
			n += len(ev.raw)
		}
		if n > len(text) {
			t.Fatal("the events have more bytes than their stream")
		}
	})
}

// Guards against events that are cut in the middle of a line: the end of a line that fills the read buffer
// looked like an empty line, and a part of a long line like an id.
func TestLinesThatFillTheReadBufferAreNotCut(t *testing.T) {
	const bufferBytes = 4 << 10
	text := "id: 1\n" + "data:" + strings.Repeat("x", 2*bufferBytes-len("data:")-len("id: 1\n")) + "\ndata: y\n\n"
	text2 := "id: 2\ndata:" + strings.Repeat("x", bufferBytes-len("id: 2\ndata:")) + "id: 9\n\n"
	for _, size := range []int{0, 1, bufferBytes - 1, bufferBytes, bufferBytes + 1} {
		lead := ": " + strings.Repeat("c", size) + "\n\n"
		r := newEventReader(strings.NewReader(lead + text + text2))
		for _, want := range []struct {
			raw string
			id  int64
		}{{lead, 0}, {text, 1}, {text2, 2}} {
			ev, err := r.next()
			must.NoError(t, err)
			must.Eq(t, want.raw, string(ev.raw))
			must.Eq(t, want.id, ev.id)
		}
	}
	for size := range 2*bufferBytes + 2 {
		line := strings.Repeat("x", size) + "id: 9\n\n"
		ev, err := newEventReader(strings.NewReader(line)).next()
		must.NoError(t, err)
		must.Eq(t, line, string(ev.raw))
		must.False(t, ev.hasID && size > 0)
	}
}
