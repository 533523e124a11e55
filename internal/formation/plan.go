// Package formation decides which instances form which groups and sends the orders for it.
// Planner makes no calls: it reads a view, a model service's engine and the time, keeps a
// record of its own orders only, and returns new orders. Manager runs a planner for each
// model service on the daemon that holds the lease.
//
// A free instance is a spare: the planner has its domain's model loaded to its host (staged) and
// then to its accelerators (warmed), so that it can soon take the place of a lost member.
//
// Safety does not rest on the lease but on the orders themselves: each epoch is higher than
// all earlier ones, so that an instance that has seen a newer one refuses a late join; an
// instance joins another group only after it has left its old one; a group opens only after
// each of its members has reported that it is ready.
package formation

import (
	"cmp"
	"fmt"
	"iter"
	"slices"
	"time"

	"pearlanding/internal/demand"
	"pearlanding/internal/fleet"
	"pearlanding/internal/objectapi"
	"pearlanding/internal/routes"
)

// Timing of the planner.
const (
	// resendAfter is how long an order may have no visible effect before it is sent again.
	// Orders and entries take some milliseconds; the view is up to a quarter of a second old.
	resendAfter = 1500 * time.Millisecond
	// formGrace is how long a group may take to form beyond the expected time of its joins.
	formGrace = 8 * time.Second
	// maxOrderDelay is how long after it was sent an unanswered order may still be carried out.
	maxOrderDelay = 13 * time.Second
)

// formingGroup is a group whose joins this planner has sent and that it has not yet seen open.
type formingGroup struct {
	key          fleet.GroupKey
	model        routes.Model
	members      []string
	incarnations []int64 // start times that identify the members' incarnations, in the same order
	since        time.Time
	loads        int // number of members that load from the weight store
}

// Planner plans the groups of one service. One goroutine owns it.
type Planner struct {
	Service    string
	term       uint64    // of the lease
	epochsUsed uint64    // in this term
	outranked  bool      // an instance has seen epochs of a later term
	started    time.Time // when the planner was created
	// inheritedResends are the instances to which the previous planner may have sent joins twice.
	inheritedResends map[string]bool
	// MayResend reports whether a join without effect may be sent to an instance again, which
	// requires that the lease's record lists it. nil: never.
	MayResend func(instance string) bool
	// BeforeFirstRequest is true until this daemon knows of a request. Loads are fast until
	// then, and those of a cold service are exempt from the ceiling.
	BeforeFirstRequest bool
	// Prestages is true if the hosts of groups are to hold other models before the first request, so
	// that capacity can follow the demand without a load.
	Prestages bool
	// Demand is what callers ask of all daemons; empty: unknown. Set before each plan.
	Demand []demand.Rate
	// Evacuated holds the zones in which no group is formed. Set before each plan.
	Evacuated map[string]bool
	// LoadWindow is the period over which loads are limited; 0: no limit.
	LoadWindow  time.Duration
	recentLoads []time.Time // start times within LoadWindow, oldest first
	// loadsStarted counts all loads that this planner started.
	loadsStarted int
	forming      map[fleet.GroupKey]*formingGroup
	lastSent     map[sentKey]time.Time        // when each order was last sent
	lastJoins    map[string]sentJoin          // the last join sent, by instance
	leftGroups   map[string]leftGroup         // groups that instances left, until their entries show it
	resent       map[string]time.Time         // when a join was last sent again, by instance
	staging      map[string]stagingLoad       // by instance
	warming      map[fleet.GroupKey]time.Time // deadline of each warm-up, by the spare's group of one
	lastModel    map[string]string            // model of each instance's last group, as seen or ordered
	assigned     map[string]string            // model of each domain
	closing      map[fleet.GroupKey]time.Time // when a group was first ordered to close
	placement    placement                    // of models, by demand
	incarnations map[string]int64             // start time of each instance's incarnation, as last seen
	consistent   consistentInstances
}

// sentJoin is a join that may still be carried out.
type sentJoin struct {
	group fleet.GroupKey
	at    time.Time
}

// sentKey identifies an order that may be sent more than once.
type sentKey struct {
	op       Op
	instance string
	group    fleet.GroupKey
	model    string
}

// NewPlanner returns a planner for one term of the lease. term must be higher than every
// earlier one; inherited holds the instances to which the previous planner may have sent
// joins twice.
func NewPlanner(service string, term uint64, inherited map[string]bool, now time.Time) *Planner {
	return &Planner{Service: service, term: term, inheritedResends: inherited, started: now,
		forming: map[fleet.GroupKey]*formingGroup{}, lastSent: map[sentKey]time.Time{}, lastJoins: map[string]sentJoin{}, leftGroups: map[string]leftGroup{},
		resent: map[string]time.Time{}, staging: map[string]stagingLoad{}, warming: map[fleet.GroupKey]time.Time{}, lastModel: map[string]string{}, assigned: map[string]string{}, closing: map[fleet.GroupKey]time.Time{}, incarnations: map[string]int64{},
		placement: newPlacement()}
}

// epochsPerTerm is the number of epochs in one term.
const epochsPerTerm = 1 << 16

// epochTermFor returns the term whose epochs a holder of the lease uses: the revision at which it acquired
// the lease, or more if instances have seen higher epochs or inherited is not lower. Revisions fall when the
// store comes back from a copy, and instances refuse epochs below those that they have seen.
//
// Entries of services for which planned is false do not count.
func epochTermFor(leaseTerm, inherited uint64, v *fleet.View, planned func(service string) bool) uint64 {
	term := objectapi.WithinEra(leaseTerm)
	if inherited > 0 {
		term = max(term, inherited+1)
	}
	if seen := highestEpoch(v, planned); seen > 0 {
		term = max(term, seen/epochsPerTerm+1)
	}
	return term
}

// maxEpoch is the highest epoch that an entry is believed: a number in JSON holds no more than 53 bits.
const maxEpoch = 1 << 53

// highestEpoch returns the highest epoch up to maxEpoch that an entry of a planned service tells.
func highestEpoch(v *fleet.View, planned func(service string) bool) (epoch uint64) {
	observe := func(in *fleet.Instance) {
		if in.Group.Epoch <= maxEpoch && planned(in.Service) {
			epoch = max(epoch, in.Group.Epoch)
		}
	}
	for _, in := range v.Instances {
		observe(in)
	}
	for _, gone := range v.Removed {
		observe(gone.Instance)
	}
	return epoch
}

// Exhausted reports whether half of the term's epochs are used, or an instance has seen those of a later
// term. The term should then end, as the next one has epochs of its own.
func (p *Planner) Exhausted() bool { return p.epochsUsed >= epochsPerTerm/2 || p.outranked }

// nextEpoch returns an epoch above those of all earlier terms and, until the term's epochs run
// out, above those of this one.
func (p *Planner) nextEpoch() uint64 {
	p.epochsUsed++
	return p.term*epochsPerTerm + min(p.epochsUsed, epochsPerTerm-1)
}

// Plan returns the orders to send now.
func (p *Planner) Plan(v *fleet.View, engine *routes.Engine, now time.Time) []Order {
	own := func(service string) bool { return service == p.Service }
	p.outranked = highestEpoch(v, own)/epochsPerTerm > p.term
	return slices.Collect(p.orders(v, engine, now))
}

// orders yields the orders to send now. After an iteration that stopped early the planner must
// not be used again.
func (p *Planner) orders(v *fleet.View, engine *routes.Engine, now time.Time) iter.Seq[Order] {
	return func(take func(Order) bool) {
		yield := func(orders ...Order) bool {
			return !slices.ContainsFunc(orders, func(o Order) bool { return !take(o) })
		}
		p.prune(v, now)
		busy := map[string]bool{}
		for _, key := range sortedKeys(v) {
			if !yield(p.reconcileGroup(v, v.Groups[key], busy, now)...) {
				return
			}
		}
		if yield(p.reconcileForming(v, busy, now)...) {
			p.formGroups(v, engine, busy, now, yield)
		}
	}
}

// consistentInstances are the instances of a view that planning considers.
type consistentInstances struct {
	view *fleet.View
	list []*fleet.Instance
}

// instances returns the service's instances of a view, ordered by id, without those whose entries contradict the
// entries of a group's members: nothing is planned with them. The result is not modified.
func (p *Planner) instances(v *fleet.View) []*fleet.Instance {
	if p.consistent.view != v {
		p.consistent = consistentInstances{v, v.Services[p.Service]}
		if conflicting := conflictingInstances(v); len(conflicting) > 0 {
			p.consistent.list = slices.DeleteFunc(slices.Clone(p.consistent.list), func(in *fleet.Instance) bool { return conflicting[in] })
		}
	}
	return p.consistent.list
}

func conflictingInstances(v *fleet.View) map[*fleet.Instance]bool {
	var out map[*fleet.Instance]bool
	for _, g := range v.Groups {
		for _, in := range g.Conflicting {
			if out == nil {
				out = map[*fleet.Instance]bool{}
			}
			out[in] = true
		}
	}
	return out
}

func sortedKeys(v *fleet.View) []fleet.GroupKey {
	keys := make([]fleet.GroupKey, 0, len(v.Groups))
	for k := range v.Groups {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b fleet.GroupKey) int {
		return cmp.Or(cmp.Compare(a.Epoch, b.Epoch), cmp.Compare(a.Name, b.Name))
	})
	return keys
}

// prune drops records of orders that can no longer have an effect. It also updates the records of
// incarnations and loaded models from the view.
func (p *Planner) prune(v *fleet.View, now time.Time) {
	for key, at := range p.lastSent {
		if now.Sub(at) > maxOrderDelay {
			delete(p.lastSent, key)
		}
	}
	for id, j := range p.lastJoins {
		if now.Sub(j.at) > maxOrderDelay {
			delete(p.lastJoins, id)
		}
	}
	p.forgetRestarted(v)
	p.updateLastModels(v)
	for key, until := range p.warming {
		if now.Sub(until) > maxOrderDelay {
			delete(p.warming, key)
		}
	}
	for id, l := range p.leftGroups {
		if in := v.Instances[id]; in == nil || in.Group.Key() != l.group || in.Version != l.version {
			delete(p.leftGroups, id)
		}
	}
	for key := range p.closing {
		if v.Groups[key] == nil {
			delete(p.closing, key)
		}
	}
	for id, at := range p.resent {
		if now.Sub(at) > maxOrderDelay {
			delete(p.resent, id)
		}
	}
}

// reconcileGroup returns the orders for one group of the view. It marks as busy the members
// that must stay in the group.
func (p *Planner) reconcileGroup(v *fleet.View, g *fleet.Group, busy map[string]bool, now time.Time) []Order {
	if g.Service != p.Service {
		return nil
	}
	f := p.forming[g.Key]
	switch {
	case g.Serving():
		delete(p.forming, g.Key)
		markBusy(g, busy)
		return nil
	case g.Complete() && g.Head.Group.State == fleet.Ready && (p.placement.retiring[g.Key] || p.hasConflictingJoin(g, now) || p.mayHaveUnknownJoin(g, now)):
		return p.dissolve(v, g, busy, now)
	case g.Complete() && g.Head.Group.State == fleet.Ready:
		markBusy(g, busy)
		return p.unlessSentRecently(now, Order{Op: OpOpen, Instance: g.Head.ID, Address: g.Head.Address, Group: g.Key, Reason: "all members ready"})
	case g.Complete():
		markBusy(g, busy) // its head is closing and becomes ready without an order
		return nil
	case f != nil && p.viable(v, f, now):
		for _, id := range f.members {
			busy[id] = true
		}
		return nil
	case p.isWarming(g, now):
		markBusy(g, busy)
		return nil
	case g.Size == 0:
		markBusy(g, busy) // the configuration does not know its model
		return nil
	case f == nil && len(g.Members) == g.Size && noneLeaving(g) && now.Sub(p.started) < maxOrderDelay:
		markBusy(g, busy) // members are still joining by order of an earlier holder
		return nil
	}
	delete(p.forming, g.Key)
	return p.dissolve(v, g, busy, now)
}

// hasConflictingJoin reports whether a member may still carry out a join to another group: the
// joins of an earlier planner can take effect so late that this one has already ordered their
// instances elsewhere. Such a group must not open.
func (p *Planner) hasConflictingJoin(g *fleet.Group, now time.Time) bool {
	return slices.ContainsFunc(g.Members, func(m *fleet.Instance) bool {
		j, sent := p.lastJoins[m.ID]
		return sent && j.group != g.Key && now.Sub(j.at) <= maxOrderDelay
	})
}

// mayHaveUnknownJoin reports whether a group was formed in another term and its members may
// still carry out a join of a third term, of which this planner knows nothing. Such a group is
// formed anew, which is quick as its members hold the model.
func (p *Planner) mayHaveUnknownJoin(g *fleet.Group, now time.Time) bool {
	return g.Key.Epoch/epochsPerTerm != p.term && now.Sub(p.started) < maxOrderDelay
}

func markBusy(g *fleet.Group, busy map[string]bool) {
	for _, m := range g.Members {
		busy[m.ID] = true
	}
}

func noneLeaving(g *fleet.Group) bool {
	return !slices.ContainsFunc(g.Members, func(m *fleet.Instance) bool { return m.Draining || m.Group.State == fleet.Broken })
}

// mayRejoin reports whether a second copy of a join to the instance may still be in flight: it
// could return the instance to a group that it has left. The lease's record lists the instances
// to which the previous planner sent joins twice.
func (p *Planner) mayRejoin(id string, now time.Time) bool {
	return p.inheritedResends[id] && now.Sub(p.started) < maxOrderDelay || now.Sub(p.resent[id]) < maxOrderDelay
}

// viable reports whether a forming group may still become complete: each member is known,
// stays, and has neither restarted nor joined a newer group nor failed in this one, and the joins
// are not overdue.
func (p *Planner) viable(v *fleet.View, f *formingGroup, now time.Time) bool {
	for i, id := range f.members {
		in := v.Instances[id]
		if in == nil || in.StartedAt != f.incarnations[i] || in.Draining || in.Group.Epoch > f.key.Epoch || in.Group.Key() == f.key && in.Group.State == fleet.Broken {
			return false
		}
	}
	return now.Sub(f.since) < p.expectedJoinTime(f)+formGrace
}

// expectedJoinTime returns how long the joins of a group should take.
func (p *Planner) expectedJoinTime(f *formingGroup) time.Duration {
	if f.loads > 0 {
		return 2 * f.model.LoadTime // concurrent loads slow each other down
	}
	return f.model.WarmStartTime
}

// reconcileForming aborts forming groups that can no longer become complete. It marks the members
// of the others as busy and returns the joins to send again because they had no effect.
func (p *Planner) reconcileForming(v *fleet.View, busy map[string]bool, now time.Time) []Order {
	var out []Order
	keys := make([]fleet.GroupKey, 0, len(p.forming))
	for k := range p.forming {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b fleet.GroupKey) int { return cmp.Compare(a.Epoch, b.Epoch) })
	for _, key := range keys {
		f := p.forming[key]
		if !p.viable(v, f, now) {
			delete(p.forming, key)
			continue
		}
		for _, id := range f.members {
			busy[id] = true
			if in := v.Instances[id]; in.Group.Key() != key && p.MayResend != nil && p.MayResend(id) {
				again := p.unlessSentRecently(now, p.joinOrder(f, in, "join had no effect yet"))
				if len(again) > 0 {
					p.resent[id] = now
				}
				out = append(out, again...)
			}
		}
	}
	return out
}

func (p *Planner) joinOrder(f *formingGroup, in *fleet.Instance, reason string) Order {
	return Order{Op: OpJoin, Instance: in.ID, Address: in.Address, Group: f.key, Model: f.model.Name, Members: f.members, Reason: reason}
}

// unlessSentRecently records and returns the order, or nothing if the same one was sent less than
// resendAfter ago.
func (p *Planner) unlessSentRecently(now time.Time, o Order) []Order {
	key := sentKey{o.Op, o.Instance, o.Group, o.Model}
	if at, ok := p.lastSent[key]; ok && now.Sub(at) < resendAfter {
		return nil
	}
	p.lastSent[key] = now
	if o.Op == OpJoin {
		p.lastJoins[o.Instance] = sentJoin{o.Group, now}
	}
	return []Order{o}
}

// groupName returns a group's name, which its epoch makes unique.
func groupName(model string, epoch uint64) string { return fmt.Sprintf("%s-%d", model, epoch) }
