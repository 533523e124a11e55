package quarantine

import (
	"slices"

	"go.uber.org/zap/zapcore"
)

// view is what a log line tells of a content.
type view struct {
	workspace string
	instances []string
	state
}

func (e *Evidence) view(d Digest) view {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.records[d]
	if r == nil {
		return view{}
	}
	v := view{workspace: r.workspace, state: r.state}
	for _, end := range r.ends {
		v.instances = append(v.instances, end.Life.Instance)
	}
	slices.Sort(v.instances)
	return v
}

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (v view) MarshalLogObject(enc zapcore.ObjectEncoder) error {
	enc.AddString("workspace", v.workspace)
	enc.AddUint64("refused", v.Refused)
	return enc.AddArray("instances", zapcore.ArrayMarshalerFunc(func(a zapcore.ArrayEncoder) error {
		for _, id := range v.instances {
			a.AppendString(id)
		}
		return nil
	}))
}
