package quarantine

import (
	"slices"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// logFields names a trait in a log line: a content by its digest, a part also by its id and model.
func (e *Evidence) logFields(d Digest) []zap.Field {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.records[d]
	if r == nil || r.Part == "" {
		return []zap.Field{zap.String("content", d.Short())}
	}
	return []zap.Field{zap.String("part", d.Short()), zap.String("part_id", r.Part), zap.String("model", r.Model)}
}

// evidenceSummary is what log lines show of a trait: the instances that crashed while requests with it were
// in progress there, the traits without which requests are not refused, whether it ran well before, and how
// often it was quarantined.
type evidenceSummary struct {
	workspace  string
	instances  []string
	companions []string
	ranWell    bool
	counters
}

// summary returns the summary of a trait; it is zero if the trait has no record.
func (e *Evidence) summary(d Digest) evidenceSummary {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.records[d]
	if r == nil {
		return evidenceSummary{}
	}
	s := evidenceSummary{workspace: r.workspace, ranWell: !r.lastSuccess.IsZero(), counters: r.counters}
	for _, crash := range r.crashes {
		s.instances = append(s.instances, crash.Incarnation.Instance)
	}
	slices.Sort(s.instances)
	for _, companion := range r.companions {
		s.companions = append(s.companions, companion.Short())
	}
	return s
}

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (s evidenceSummary) MarshalLogObject(enc zapcore.ObjectEncoder) error {
	enc.AddString("workspace", s.workspace)
	enc.AddUint64("refused", s.Quarantines)
	enc.AddBool("ran_well", s.ranWell)
	if err := enc.AddArray("with", stringArray(s.companions)); err != nil {
		return err
	}
	return enc.AddArray("instances", stringArray(s.instances))
}

// stringArray is a list of strings in a log line.
type stringArray []string

// MarshalLogArray implements zapcore.ArrayMarshaler.
func (s stringArray) MarshalLogArray(enc zapcore.ArrayEncoder) error {
	for _, text := range s {
		enc.AppendString(text)
	}
	return nil
}
