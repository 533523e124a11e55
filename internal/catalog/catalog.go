// Package catalog holds what operators configure: templates, workspaces made
// from them, and plain services. It parses their INI form, checks it with all
// findings at once, and derives the pools of replicas to run.
package catalog

import (
	"fmt"
	"maps"
	"slices"
)

// Template is a shared description of a model deployment.
type Template struct {
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	VMs      int      `json:"vms"`      // VMs that together run one replica
	Replicas int      `json:"replicas"` // replicas wanted
	Places   []string `json:"places"`   // where replicas may stand
	WeightMB int      `json:"weight_mb"`
	Priority int      `json:"priority"` // 0..9, higher is repaired first
	// Changed is the revision that last changed this entry.
	Changed uint64 `json:"changed"`
}

// Class orders requests under load.
type Class string

// Priority classes of workspaces, most urgent first.
const (
	ClassUrgent  Class = "urgent"
	ClassNormal  Class = "normal"
	ClassPatient Class = "patient"
)

// Classes lists the classes, most urgent first.
var Classes = []Class{ClassUrgent, ClassNormal, ClassPatient}

// ModelUse is one model as a workspace sees it.
type ModelUse struct {
	Template string `json:"template"`
	Adapter  string `json:"adapter,omitempty"`
	// Version overrides the template's; the workspace then has its own pool.
	Version  string `json:"version,omitempty"`
	Replicas int    `json:"replicas,omitempty"` // of the own pool
}

// Workspace is one tenant.
type Workspace struct {
	TokenSHA256   string              `json:"token_sha256"` // hex digest of the bearer token
	Places        []string            `json:"places"`       // where its data may go
	Class         Class               `json:"class"`
	MaxConcurrent int                 `json:"max_concurrent"` // over all daemons
	RatePerSecond float64             `json:"rate_per_second"`
	Services      []string            `json:"services,omitempty"`
	Models        map[string]ModelUse `json:"models"`
	Changed       uint64              `json:"changed"`
}

// Instance is one address of a plain service.
type Instance struct {
	Place   string `json:"place"`
	Address string `json:"address"`
}

// Service is a plain service that is routed to as well.
type Service struct {
	Instances []Instance `json:"instances"`
	// OnceMethods are the HTTP methods whose calls may not be repeated.
	OnceMethods []string `json:"once_methods,omitempty"`
	Changed     uint64   `json:"changed"`
}

// Doc is the whole configuration under one revision.
type Doc struct {
	Templates  map[string]Template  `json:"templates"`
	Workspaces map[string]Workspace `json:"workspaces"`
	Services   map[string]Service   `json:"services"`
}

// NewDoc returns an empty configuration.
func NewDoc() Doc {
	return Doc{Templates: map[string]Template{}, Workspaces: map[string]Workspace{}, Services: map[string]Service{}}
}

// Clone copies the maps so that entries can be replaced; entries are values
// that are never changed in place.
func (d Doc) Clone() Doc {
	out := NewDoc()
	maps.Copy(out.Templates, d.Templates)
	maps.Copy(out.Workspaces, d.Workspaces)
	maps.Copy(out.Services, d.Services)
	return out
}

// Pool is a set of equal replicas: one template at one version.
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

// PoolName is the pool that serves a workspace's use of a template.
func PoolName(template, version string) string { return fmt.Sprintf("%s@%s", template, version) }

// Pools derives the pools to run, most important first, then by name.
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

// PoolFor resolves a workspace's model name to its pool; false when the
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
