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
	Source  string // last word before the JSON; if there is none, the name of the file
	Time    time.Time
	Message string
	Fields  map[string]any // without ts, msg, level, stacktrace and errorVerbose
}

// String formats the line as text for a reader.
func (l Line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s: %s", l.Time.Format("15:04:05.000"), l.Source, l.Message)
	for _, key := range sortedKeys(l.Fields) {
		value, err := json.Marshal(l.Fields[key])
		if err != nil {
			continue // cannot happen: the value was decoded from JSON
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

// maxLine is the size in bytes at which a line of a log file is too long to be read.
const maxLine = 1 << 20

// ReadLines parses a log file. A line's source is the last word before its JSON, or name if there
// is none. Lines without valid JSON or with an invalid time are skipped. It fails with the
// errors of r, and with bufio.ErrTooLong at a line that reaches maxLine.
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

// parse parses one line and reports whether it is a log line.
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
	l.Message, _ = l.Fields["msg"].(string)
	for _, key := range []string{"ts", "msg", "level", "stacktrace", "errorVerbose"} {
		delete(l.Fields, key)
	}
	return l, true
}

// contextWindow is how long before a request's first line a trace includes lines about the state
// of daemons, groups and instances.
const contextWindow = 10 * time.Second

// stateMessages are the messages of lines that report a change of a daemon's known state.
var stateMessages = map[string]bool{
	"configuration in force": true, "store not reached": true, "store reached again": true, "instances not followed": true,
	"lease taken": true, "lease lost": true, "lease not renewed in time": true, "lease released": true, "stopping": true, "started": true,
	"settings reloaded": true, "machine was suspended": true,
	"store does not answer": true, "store answers again": true, "relay lost": true, "relay used": true, "relay out of touch": true,
}

// Trace returns, in order of time, the lines that explain one request: its own lines and, from
// contextWindow before the first of them until the last, the state changes of the daemons that
// logged them and every daemon's lines about the groups and instances that it was sent to. If its
// own lines name a content, or the part of a prompt because of which it was refused, the lines of all daemons about
// these are added whatever their time, as they may have been quarantined long before. It returns nil if no
// line has the request's id.
func Trace(lines []Line, id string) []Line {
	var ownLines []Line
	for _, l := range lines {
		if l.Fields["id"] == id {
			ownLines = append(ownLines, l)
		}
	}
	if len(ownLines) == 0 {
		return nil
	}
	sources, names, traits := map[string]bool{}, map[string]bool{}, map[string]bool{}
	var first, last time.Time
	for _, l := range ownLines {
		sources[l.Source] = true
		collectNames(l, names)
		for _, key := range []string{"content", "quarantined"} {
			if trait, ok := l.Fields[key].(string); ok {
				traits[trait] = true
			}
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
		inWindow := !l.Time.Before(first.Add(-contextWindow)) && !l.Time.After(last)
		switch {
		case l.Fields["id"] == id:
			out = append(out, l)
		case mentionsTrait(l, traits):
			out = append(out, l)
		case inWindow && sources[l.Source] && stateMessages[l.Message], inWindow && l.Message != "request" && mentionsName(l, names):
			out = append(out, l)
		}
	}
	slices.SortStableFunc(out, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return out
}

// collectNames adds to names the instances and groups that the sends of a request line went to.
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

// mentionsTrait reports whether a line names one of the contents or parts of prompts.
func mentionsTrait(l Line, traits map[string]bool) bool {
	for _, key := range []string{"content", "part"} {
		if trait, ok := l.Fields[key].(string); ok && traits[trait] {
			return true
		}
	}
	for _, key := range []string{"contents", "parts"} {
		listed, _ := l.Fields[key].([]any)
		for _, v := range listed {
			text, _ := v.(string) // one content, or all parts of a prompt
			if slices.ContainsFunc(strings.Split(text, ","), func(trait string) bool { return traits[trait] }) {
				return true
			}
		}
	}
	return false
}

// mentionsName reports whether a line is about one of the named instances or groups.
func mentionsName(l Line, names map[string]bool) bool {
	for _, key := range []string{"instance", "group"} {
		if name, ok := l.Fields[key].(string); ok && names[name] {
			return true
		}
	}
	return false
}
