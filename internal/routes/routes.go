// Package routes holds the configuration of a daemon that serves opaque requests by host and path:
// routes, the services behind them, workspaces with their API keys, and the timing of model
// replicas. A Table is the compiled, immutable form that requests are matched against.
package routes

import (
	"cmp"
	"hash/fnv"
	"slices"
	"strings"
	"time"
)

// Kind determines whether a request of a route may run more than once and how it is answered.
type Kind string

// Kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// AtMostOnce requests run at most once for each attempt of the caller.
	AtMostOnce Kind = "at_most_once"
	// Stream requests are answered by a sequence of events. They run at most once unless the
	// route is resumable.
	Stream Kind = "stream"
)

// WeightedService assigns a service a weighted part of a route's requests.
type WeightedService struct {
	Service string
	Weight  int
}

// Route configures the handling of requests with one host and path prefix.
type Route struct {
	Name              string
	Host              string
	Prefix            string // starts and ends with a slash
	Kind              Kind
	Timeout           time.Duration // longest time that a request is held; 0: unlimited
	LatencyObjective  time.Duration // time to the answer, or to a stream's first event
	EventGapObjective time.Duration // longest pause between a stream's events; 0: no objective
	Priority          int           // 0 is the most urgent
	Split             []WeightedService
	MaxAttempts       int  // most instances that one request is sent to
	Public            bool // requires no API key
	Resumable         bool // an interrupted stream may continue at another replica
}

// Retryable reports whether a request of the route may run more than once.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// PickService returns the service for a request id according to the weights of the split. The same id
// always gets the same service. The result is empty if the split has several services and no
// positive weight.
func (r *Route) PickService(requestID string) string {
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
	_, _ = h.Write([]byte(requestID))
	n := int(h.Sum32() % uint32(total))
	for _, s := range r.Split {
		if n -= s.Weight; n < 0 {
			return s.Service
		}
	}
	return ""
}

// Model is a model that the replicas of a service can hold.
type Model struct {
	Name          string
	ReplicaSize   int           // number of instances in one replica
	WorkShare     float64       // initial fraction of the service's work; 0: unknown
	TimeFactor    float64       // factor on all times of the engine
	LoadTime      time.Duration // time to load the model from the weight store
	WarmStartTime time.Duration // time to load the model from the host
}

// Engine describes the instances of a model service.
type Engine struct {
	Slots                  int // requests that a replica runs at the same time
	Models                 []Model
	LoadsPerSecond         float64       // limit on loads from the weight store; 0: unlimited
	ConcurrentLoads        int           // loads that the weight store serves at the same time
	StepTime               time.Duration // time of one step, which generates a token for each request in progress
	StepTimePerRequest     time.Duration // added to a step for each request in progress
	PrefillTokensPerSecond float64       // prompt tokens per second; 0: unknown
	PrefillChunkTokens     int           // most prompt tokens that one step reads
	StepsPerPass           int           // number of steps in one pass; streams get events only between passes
	MeanPromptTokens       int           // mean tokens of a prompt
	MeanAnswerTokens       int           // mean tokens of an answer
}

// Model returns the model with the given name and whether there is one.
func (e *Engine) Model(name string) (Model, bool) {
	i := slices.IndexFunc(e.Models, func(m Model) bool { return m.Name == name })
	if i < 0 {
		return Model{}, false
	}
	return e.Models[i], true
}

// MaxPassTime returns the longest time of one pass of a replica, during which no stream gets an
// event: a full batch generates tokens, and each step reads as many prompt tokens as it may. It is
// 0 if the timing is not configured.
func (e *Engine) MaxPassTime(m Model) time.Duration {
	step := float64(e.StepTime + time.Duration(e.Slots)*e.StepTimePerRequest)
	if e.PrefillTokensPerSecond > 0 {
		step += float64(e.PrefillChunkTokens) / e.PrefillTokensPerSecond * float64(time.Second)
	}
	return time.Duration(float64(max(e.StepsPerPass, 1)) * step * m.TimeFactor)
}

// Work returns the time of one full replica that a request takes: its share of the steps that
// generate its tokens, and the reading of its prompt. Token counts of 0 stand for the means of the
// service. It is 0 if the timing is not configured. The result is at most maxWork, as callers state the
// counts and may state any.
func (e *Engine) Work(m Model, promptTokens, answerTokens int) time.Duration {
	if promptTokens <= 0 {
		promptTokens = e.MeanPromptTokens
	}
	if answerTokens <= 0 {
		answerTokens = e.MeanAnswerTokens
	}
	perToken := float64(e.StepTime)/float64(max(e.Slots, 1)) + float64(e.StepTimePerRequest)
	work := float64(answerTokens) * perToken
	if e.PrefillTokensPerSecond > 0 {
		work += float64(promptTokens) / e.PrefillTokensPerSecond * float64(time.Second)
	}
	return time.Duration(min(work*m.TimeFactor, float64(maxWork)))
}

// PrefillTime returns how long a replica takes to read a prompt of promptTokens, at most maxWork. It is 0 if
// the rate is not configured.
func (e *Engine) PrefillTime(m Model, promptTokens int) time.Duration {
	if e.PrefillTokensPerSecond <= 0 {
		return 0
	}
	seconds := float64(promptTokens) / e.PrefillTokensPerSecond * m.TimeFactor
	return time.Duration(min(seconds, maxWork.Seconds()) * float64(time.Second))
}

// maxWork is the longest time that one request is taken to need. For token counts near the largest integer,
// the time would overflow.
const maxWork = 24 * time.Hour

// Service is a set of upstream instances. Engine is nil for a plain service, in which any instance
// serves any request.
type Service struct {
	Name     string
	MaxConns int // most connections that one instance accepts from all clients together
	Engine   *Engine
	// An instance is cold for ColdStart after its start and takes ColdPerSecond requests a second from
	// all daemons together meanwhile; 0: any number.
	ColdStart     time.Duration
	ColdPerSecond float64
}

// Limits bounds the sizes of client requests and how long client connections may take.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Workspace is a customer with its API keys. Priority, if set, overrides that of the route.
type Workspace struct {
	Name     string
	Keys     []string
	Priority *int
}

// Config is one version of the configuration as written by the operators.
type Config struct {
	Version    uint64
	Routes     []Route
	Services   []Service
	Limits     Limits
	Workspaces []Workspace
}

// Table is the compiled form of a Config. It is immutable.
type Table struct {
	Config           *Config
	routesByHost     map[string][]*Route // longest prefix first
	servicesByName   map[string]*Service
	workspacesByKey  map[string]*Workspace
	streamPriorities []int // of streams' routes and of workspaces, the most urgent first
	limitsCold       bool  // a service limits requests to cold instances
	longestCold      time.Duration
}

// Compile returns the routing table of a configuration, which must not be modified afterwards.
func Compile(c *Config) *Table {
	t := &Table{Config: c, routesByHost: map[string][]*Route{}, servicesByName: map[string]*Service{}, workspacesByKey: map[string]*Workspace{}}
	for i := range c.Routes {
		r := &c.Routes[i]
		t.routesByHost[r.Host] = append(t.routesByHost[r.Host], r)
	}
	for _, list := range t.routesByHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range c.Services {
		t.servicesByName[c.Services[i].Name] = &c.Services[i]
		if c.Services[i].ColdPerSecond > 0 {
			t.limitsCold, t.longestCold = true, max(t.longestCold, c.Services[i].ColdStart)
		}
	}
	for i := range c.Workspaces {
		for _, key := range c.Workspaces[i].Keys {
			t.workspacesByKey[key] = &c.Workspaces[i]
		}
	}
	t.streamPriorities = streamPriorities(c)
	return t
}

// streamPriorities returns the priorities that streams may have, the most urgent first.
func streamPriorities(c *Config) (out []int) {
	for i := range c.Routes {
		if c.Routes[i].Kind == Stream {
			out = append(out, c.Routes[i].Priority)
		}
	}
	for i := range c.Workspaces {
		if p := c.Workspaces[i].Priority; p != nil {
			out = append(out, *p)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// StreamPriorityRank returns how many of the priorities that streams may have are more urgent than
// one, and their number.
func (t *Table) StreamPriorityRank(priority int) (rank, priorities int) {
	rank, _ = slices.BinarySearch(t.streamPriorities, priority)
	return rank, max(len(t.streamPriorities), 1)
}

// Match returns the host's route with the longest prefix of the path, or nil.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.routesByHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns the service with the given name, or nil.
func (t *Table) Service(name string) *Service { return t.servicesByName[name] }

// LimitsColdInstances reports whether a service limits requests to cold instances.
func (t *Table) LimitsColdInstances() bool { return t.limitsCold }

// LongestCold returns the longest time for which a service that limits requests to cold instances takes an
// instance for cold; 0: there is no such service.
func (t *Table) LongestCold() time.Duration { return t.longestCold }

// RequiresAPIKey reports whether requests require an API key, which they do once a workspace is configured.
func (t *Table) RequiresAPIKey() bool { return len(t.Config.Workspaces) > 0 }

// Workspace returns the workspace that owns an API key, or nil.
func (t *Table) Workspace(key string) *Workspace { return t.workspacesByKey[key] }

// ModelSize returns the number of instances in a replica of a service's model, 0 if the service or
// the model is unknown.
func (t *Table) ModelSize(service, model string) int {
	s := t.Service(service)
	if s == nil || s.Engine == nil {
		return 0
	}
	m, _ := s.Engine.Model(model)
	return m.ReplicaSize
}
