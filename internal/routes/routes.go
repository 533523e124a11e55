// Package routes holds the configuration of a daemon that serves opaque requests
// by host and path: routes, the services behind them, workspaces with their keys,
// and what model replicas of a service cost. A Table is the compiled, immutable
// form that requests are matched against.
package routes

import (
	"cmp"
	"hash/fnv"
	"slices"
	"strings"
	"time"
)

// Kind says how often a request of a route may run and how it is answered.
type Kind string

// Kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// AtMostOnce requests run once at most for each attempt of the caller.
	AtMostOnce Kind = "at_most_once"
	// Stream requests are answered by a series of events. They run at most once
	// unless the route is resumable.
	Stream Kind = "stream"
)

// Share is a service's part of a route's requests.
type Share struct {
	Service string
	Weight  int
}

// Route says what happens to the requests of one host and path prefix.
type Route struct {
	Name      string
	Host      string
	Prefix    string // begins and ends with a slash
	Kind      Kind
	Timeout   time.Duration // longest a request is held; 0: no bound
	Objective time.Duration // until the answer, or a stream's first event
	Gap       time.Duration // longest pause between events; 0: no objective
	Priority  int           // 0 is the most urgent
	Split     []Share
	Attempts  int  // most instances one request is sent to
	Public    bool // needs no key
	Resumable bool // a cut stream may go on at another replica
}

// Repeatable tells whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Service picks the service for a request by its id, so that the same id always
// goes to the same service.
func (r *Route) Service(id string) string {
	if len(r.Split) == 1 {
		return r.Split[0].Service
	}
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	if total <= 0 {
		return ""
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	n := int(h.Sum32() % uint32(total))
	for _, s := range r.Split {
		if n -= s.Weight; n < 0 {
			return s.Service
		}
	}
	return ""
}

// Model is one model that replicas of a service can hold.
type Model struct {
	Name  string
	Size  int           // instances of one replica
	Share float64       // part of the service's work at the start
	Pace  float64       // factor on all times of the engine
	Load  time.Duration // from the weight store
	Warm  time.Duration // from the host
}

// Engine is how the instances of a model service work.
type Engine struct {
	Slots          int
	Models         []Model
	LoadsPerSecond float64
	LoadsAtOnce    int
	Step           time.Duration // one token of every request in progress
	PerRequest     time.Duration // added to a step for each request in progress
	ReadPerSecond  float64       // prompt tokens
	Chunk          int           // prompt tokens of one step, at most
	Stride         int           // steps of one pass
	UsualPrompt    int           // mean tokens of a prompt
	UsualAnswer    int           // mean tokens of an answer
}

// Model returns a model by name.
func (e *Engine) Model(name string) (Model, bool) {
	i := slices.IndexFunc(e.Models, func(m Model) bool { return m.Name == name })
	if i < 0 {
		return Model{}, false
	}
	return e.Models[i], true
}

// LongestPass is how long one pass of a replica of a model may take: a whole batch
// writes, and each step reads as many prompt tokens as it may. No event comes
// meanwhile. 0: the costs are not told.
func (e *Engine) LongestPass(m Model) time.Duration {
	step := float64(e.Step + time.Duration(e.Slots)*e.PerRequest)
	if e.ReadPerSecond > 0 {
		step += float64(e.Chunk) / e.ReadPerSecond * float64(time.Second)
	}
	return time.Duration(float64(max(e.Stride, 1)) * step * m.Pace)
}

// Service is a kind of upstream. Engine is nil for a plain service, any instance
// of which serves any request.
type Service struct {
	Name     string
	MaxConns int // accepted by one instance from all callers together
	Engine   *Engine
}

// Limits bound what callers may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Workspace is a tenant. Priority, if given, goes before the route's.
type Workspace struct {
	Name     string
	Keys     []string
	Priority *int
}

// Config is one version of the configuration as the operators wrote it.
type Config struct {
	Version    uint64
	Routes     []Route
	Services   []Service
	Limits     Limits
	Workspaces []Workspace
}

// Table is the compiled form of a Config. It is immutable.
type Table struct {
	Config   *Config
	hosts    map[string][]*Route // longest prefix first
	services map[string]*Service
	keys     map[string]*Workspace
}

// Compile builds the table of a configuration.
func Compile(c *Config) *Table {
	t := &Table{Config: c, hosts: map[string][]*Route{}, services: map[string]*Service{}, keys: map[string]*Workspace{}}
	for i := range c.Routes {
		r := &c.Routes[i]
		t.hosts[r.Host] = append(t.hosts[r.Host], r)
	}
	for _, list := range t.hosts {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Workspaces {
		for _, key := range c.Workspaces[i].Keys {
			t.keys[key] = &c.Workspaces[i]
		}
	}
	return t
}

// Match returns the route with the longest prefix that begins the path, or nil.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns a service by name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Keyed tells whether requests need a key at all.
func (t *Table) Keyed() bool { return len(t.Config.Workspaces) > 0 }

// Workspace returns the workspace that holds a key, or nil.
func (t *Table) Workspace(key string) *Workspace { return t.keys[key] }

// ModelSize returns how many instances a replica of a service's model takes; 0:
// unknown.
func (t *Table) ModelSize(service, model string) int {
	s := t.Service(service)
	if s == nil || s.Engine == nil {
		return 0
	}
	m, _ := s.Engine.Model(model)
	return m.Size
}
