package formation

import (
	"go.uber.org/zap/zapcore"

	"pearlanding/internal/fleet"
	"pearlanding/internal/routes"
)

// summary counts the instances and groups that a planner sees. It is comparable, so that only
// changes are logged.
type summary struct {
	service   string
	instances int
	draining  int
	free      int
	staging   int
	headless  int // members of groups whose head is unknown
	models    [4]modelSummary
}

// modelSummary counts a model's groups.
type modelSummary struct {
	model      string
	serving    int
	forming    int
	notServing int // head known, but neither serving nor forming
}

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (s summary) MarshalLogObject(enc zapcore.ObjectEncoder) error {
	enc.AddString("service", s.service)
	enc.AddInt("instances", s.instances)
	enc.AddInt("draining", s.draining)
	enc.AddInt("free", s.free)
	enc.AddInt("staging", s.staging)
	enc.AddInt("headless", s.headless)
	for _, m := range s.models {
		if m.model != "" {
			enc.AddInt("serving_"+m.model, m.serving)
			enc.AddInt("forming_"+m.model, m.forming)
			enc.AddInt("standing_"+m.model, m.notServing)
		}
	}
	return nil
}

// summarize returns the summary of a view. It counts the groups of the first len(summary.models)
// models only.
func (p *Planner) summarize(v *fleet.View, engine *routes.Engine) summary {
	s := summary{service: p.Service, staging: len(p.staging)}
	for _, in := range p.instances(v) {
		s.instances++
		switch {
		case in.Draining:
			s.draining++
		case in.Group.Name == "":
			s.free++
		case v.Groups[in.Group.Key()].Head == nil:
			s.headless++
		}
	}
	for i := range engine.Models[:min(len(engine.Models), len(s.models))] {
		m := &s.models[i]
		m.model = engine.Models[i].Name
		for _, f := range p.forming {
			if f.model.Name == m.model {
				m.forming++
			}
		}
		for key, g := range v.Groups {
			switch {
			case g.Model != m.model || g.Service != p.Service || p.forming[key] != nil:
			case g.Serving():
				m.serving++
			case g.Head != nil:
				m.notServing++
			}
		}
	}
	return s
}
