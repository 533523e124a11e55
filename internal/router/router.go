// Package router decides which replica serves a request. It filters by what is
// permitted first and weighs afterwards; everything is a pure function of a
// snapshot, a request and injected randomness.
package router

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Target is one serving epoch of a group as the snapshot shows it. A Target is
// immutable but for its counter.
type Target struct {
	Group   string
	Pool    string
	Epoch   uint64
	Place   string
	Domain  string
	Address string    // of rank 0
	Ready   time.Time // all members were surely ready up to then
	Running int       // as reported, lagging
	Queued  int
	Slots   int
	// Sent counts this daemon's dispatches since the report.
	Sent *atomic.Int64
	// Since is when this daemon first saw the epoch serve, for slow start.
	Since time.Time
}

// Load is the work per slot: as reported, plus what was sent since.
func (t *Target) Load() float64 {
	return float64(t.Running+t.Queued+int(t.Sent.Load())) / float64(max(t.Slots, 1))
}

// Request is what routing looks at.
type Request struct {
	Places  []string // permitted
	Prefix  uint64   // hash of the prompt's beginning
	Exclude []string // groups already tried
}

// Policy names a routing policy.
type Policy string

// Policies; all but PolicyAffinity are baselines.
const (
	PolicyAffinity   Policy = "affinity"
	PolicyRandom     Policy = "random"
	PolicyRoundRobin Policy = "round-robin"
	PolicyLeast      Policy = "least"
)

// Router chooses among targets. Safe for concurrent use.
type Router struct {
	Policy Policy
	Subset int           // replicas considered for one prefix
	MaxAge time.Duration // of readiness evidence
	// SlowStart is how long a returning epoch gets only a growing share.
	SlowStart time.Duration
	turn      atomic.Uint64
}

// Permitted filters the targets a request may go to at now: a permitted place,
// fresh evidence, not tried before. The order is kept.
func (r *Router) Permitted(targets []*Target, req Request, now time.Time) []*Target {
	var out []*Target
	for _, t := range targets {
		if slices.Contains(req.Places, t.Place) && r.Fresh(t, now) && !slices.Contains(req.Exclude, t.Group) {
			out = append(out, t)
		}
	}
	return out
}

// Fresh tells whether a target may be dispatched to at now.
func (r *Router) Fresh(t *Target, now time.Time) bool {
	return !t.Ready.IsZero() && now.Sub(t.Ready) < r.MaxAge
}

// Choose picks one of the permitted targets, nil if there is none. uniform
// returns a number in [0, n).
func (r *Router) Choose(permitted []*Target, req Request, now time.Time, uniform func(n int) int) *Target {
	if len(permitted) == 0 {
		return nil
	}
	switch r.Policy {
	case PolicyRandom:
		return permitted[uniform(len(permitted))]
	case PolicyRoundRobin:
		return permitted[int(r.turn.Add(1)%uint64(len(permitted)))]
	case PolicyLeast:
		return slices.MinFunc(permitted, byLoad)
	}
	return r.byAffinity(permitted, req.Prefix, now, uniform)
}

// affinityMargin is how much more load per slot the replica with the prefix may
// carry before a less loaded one is taken instead.
const affinityMargin = 0.25

// byAffinity takes the prefix's first replica by rendezvous hashing unless it is
// clearly more loaded than another of the subset chosen at random; then the
// less loaded one.
func (r *Router) byAffinity(permitted []*Target, prefix uint64, now time.Time, uniform func(int) int) *Target {
	subset := rank(permitted, prefix)[:min(r.Subset, len(permitted))]
	home := subset[0]
	if len(subset) == 1 {
		return home
	}
	other := subset[1+uniform(len(subset)-1)]
	if r.weighted(home, now) > r.weighted(other, now)+affinityMargin {
		return other
	}
	return home
}

// weighted is the load, raised while a target starts slowly.
func (r *Router) weighted(t *Target, now time.Time) float64 {
	load := t.Load()
	if age := now.Sub(t.Since); r.SlowStart > 0 && age < r.SlowStart {
		load += 1 - float64(age)/float64(r.SlowStart)
	}
	return load
}

// rank orders targets by rendezvous hashing with the prefix.
func rank(targets []*Target, prefix uint64) []*Target {
	out := slices.Clone(targets)
	slices.SortFunc(out, func(a, b *Target) int {
		return cmp.Or(cmp.Compare(score(b.Group, prefix), score(a.Group, prefix)), cmp.Compare(a.Group, b.Group))
	})
	return out
}

func score(group string, prefix uint64) uint64 {
	const golden = 0x9e3779b97f4a7c15
	h := xxhash.Sum64String(group) ^ (prefix * golden)
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	return h ^ h>>33
}

func byLoad(a, b *Target) int { return cmp.Compare(a.Load(), b.Load()) }

// Uniform is the default randomness.
func Uniform(n int) int { return rand.IntN(n) }

// prefixBytes is how much of a prompt decides about affinity.
const prefixBytes = 256

// PrefixHash hashes the beginning of a prompt, within a workspace so that equal
// prompts of two workspaces need not meet.
func PrefixHash(workspace string, prompt []byte) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(workspace)
	_, _ = d.Write(prompt[:min(len(prompt), prefixBytes)])
	return d.Sum64()
}
