package findings

import (
	"bufio"
	"bytes"
	"fmt"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// File is one INI source under checking: the parsed form, the line of each key,
// and the list that readers report into.
type File struct {
	Name  string
	INI   *ini.File
	lines map[place]int
	List  *List
}

type place struct{ section, key string }

// Parse reads data as INI. It returns nil after adding a finding when the text
// can't be parsed at all.
func Parse(name string, data []byte, list *List) *File {
	f, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true, AllowBooleanKeys: false}, data)
	if err != nil {
		list.Add(Finding{File: name, Message: "not valid INI: " + err.Error()})
		return nil
	}
	file := &File{Name: name, INI: f, lines: lineIndex(data), List: list}
	file.reportDuplicates(data)
	return file
}

// lineIndex finds the line of every section header and key.
func lineIndex(data []byte) map[place]int {
	index := map[place]int{}
	eachKey(data, func(p place, line int) {
		if _, seen := index[p]; !seen {
			index[p] = line
		}
	})
	return index
}

// eachKey calls visit for each section header (with an empty key) and each key.
func eachKey(data []byte, visit func(place, int)) {
	section := ""
	scanner := bufio.NewScanner(bytes.NewReader(data))
	for line := 1; scanner.Scan(); line++ {
		text := strings.TrimSpace(scanner.Text())
		switch {
		case text == "" || text[0] == '#' || text[0] == ';':
		case text[0] == '[' && strings.HasSuffix(text, "]"):
			section = strings.TrimSpace(text[1 : len(text)-1])
			visit(place{section, ""}, line)
		default:
			if key, _, ok := strings.Cut(text, "="); ok {
				visit(place{section, strings.TrimSpace(key)}, line)
			}
		}
	}
}

// reportDuplicates adds a finding for each section or key that stands twice;
// the INI library would silently keep the last one.
func (f *File) reportDuplicates(data []byte) {
	first := map[place]int{}
	eachKey(data, func(p place, line int) {
		if before, seen := first[p]; seen {
			f.List.Add(Finding{File: f.Name, Section: p.section, Key: p.key, Line: line,
				Message: fmt.Sprintf("stands twice, first in line %d", before)})
			return
		}
		first[p] = line
	})
}

// Add reports a fault at a section and key of this file.
func (f *File) Add(section, key, format string, args ...any) {
	line := f.lines[place{section, key}]
	if line == 0 {
		line = f.lines[place{section, ""}]
	}
	f.List.Add(Finding{File: f.Name, Section: section, Key: key, Line: line, Message: fmt.Sprintf(format, args...)})
}

// Section is a reader over one INI section that notes which keys it knows, so
// that Done can report the unknown ones.
type Section struct {
	file  *File
	name  string
	sec   *ini.Section
	known map[string]bool
}

// Section returns a reader for the named section; a missing one reads as empty.
func (f *File) Section(name string) *Section {
	sec, err := f.INI.GetSection(name)
	if err != nil {
		sec = nil
	}
	return &Section{file: f, name: name, sec: sec, known: map[string]bool{}}
}

// Present tells whether the section stands in the file.
func (s *Section) Present() bool { return s.sec != nil }

func (s *Section) raw(key string) (string, bool) {
	s.known[key] = true
	if s.sec == nil || !s.sec.HasKey(key) {
		return "", false
	}
	return strings.TrimSpace(s.sec.Key(key).String()), true
}

// Fault reports a fault at a key of this section.
func (s *Section) Fault(key, format string, args ...any) { s.file.Add(s.name, key, format, args...) }

// String reads a text key; missing gives def.
func (s *Section) String(key, def string) string {
	if v, ok := s.raw(key); ok {
		return v
	}
	return def
}

// Required reads a text key that must be present and not empty.
func (s *Section) Required(key string) string {
	v, ok := s.raw(key)
	if !ok || v == "" {
		s.Fault(key, "is required")
	}
	return v
}

// Strings reads a comma-separated key; empty items are dropped.
func (s *Section) Strings(key string) []string {
	v, _ := s.raw(key)
	var out []string
	for _, item := range strings.Split(v, ",") {
		if item = strings.TrimSpace(item); item != "" {
			out = append(out, item)
		}
	}
	return out
}

// Int reads a whole number within [low, high].
func (s *Section) Int(key string, def, low, high int) int {
	v, ok := s.raw(key)
	if !ok {
		return def
	}
	n, err := s.sec.Key(key).Int()
	if err != nil || n < low || n > high {
		s.Fault(key, "%q is not a whole number from %d to %d", v, low, high)
		return def
	}
	return n
}

// Float reads a number within [low, high].
func (s *Section) Float(key string, def, low, high float64) float64 {
	v, ok := s.raw(key)
	if !ok {
		return def
	}
	n, err := s.sec.Key(key).Float64()
	if err != nil || n < low || n > high {
		s.Fault(key, "%q is not a number from %g to %g", v, low, high)
		return def
	}
	return n
}

// Duration reads a time with its unit (for example 1500ms) within [low, high].
func (s *Section) Duration(key string, def, low, high time.Duration) time.Duration {
	v, ok := s.raw(key)
	if !ok {
		return def
	}
	d, err := time.ParseDuration(v)
	if err != nil || d < low || d > high {
		s.Fault(key, "%q is not a duration from %s to %s", v, low, high)
		return def
	}
	return d
}

// Bool reads true or false.
func (s *Section) Bool(key string, def bool) bool {
	v, ok := s.raw(key)
	if !ok {
		return def
	}
	b, err := s.sec.Key(key).Bool()
	if err != nil {
		s.Fault(key, "%q is neither true nor false", v)
		return def
	}
	return b
}

// OneOf reads a key that must be one of the choices.
func (s *Section) OneOf(key, def string, choices ...string) string {
	v, ok := s.raw(key)
	if !ok {
		return def
	}
	for _, c := range choices {
		if v == c {
			return v
		}
	}
	s.Fault(key, "%q is none of %s", v, strings.Join(choices, ", "))
	return def
}

// Done reports each key of the section that no reader asked for.
func (s *Section) Done() {
	if s.sec == nil {
		return
	}
	for _, key := range s.sec.KeyStrings() {
		if !s.known[key] {
			s.Fault(key, "unknown key")
		}
	}
}

// HasSection tells whether INI text has a section of that name.
func HasSection(data []byte, name string) bool {
	_, ok := lineIndex(data)[place{name, ""}]
	return ok
}
