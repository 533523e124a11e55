// Package findings collects the errors in settings and configuration files, each with its
// location, so that a user sees all of them at once instead of one per run. It also parses and
// checks the INI files in which they occur.
package findings

import (
	"fmt"
	"sort"
	"strings"
)

// Finding is one error at one location. Line is 1-based; 0 means the whole file.
type Finding struct {
	File    string `json:"file"`
	Section string `json:"section,omitempty"`
	Key     string `json:"key,omitempty"`
	Line    int    `json:"line,omitempty"`
	Message string `json:"message"`
}

// String formats the finding as file:line: [section] key: message.
func (f Finding) String() string {
	var b strings.Builder
	b.WriteString(f.File)
	if f.Line > 0 {
		fmt.Fprintf(&b, ":%d", f.Line)
	}
	b.WriteString(":")
	if f.Section != "" {
		fmt.Fprintf(&b, " [%s]", f.Section)
	}
	if f.Key != "" {
		fmt.Fprintf(&b, " %s:", f.Key)
	}
	return b.String() + " " + f.Message
}

// List is a collection of findings; the zero value is empty and usable.
type List struct {
	findings []Finding
}

// Add appends a finding.
func (l *List) Add(f Finding) { l.findings = append(l.findings, f) }

// Merge appends all findings of other.
func (l *List) Merge(other *List) { l.findings = append(l.findings, other.findings...) }

// Empty reports whether the list has no findings.
func (l *List) Empty() bool { return len(l.findings) == 0 }

// Items returns the findings sorted by file and line; those of one line keep the order in
// which they were added.
func (l *List) Items() []Finding {
	out := append([]Finding(nil), l.findings...)
	sort.SliceStable(out, func(i, j int) bool {
		if out[i].File != out[j].File {
			return out[i].File < out[j].File
		}
		return out[i].Line < out[j].Line
	})
	return out
}

// Err returns nil for an empty list, otherwise an *Error with all findings.
func (l *List) Err() error {
	if l.Empty() {
		return nil
	}
	return &Error{Findings: l.Items()}
}

// Error is the error for a non-empty list of findings; its text has a line for each.
type Error struct {
	Findings []Finding
}

// Error implements error.
func (e *Error) Error() string {
	lines := make([]string, len(e.Findings))
	for i, f := range e.Findings {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}
