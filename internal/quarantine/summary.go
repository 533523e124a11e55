package quarantine

import (
	"slices"

	"go.uber.org/zap/zapcore"
)

// contentSummary is what log lines show of a content: the instances that crashed while it was
// in progress there, and how often it was quarantined.
type contentSummary struct {
	workspace string
	instances []string
	counters
}

// summary returns the summary of a content; it is zero if the content has no record.
func (e *Evidence) summary(d Digest) contentSummary {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.records[d]
	if r == nil {
		return contentSummary{}
	}
	s := contentSummary{workspace: r.workspace, counters: r.counters}
	for _, crash := range r.crashes {
		s.instances = append(s.instances, crash.Incarnation.Instance)
	}
	slices.Sort(s.instances)
	return s
}

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (s contentSummary) MarshalLogObject(enc zapcore.ObjectEncoder) error {
	enc.AddString("workspace", s.workspace)
	enc.AddUint64("refused", s.Quarantines)
	return enc.AddArray("instances", zapcore.ArrayMarshalerFunc(func(a zapcore.ArrayEncoder) error {
		for _, id := range s.instances {
			a.AppendString(id)
		}
		return nil
	}))
}
