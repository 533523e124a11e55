package decisionlog

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// Line is one parsed log line.
type Line struct {
	Source string // what stood before the JSON, or the file's name
	Time   time.Time
	Text   string // of the message
	Fields map[string]any
}

// String renders the line for a reader.
func (l Line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s: %s", l.Time.Format("15:04:05.000"), l.Source, l.Text)
	for _, key := range sortedKeys(l.Fields) {
		value, err := json.Marshal(l.Fields[key])
		if err != nil {
			continue // it came from JSON
		}
		fmt.Fprintf(&b, " %s=%s", key, value)
	}
	return b.String()
}

func sortedKeys(m map[string]any) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// maxLine bounds one line of a log file.
const maxLine = 1 << 20

// ReadLines parses a log file. Lines may have other text before the JSON, which
// becomes their source; those without JSON are passed over.
func ReadLines(name string, r io.Reader) ([]Line, error) {
	var out []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		if l, ok := parse(name, scanner.Text()); ok {
			out = append(out, l)
		}
	}
	return out, scanner.Err()
}

func parse(name, text string) (Line, bool) {
	before, _, found := strings.Cut(text, "{")
	if !found {
		return Line{}, false
	}
	l := Line{Source: name}
	if err := json.Unmarshal([]byte(text[len(before):]), &l.Fields); err != nil {
		return Line{}, false
	}
	if words := strings.Fields(before); len(words) > 0 {
		l.Source = words[len(words)-1]
	}
	if ts, ok := l.Fields["ts"].(string); ok {
		var err error
		if l.Time, err = time.Parse(time.RFC3339Nano, ts); err != nil {
			return Line{}, false
		}
	}
	l.Text, _ = l.Fields["msg"].(string)
	for _, key := range []string{"ts", "msg", "level", "stacktrace", "errorVerbose"} {
		delete(l.Fields, key)
	}
	return l, true
}

// storyWindow is how long before a request's end beliefs are told.
const storyWindow = 10 * time.Second

// beliefs are the messages that tell what a daemon believes from then on.
var beliefs = map[string]bool{
	"configuration in force": true, "store not reached": true, "store reached again": true, "instances not followed": true,
	"lease taken": true, "lease lost": true, "lease not renewed in time": true, "lease released": true, "stopping": true, "started": true,
	"settings reloaded": true, "machine was suspended": true,
	"store does not answer": true, "store answers again": true, "relay lost": true, "relay used": true, "relay out of touch": true,
}

// Story tells one request in order: its own lines, and, of the daemons that
// logged them, what they believed then and what happened to the groups and
// instances that it was sent to. Of a request that ended instances, or shared one
// with such, it tells what became of requests of the same content at all daemons.
func Story(lines []Line, id string) []Line {
	var own []Line
	for _, l := range lines {
		if l.Fields["id"] == id {
			own = append(own, l)
		}
	}
	if len(own) == 0 {
		return nil
	}
	sources, names, contents := map[string]bool{}, map[string]bool{}, map[string]bool{}
	var first, last time.Time
	for _, l := range own {
		sources[l.Source] = true
		collectNames(l, names)
		if content, ok := l.Fields["content"].(string); ok {
			contents[content] = true
		}
		if first.IsZero() || l.Time.Before(first) {
			first = l.Time
		}
		if l.Time.After(last) {
			last = l.Time
		}
	}
	var out []Line
	for _, l := range lines {
		near := !l.Time.Before(first.Add(-storyWindow)) && !l.Time.After(last)
		switch {
		case l.Fields["id"] == id:
			out = append(out, l)
		case tellsOf(l, contents):
			out = append(out, l)
		case near && sources[l.Source] && beliefs[l.Text], near && l.Text != "request" && mentions(l, names):
			out = append(out, l)
		}
	}
	slices.SortStableFunc(out, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return out
}

// collectNames notes the instances and groups that a request was sent to.
func collectNames(l Line, names map[string]bool) {
	sends, _ := l.Fields["sends"].([]any)
	for _, s := range sends {
		send, _ := s.(map[string]any)
		for _, key := range []string{"instance", "group"} {
			if name, ok := send[key].(string); ok && name != "" {
				names[name] = true
			}
		}
	}
}

// tellsOf tells whether a line is about one of some contents.
func tellsOf(l Line, contents map[string]bool) bool {
	if content, ok := l.Fields["content"].(string); ok && contents[content] {
		return true
	}
	several, _ := l.Fields["contents"].([]any)
	return slices.ContainsFunc(several, func(v any) bool {
		content, ok := v.(string)
		return ok && contents[content]
	})
}

func mentions(l Line, names map[string]bool) bool {
	for _, key := range []string{"instance", "group"} {
		if name, ok := l.Fields[key].(string); ok && names[name] {
			return true
		}
	}
	return false
}
