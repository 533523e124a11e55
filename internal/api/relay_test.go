package api

import (
	"bufio"
	"io"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"pearlanding/internal/upstream"
)

// Guards against parts of lines that are taken for whole ones, and against lines without end.
func TestReadLineReturnsWholeLinesOnly(t *testing.T) {
	for name, c := range map[string]struct {
		text, line string
		err        error
	}{
		"short":          {"a\nb", "a\n", nil},
		"long":           {strings.Repeat("a", 3*streamBuffer) + "\nb", strings.Repeat("a", 3*streamBuffer) + "\n", nil},
		"cut":            {"a", "a", io.EOF},
		"long and cut":   {strings.Repeat("a", 3*streamBuffer), strings.Repeat("a", 3*streamBuffer), io.EOF},
		"without an end": {strings.Repeat("a", maxEventLine+2*streamBuffer), "", upstream.ErrTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			line, err := readLine(bufio.NewReaderSize(strings.NewReader(c.text), streamBuffer))
			if c.err == nil {
				must.NoError(t, err)
			} else {
				must.ErrorIs(t, err, c.err)
			}
			must.True(t, string(line) == c.line)
		})
	}
}
