package ingress

import "bytes"

// lineScanner finds empty lines in a sequence of bytes that arrives in parts. The zero value is at the
// beginning of a line.
type lineScanner struct {
	inLine bool // the current line has bytes other than carriage returns
	lines  int  // complete lines so far
}

// scan reads p up to the end of the first empty line. It returns the index after that line and true, or
// len(p) and false if there is none.
func (s *lineScanner) scan(p []byte) (end int, found bool) {
	for end < len(p) {
		length := bytes.IndexByte(p[end:], '\n')
		rest := p[end:]
		if length >= 0 {
			rest = rest[:length]
		}
		s.inLine = s.inLine || len(bytes.TrimRight(rest, "\r")) > 0
		if length < 0 {
			return len(p), false
		}
		end += length + 1
		s.lines++
		if !s.inLine {
			return end, true
		}
		s.inLine = false
	}
	return end, false
}
