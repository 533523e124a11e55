package findings

import (
	"bufio"
	"bytes"
	"fmt"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// File is a parsed INI file whose checks add their findings to List.
type File struct {
	Name  string
	INI   *ini.File
	lines map[location]int // first line of each section and key
	List  *List
}

// location is a key of a section, or the section's header if key is empty.
type location struct{ section, key string }

// Parse parses data as INI and adds a finding for each duplicate section or key. It returns nil
// after adding a finding if the text cannot be parsed at all.
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

// lineIndex returns the first line of every section header and key.
func lineIndex(data []byte) map[location]int {
	index := map[location]int{}
	eachKey(data, func(at location, line int) {
		if _, seen := index[at]; !seen {
			index[at] = line
		}
	})
	return index
}

// eachKey calls visit with the location and line of each section header and each key.
func eachKey(data []byte, visit func(location, int)) {
	section := ""
	scanner := bufio.NewScanner(bytes.NewReader(data))
	for line := 1; scanner.Scan(); line++ {
		text := strings.TrimSpace(scanner.Text())
		switch {
		case text == "" || text[0] == '#' || text[0] == ';':
		case text[0] == '[' && strings.HasSuffix(text, "]"):
			section = strings.TrimSpace(text[1 : len(text)-1])
			visit(location{section, ""}, line)
		default:
			if key, _, ok := strings.Cut(text, "="); ok {
				visit(location{section, strings.TrimSpace(key)}, line)
			}
		}
	}
}

// reportDuplicates adds a finding for each duplicate section or key; the INI library would
// silently keep the last one.
func (f *File) reportDuplicates(data []byte) {
	first := map[location]int{}
	eachKey(data, func(at location, line int) {
		if firstLine, seen := first[at]; seen {
			f.List.Add(Finding{File: f.Name, Section: at.section, Key: at.key, Line: line,
				Message: fmt.Sprintf("stands twice, first in line %d", firstLine)})
			return
		}
		first[at] = line
	})
}

// Addf adds a finding at a key of a section, or at the section header if the key is missing.
func (f *File) Addf(section, key, format string, args ...any) {
	line := f.lines[location{section, key}]
	if line == 0 {
		line = f.lines[location{section, ""}]
	}
	f.List.Add(Finding{File: f.Name, Section: section, Key: key, Line: line, Message: fmt.Sprintf(format, args...)})
}

// Section reads the keys of one INI section. It keeps track of the keys that were read, so that
// the others can be reported as unknown.
type Section struct {
	file      *File
	name      string
	ini       *ini.Section
	knownKeys map[string]bool
}

// Section returns the named section; a missing one reads as empty.
func (f *File) Section(name string) *Section {
	sec, err := f.INI.GetSection(name)
	if err != nil {
		sec = nil
	}
	return &Section{file: f, name: name, ini: sec, knownKeys: map[string]bool{}}
}

// Present reports whether the file has the section.
func (s *Section) Present() bool { return s.ini != nil }

// lookup returns the trimmed value of a key and whether it is set, and marks the key as known.
func (s *Section) lookup(key string) (string, bool) {
	s.knownKeys[key] = true
	if s.ini == nil || !s.ini.HasKey(key) {
		return "", false
	}
	return strings.TrimSpace(s.ini.Key(key).String()), true
}

// Addf adds a finding at a key of this section.
func (s *Section) Addf(key, format string, args ...any) { s.file.Addf(s.name, key, format, args...) }

// String reads a text key; it returns def if the key is missing.
func (s *Section) String(key, def string) string {
	if value, ok := s.lookup(key); ok {
		return value
	}
	return def
}

// Required reads a text key; a missing or empty one is a finding.
func (s *Section) Required(key string) string {
	value, ok := s.lookup(key)
	if !ok || value == "" {
		s.Addf(key, "is required")
	}
	return value
}

// Strings reads a comma-separated list; empty items are dropped.
func (s *Section) Strings(key string) []string {
	value, _ := s.lookup(key)
	var out []string
	for _, item := range strings.Split(value, ",") {
		if item = strings.TrimSpace(item); item != "" {
			out = append(out, item)
		}
	}
	return out
}

// Int reads a whole number within [low, high]. It returns def if the key is missing, and
// adds a finding and returns def if the value is invalid.
func (s *Section) Int(key string, def, low, high int) int {
	value, ok := s.lookup(key)
	if !ok {
		return def
	}
	n, err := s.ini.Key(key).Int()
	if err != nil || n < low || n > high {
		s.Addf(key, "%q is not a whole number from %d to %d", value, low, high)
		return def
	}
	return n
}

// Float reads a number within [low, high]. A missing or invalid value is treated as by Int.
func (s *Section) Float(key string, def, low, high float64) float64 {
	value, ok := s.lookup(key)
	if !ok {
		return def
	}
	n, err := s.ini.Key(key).Float64()
	if err != nil || n < low || n > high {
		s.Addf(key, "%q is not a number from %g to %g", value, low, high)
		return def
	}
	return n
}

// Duration reads a duration with a unit (for example 1500ms) within [low, high]. A missing or
// invalid value is treated as by Int.
func (s *Section) Duration(key string, def, low, high time.Duration) time.Duration {
	value, ok := s.lookup(key)
	if !ok {
		return def
	}
	d, err := time.ParseDuration(value)
	if err != nil || d < low || d > high {
		s.Addf(key, "%q is not a duration from %s to %s", value, low, high)
		return def
	}
	return d
}

// Bool reads a boolean. A missing or invalid value is treated as by Int.
func (s *Section) Bool(key string, def bool) bool {
	value, ok := s.lookup(key)
	if !ok {
		return def
	}
	b, err := s.ini.Key(key).Bool()
	if err != nil {
		s.Addf(key, "%q is neither true nor false", value)
		return def
	}
	return b
}

// OneOf reads a value that must be one of the choices. A missing or invalid value is treated as
// by Int.
func (s *Section) OneOf(key, def string, choices ...string) string {
	value, ok := s.lookup(key)
	if !ok {
		return def
	}
	for _, c := range choices {
		if value == c {
			return value
		}
	}
	s.Addf(key, "%q is none of %s", value, strings.Join(choices, ", "))
	return def
}

// ReportUnknownKeys adds a finding for each key of the section that was not read.
func (s *Section) ReportUnknownKeys() {
	if s.ini == nil {
		return
	}
	for _, key := range s.ini.KeyStrings() {
		if !s.knownKeys[key] {
			s.Addf(key, "unknown key")
		}
	}
}

// HasSection reports whether INI text has a section of that name.
func HasSection(data []byte, name string) bool {
	_, ok := lineIndex(data)[location{name, ""}]
	return ok
}
