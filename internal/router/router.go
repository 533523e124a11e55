// Package router chooses the replica that serves a request. It first filters the replicas that may
// serve it, then chooses by policy and load. Apart from counters, results depend only on the
// snapshot, the request, the time and the randomness that are passed in.
package router

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Target is one serving epoch of a group in a snapshot. It is immutable but for the counter Sent.
type Target struct {
	Group   string
	Pool    string
	Epoch   uint64
	Place   string
	Domain  string    // failure domain
	Address string    // of rank 0
	ReadyAt time.Time // latest time at which all members are known to have been ready
	Running int       // requests, as reported with some delay
	Queued  int       // likewise
	Slots   int       // requests that run at once
	// Sent counts the requests that this daemon sent since the report.
	Sent *atomic.Int64
	// ServingSince is when this daemon first saw the epoch serve: the start of its slow start.
	ServingSince time.Time
}

// Load returns the requests per slot: as reported, plus those sent since.
func (t *Target) Load() float64 {
	return float64(t.Running+t.Queued+int(t.Sent.Load())) / float64(max(t.Slots, 1))
}

// Request holds the properties of a request that routing uses.
type Request struct {
	Places     []string // permitted places
	PrefixHash uint64   // hash of the start of the prompt
	Tried      []string // groups already tried
}

// Policy names a routing policy.
type Policy string

// Policies. All but PolicyAffinity are baselines for comparison.
const (
	PolicyAffinity    Policy = "affinity"
	PolicyRandom      Policy = "random"
	PolicyRoundRobin  Policy = "round-robin"
	PolicyLeastLoaded Policy = "least"
)

// Router chooses among targets. Safe for concurrent use.
type Router struct {
	Policy          Policy
	Subset          int           // number of replicas considered for one prefix
	MaxReadinessAge time.Duration // maximum age of a readiness report
	// SlowStart is how long a new epoch receives only a growing share of requests.
	SlowStart      time.Duration
	nextRoundRobin atomic.Uint64
}

// Permitted returns the targets that a request may be sent to at now: those in a permitted place,
// with a fresh readiness report and not tried before. The order is kept.
func (r *Router) Permitted(targets []*Target, req Request, now time.Time) []*Target {
	var out []*Target
	for _, t := range targets {
		if slices.Contains(req.Places, t.Place) && r.Fresh(t, now) && !slices.Contains(req.Tried, t.Group) {
			out = append(out, t)
		}
	}
	return out
}

// Fresh reports whether a target's readiness report is recent enough to send to it at now.
func (r *Router) Fresh(t *Target, now time.Time) bool {
	return !t.ReadyAt.IsZero() && now.Sub(t.ReadyAt) < r.MaxReadinessAge
}

// Choose returns one of the permitted targets, nil if there is none. uniform returns a random
// number in [0, n).
func (r *Router) Choose(permitted []*Target, req Request, now time.Time, uniform func(n int) int) *Target {
	if len(permitted) == 0 {
		return nil
	}
	switch r.Policy {
	case PolicyRandom:
		return permitted[uniform(len(permitted))]
	case PolicyRoundRobin:
		return permitted[int(r.nextRoundRobin.Add(1)%uint64(len(permitted)))]
	case PolicyLeastLoaded:
		return slices.MinFunc(permitted, compareLoad)
	}
	return r.chooseByAffinity(permitted, req.PrefixHash, now, uniform)
}

// affinityMargin is how much more load per slot the preferred replica of a prefix may have than the
// other candidate before that one is chosen.
const affinityMargin = 0.25

// chooseByAffinity compares the first replica of the prefix by rendezvous hashing with a random other
// one of the prefix's subset. It returns the first, unless its load is higher by more than
// affinityMargin.
func (r *Router) chooseByAffinity(permitted []*Target, prefix uint64, now time.Time, uniform func(int) int) *Target {
	subset := rank(permitted, prefix)[:min(r.Subset, len(permitted))]
	preferred := subset[0]
	if len(subset) == 1 {
		return preferred
	}
	other := subset[1+uniform(len(subset)-1)]
	if r.loadWithSlowStart(preferred, now) > r.loadWithSlowStart(other, now)+affinityMargin {
		return other
	}
	return preferred
}

// loadWithSlowStart returns the load per slot. During slow start it is higher, by one at the start
// and by less later.
func (r *Router) loadWithSlowStart(t *Target, now time.Time) float64 {
	load := t.Load()
	if age := now.Sub(t.ServingSince); r.SlowStart > 0 && age < r.SlowStart {
		load += 1 - float64(age)/float64(r.SlowStart)
	}
	return load
}

// rank returns the targets ordered by rendezvous hashing with the prefix.
func rank(targets []*Target, prefix uint64) []*Target {
	out := slices.Clone(targets)
	slices.SortFunc(out, func(a, b *Target) int {
		return cmp.Or(cmp.Compare(rendezvousScore(b.Group, prefix), rendezvousScore(a.Group, prefix)), cmp.Compare(a.Group, b.Group))
	})
	return out
}

func rendezvousScore(group string, prefix uint64) uint64 {
	const goldenRatio = 0x9e3779b97f4a7c15
	h := xxhash.Sum64String(group) ^ (prefix * goldenRatio)
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	return h ^ h>>33
}

func compareLoad(a, b *Target) int { return cmp.Compare(a.Load(), b.Load()) }

// Uniform returns a random number in [0, n) from the default source.
func Uniform(n int) int { return rand.IntN(n) }

// prefixBytes is the length of the start of a prompt that determines affinity.
const prefixBytes = 256

// PrefixHash hashes the start of a prompt together with the workspace, so that equal prompts of two
// workspaces need not go to the same replica.
func PrefixHash(workspace string, prompt []byte) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(workspace)
	_, _ = d.Write(prompt[:min(len(prompt), prefixBytes)])
	return d.Sum64()
}
