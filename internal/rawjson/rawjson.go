// Package rawjson finds the parts of a JSON text without decoding them. encoding/json refuses a whole text if one
// part of it is invalid or nested deeper than 10,000 levels; here such a part costs only itself. Brackets and
// strings are matched; the parts are not checked otherwise.
package rawjson

import (
	"encoding/json"

	"github.com/juju/errors"
)

// ErrMalformed means that a text is not an object or a list whose brackets and strings are complete.
const ErrMalformed = errors.ConstError("malformed JSON")

// Object returns the values of an object by name; of several with one name, the last. Values are parts of text. The
// error is ErrMalformed.
func Object(text []byte) (map[string][]byte, error) {
	out := map[string][]byte{}
	p := parser{text: text}
	err := p.elements('{', '}', func() error {
		rawName, _, err := p.value()
		if err != nil {
			return err
		}
		var name string
		if json.Unmarshal(rawName, &name) != nil || !p.take(':') {
			return ErrMalformed
		}
		value, _, err := p.value()
		out[name] = value
		return err
	})
	return out, err
}

// List returns the values of a list, as parts of text. The error is ErrMalformed.
func List(text []byte) (out [][]byte, _ error) {
	p := parser{text: text}
	err := p.elements('[', ']', func() error {
		value, _, err := p.value()
		out = append(out, value)
		return err
	})
	return out, err
}

// Depth returns how deep a value is nested; 0 for one that is neither an object nor a list, or is malformed.
func Depth(text []byte) int {
	p := parser{text: text}
	_, depth, err := p.value()
	if err != nil {
		return 0
	}
	return depth
}

// parser reads a text from a position.
type parser struct {
	text []byte
	at   int
}

// skipSpace moves to the next byte that is no white space, and returns it; 0 at the end.
func (p *parser) skipSpace() byte {
	for ; p.at < len(p.text); p.at++ {
		switch c := p.text[p.at]; c {
		case ' ', '\t', '\r', '\n':
		default:
			return c
		}
	}
	return 0
}

// take moves past a byte if it comes next.
func (p *parser) take(c byte) bool {
	if p.skipSpace() != c {
		return false
	}
	p.at++
	return true
}

// elements calls element at each element between two brackets, up to the end of the text.
func (p *parser) elements(open, end byte, element func() error) error {
	if !p.take(open) {
		return ErrMalformed
	}
	if !p.take(end) {
		for {
			if err := element(); err != nil {
				return err
			}
			if p.take(end) {
				break
			}
			if !p.take(',') {
				return ErrMalformed
			}
		}
	}
	if p.skipSpace() != 0 || p.at < len(p.text) {
		return ErrMalformed
	}
	return nil
}

// value reads a value and returns how deep it is nested.
func (p *parser) value() (raw []byte, maxDepth int, _ error) {
	p.skipSpace()
	start, depth := p.at, 0
	for ; p.at < len(p.text); p.at++ {
		switch p.text[p.at] {
		case '"':
			if !p.skipString() {
				return nil, 0, ErrMalformed
			}
			if depth == 0 {
				p.at++
				return p.text[start:p.at], maxDepth, nil
			}
		case '{', '[':
			depth++
			maxDepth = max(maxDepth, depth)
		case '}', ']':
			if depth == 0 {
				return p.scalar(start)
			}
			if depth--; depth == 0 {
				p.at++
				return p.text[start:p.at], maxDepth, nil
			}
		case ',', ':', ' ', '\t', '\r', '\n':
			if depth == 0 {
				return p.scalar(start)
			}
		}
	}
	if depth > 0 {
		return nil, 0, ErrMalformed
	}
	return p.scalar(start)
}

// scalar returns the value from start to the present position.
func (p *parser) scalar(start int) (raw []byte, depth int, _ error) {
	if p.at == start {
		return nil, 0, ErrMalformed
	}
	return p.text[start:p.at], 0, nil
}

// skipString moves from the opening quote of a string to its closing one.
func (p *parser) skipString() bool {
	for p.at++; p.at < len(p.text); p.at++ {
		switch p.text[p.at] {
		case '\\':
			p.at++
		case '"':
			return true
		}
	}
	return false
}
