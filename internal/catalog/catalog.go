// Package catalog defines the configuration that operators edit: model templates,
// workspaces that use them, and plain services. It parses and renders the INI form,
// reports all findings at once, and derives the pools of replicas to run.
package catalog

import (
	"fmt"
	"maps"
	"slices"
)

// Template describes a model deployment that workspaces can share.
type Template struct {
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	VMs      int      `json:"vms"`       // VMs that together run one replica
	Replicas int      `json:"replicas"`  // number of replicas to run
	Places   []string `json:"places"`    // where replicas may run
	WeightMB int      `json:"weight_mb"` // size of the model's weights
	Priority int      `json:"priority"`  // 0..9, higher is repaired first
	// ModRevision is the revision that last modified this entry.
	ModRevision uint64 `json:"changed"`
}

// Class is the priority class of a workspace's requests under load.
type Class string

// Values of Class, most urgent first.
const (
	ClassUrgent  Class = "urgent"
	ClassNormal  Class = "normal"
	ClassPatient Class = "patient"
)

// Classes lists the classes, most urgent first.
var Classes = []Class{ClassUrgent, ClassNormal, ClassPatient}

// ModelUse configures one model of a workspace.
type ModelUse struct {
	Template string `json:"template"`
	Adapter  string `json:"adapter,omitempty"` // named to the engine with each request
	// Version overrides the template's version. The model then uses the pool of that
	// version, which workspaces with the same override share.
	Version  string `json:"version,omitempty"`
	Replicas int    `json:"replicas,omitempty"` // minimum number of replicas of that pool; 0: one
}

// Workspace is the configuration of one customer.
type Workspace struct {
	TokenSHA256   string              `json:"token_sha256"` // hex digest of the bearer token
	Places        []string            `json:"places"`       // where its data may be processed
	Class         Class               `json:"class"`
	MaxConcurrent int                 `json:"max_concurrent"`     // in-flight requests over all daemons
	RatePerSecond float64             `json:"rate_per_second"`    // requests over all daemons; 0: no limit
	Services      []string            `json:"services,omitempty"` // plain services that it may call
	Models        map[string]ModelUse `json:"models"`             // by the model name that its requests use
	ModRevision   uint64              `json:"changed"`            // revision that last modified this entry
}

// Instance is one address of a plain service.
type Instance struct {
	Place   string `json:"place"`
	Address string `json:"address"`
}

// Service is a service without a model that requests are also routed to.
type Service struct {
	Instances []Instance `json:"instances"`
	// AtMostOnceMethods lists the HTTP methods whose calls must not be retried.
	AtMostOnceMethods []string `json:"once_methods,omitempty"`
	ModRevision       uint64   `json:"changed"` // revision that last modified this entry
}

// Doc is the whole configuration at one revision, each map keyed by name.
type Doc struct {
	Templates  map[string]Template  `json:"templates"`
	Workspaces map[string]Workspace `json:"workspaces"`
	Services   map[string]Service   `json:"services"`
}

// NewDoc returns an empty configuration.
func NewDoc() Doc {
	return Doc{Templates: map[string]Template{}, Workspaces: map[string]Workspace{}, Services: map[string]Service{}}
}

// Clone returns a copy in which entries can be replaced. The slices and maps inside the
// entries are shared and must not be modified in place.
func (d Doc) Clone() Doc {
	out := NewDoc()
	maps.Copy(out.Templates, d.Templates)
	maps.Copy(out.Workspaces, d.Workspaces)
	maps.Copy(out.Services, d.Services)
	return out
}

// Pool is a set of identical replicas: one template at one version.
type Pool struct {
	Name     string
	Model    string
	Version  string
	VMs      int
	Replicas int
	Places   []string
	WeightMB int
	Priority int
}

// PoolName returns the name of the pool of a template at a version.
func PoolName(template, version string) string { return fmt.Sprintf("%s@%s", template, version) }

// Pools returns the pools to run, by descending priority and then by name.
func (d Doc) Pools() []Pool {
	pools := map[string]Pool{}
	for name, t := range d.Templates {
		p := Pool{Name: PoolName(name, t.Version), Model: t.Model, Version: t.Version, VMs: t.VMs,
			Replicas: t.Replicas, Places: t.Places, WeightMB: t.WeightMB, Priority: t.Priority}
		pools[p.Name] = p
	}
	for _, ws := range d.Workspaces {
		for _, use := range ws.Models {
			t, ok := d.Templates[use.Template]
			if !ok || use.Version == "" || use.Version == t.Version {
				continue
			}
			name := PoolName(use.Template, use.Version)
			p := Pool{Name: name, Model: t.Model, Version: use.Version, VMs: t.VMs,
				Places: t.Places, WeightMB: t.WeightMB, Priority: t.Priority}
			p.Replicas = max(pools[name].Replicas, use.Replicas, 1)
			pools[name] = p
		}
	}
	out := slices.Collect(maps.Values(pools))
	slices.SortFunc(out, func(a, b Pool) int {
		if a.Priority != b.Priority {
			return b.Priority - a.Priority
		}
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return out
}

// PoolFor returns the name of the pool that serves a workspace's model; false if the
// workspace has no such model.
func (d Doc) PoolFor(ws Workspace, model string) (pool string, use ModelUse, ok bool) {
	use, ok = ws.Models[model]
	if !ok {
		return "", use, false
	}
	version := use.Version
	if version == "" {
		version = d.Templates[use.Template].Version
	}
	return PoolName(use.Template, version), use, true
}
