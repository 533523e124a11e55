// Package findings collects what is wrong with a set of settings, templates and
// workspaces, each with the place where it stands, so that a reader sees
// everything at once instead of one fault a run.
package findings

import (
	"fmt"
	"sort"
	"strings"
)

// Finding is one fault at one place. Line is 1-based; 0 means the whole file.
type Finding struct {
	File    string `json:"file"`
	Section string `json:"section,omitempty"`
	Key     string `json:"key,omitempty"`
	Line    int    `json:"line,omitempty"`
	Message string `json:"message"`
}

// String renders the finding as file:line: [section] key: message.
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
	items []Finding
}

// Add appends one finding.
func (l *List) Add(f Finding) { l.items = append(l.items, f) }

// Merge appends every finding of other.
func (l *List) Merge(other *List) { l.items = append(l.items, other.items...) }

// Empty tells whether nothing was found.
func (l *List) Empty() bool { return len(l.items) == 0 }

// Items returns the findings ordered by file and line.
func (l *List) Items() []Finding {
	out := append([]Finding(nil), l.items...)
	sort.SliceStable(out, func(i, j int) bool {
		if out[i].File != out[j].File {
			return out[i].File < out[j].File
		}
		return out[i].Line < out[j].Line
	})
	return out
}

// Err returns nil for an empty list, otherwise an *Error holding all findings.
func (l *List) Err() error {
	if l.Empty() {
		return nil
	}
	return &Error{Findings: l.Items()}
}

// Error reports a non-empty list of findings; its text has a line for each.
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
