// Package formation decides which instances form which groups and carries that
// out by orders. Planner is pure: it looks at a view, a model service's engine
// and the time, keeps only what it ordered itself, and returns orders. Manager
// runs it on the daemon that holds the lease.
//
// Safety does not rest on the lease but on the orders themselves: an epoch is
// higher than any that was given before, so a late join is refused by whoever
// has seen a newer one; an instance joins another group only after it has left its
// old one; a group opens only after each of its members has told that it is ready.
package formation

import (
	"cmp"
	"fmt"
	"iter"
	"slices"
	"time"

	"pearlanding/internal/fleet"
	"pearlanding/internal/routes"
)

// Times of the planner.
const (
	// resendAfter is how long an order may go without a visible effect before it is
	// sent again. Orders and entries take some milliseconds; the view is up to a
	// quarter of a second old.
	resendAfter = 1500 * time.Millisecond
	// formPatience is how long a group may form beyond what its loads should take.
	formPatience = 8 * time.Second
	// lateOrders is how long an order without an answer may still be carried out.
	lateOrders = 13 * time.Second
)

// forming is a group this planner has ordered to join and not yet seen open.
type forming struct {
	key     fleet.Key
	model   routes.Model
	members []string
	born    []int64 // of the members' lives, in the same order
	since   time.Time
	loads   int // members that load from the weight store
}

// Planner plans the groups of one service. One goroutine owns it.
type Planner struct {
	Service string
	term    uint64 // of the lease
	count   uint64 // epochs given in this term
	started time.Time
	// inherited are instances to which the planner before may have sent joins twice.
	inherited map[string]bool
	// MayResend tells whether a join without effect may be sent to an instance again,
	// since the lease's record lists it; nil: never.
	MayResend func(instance string) bool
	// Idle: no request came yet, as far as this daemon knows. Loads are quick then
	// and don't count for the ceiling.
	Idle bool
	// Window is that of the ceiling on loads; 0: there is none.
	Window time.Duration
	loads  []time.Time // begun within the window
	// loadsBegun counts all loads that this planner began.
	loadsBegun int
	forming    map[fleet.Key]*forming
	sent       map[sentKey]time.Time
	joins      map[string]sentJoin     // the last join sent, by instance
	left       map[string]leave        // what instances left, until their entries show it
	doubled    map[string]time.Time    // when a join was last sent again, by instance
	staging    map[string]staging      // by instance
	warming    map[fleet.Key]time.Time // groups of one that warm a spare, until when at most
	warmed     map[string]string       // model of the last group of each instance, as far as seen or asked for
	given      map[string]string       // model of each domain
	closing    map[fleet.Key]time.Time // when a group was first asked to close
	born       map[string]int64        // of each instance's life, as last seen
}

// sentJoin is a join that may still be carried out.
type sentJoin struct {
	group fleet.Key
	at    time.Time
}

type sentKey struct {
	op       Op
	instance string
	group    fleet.Key
	model    string
}

// NewPlanner returns a planner for one term of the lease. term must be higher
// than every earlier one; inherited are the instances to which the planner before
// may have sent joins twice.
func NewPlanner(service string, term uint64, inherited map[string]bool, now time.Time) *Planner {
	return &Planner{Service: service, term: term, inherited: inherited, started: now,
		forming: map[fleet.Key]*forming{}, sent: map[sentKey]time.Time{}, joins: map[string]sentJoin{}, left: map[string]leave{},
		doubled: map[string]time.Time{}, staging: map[string]staging{}, warming: map[fleet.Key]time.Time{}, warmed: map[string]string{}, given: map[string]string{}, closing: map[fleet.Key]time.Time{}, born: map[string]int64{}}
}

// epochsPerTerm is how many epochs one term can give.
const epochsPerTerm = 1 << 16

// Exhausted tells that the term should end soon, as its epochs do: the next one begins
// with new ones.
func (p *Planner) Exhausted() bool { return p.count >= epochsPerTerm/2 }

// nextEpoch returns an epoch above all given before: terms rise, and so do the
// epochs within one.
func (p *Planner) nextEpoch() uint64 {
	p.count++
	return p.term*epochsPerTerm + min(p.count, epochsPerTerm-1)
}

// Plan returns the orders to send now.
func (p *Planner) Plan(v *fleet.View, engine *routes.Engine, now time.Time) []Order {
	return slices.Collect(p.orders(v, engine, now))
}

// orders makes the orders to send now one after the other. A planner whose orders were not all
// taken must not plan again.
func (p *Planner) orders(v *fleet.View, engine *routes.Engine, now time.Time) iter.Seq[Order] {
	return func(take func(Order) bool) {
		yield := func(orders ...Order) bool {
			return !slices.ContainsFunc(orders, func(o Order) bool { return !take(o) })
		}
		p.forget(v, now)
		busy := map[string]bool{}
		for _, key := range sortedKeys(v) {
			if !yield(p.tend(v, v.Groups[key], busy, now)...) {
				return
			}
		}
		if yield(p.tendForming(v, busy, now)...) {
			p.form(v, engine, busy, now, yield)
		}
	}
}

func sortedKeys(v *fleet.View) []fleet.Key {
	keys := make([]fleet.Key, 0, len(v.Groups))
	for k := range v.Groups {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b fleet.Key) int { return cmp.Or(cmp.Compare(a.Epoch, b.Epoch), cmp.Compare(a.Name, b.Name)) })
	return keys
}

// forget drops what is too old to matter.
func (p *Planner) forget(v *fleet.View, now time.Time) {
	for key, at := range p.sent {
		if now.Sub(at) > lateOrders {
			delete(p.sent, key)
		}
	}
	for id, j := range p.joins {
		if now.Sub(j.at) > lateOrders {
			delete(p.joins, id)
		}
	}
	p.notice(v)
	p.remember(v)
	for key, until := range p.warming {
		if now.Sub(until) > lateOrders {
			delete(p.warming, key)
		}
	}
	for id, l := range p.left {
		if in := v.Instances[id]; in == nil || in.Group.Key() != l.group || in.Version != l.version {
			delete(p.left, id)
		}
	}
	for key := range p.closing {
		if v.Groups[key] == nil {
			delete(p.closing, key)
		}
	}
	for id, at := range p.doubled {
		if now.Sub(at) > lateOrders {
			delete(p.doubled, id)
		}
	}
}

// tend looks after one group that its members tell of. It marks in busy the
// members that must stay where they are.
func (p *Planner) tend(v *fleet.View, g *fleet.Group, busy map[string]bool, now time.Time) []Order {
	if g.Service != p.Service {
		return nil
	}
	f := p.forming[g.Key]
	switch {
	case g.Serving():
		delete(p.forming, g.Key)
		hold(g, busy)
		return nil
	case g.Complete() && g.Head.Group.State == fleet.Ready && (p.calledAway(g, now) || p.inheritedLately(g, now)):
		return p.dissolve(g, busy, now)
	case g.Complete() && g.Head.Group.State == fleet.Ready:
		hold(g, busy)
		return p.send(now, Order{Op: OpOpen, Instance: g.Head.ID, Address: g.Head.Address, Group: g.Key, Reason: "all members ready"})
	case g.Complete():
		hold(g, busy) // closing; comes to ready by itself
		return nil
	case f != nil && p.viable(v, f, now):
		for _, id := range f.members {
			busy[id] = true
		}
		return nil
	case p.stillWarming(g, now):
		hold(g, busy)
		return nil
	case g.Size == 0:
		hold(g, busy) // the configuration doesn't tell of its model
		return nil
	case f == nil && len(g.Members) == g.Size && allStay(g) && now.Sub(p.started) < lateOrders:
		hold(g, busy) // an earlier holder's group that is still joining
		return nil
	}
	delete(p.forming, g.Key)
	return p.dissolve(g, busy, now)
}

// calledAway tells whether a join to another group may still be carried out by a
// member: the joins of an earlier planner can come so late that this one has called
// their instances elsewhere. Such a group must not open.
func (p *Planner) calledAway(g *fleet.Group, now time.Time) bool {
	return slices.ContainsFunc(g.Members, func(m *fleet.Instance) bool {
		j, sent := p.joins[m.ID]
		return sent && j.group != g.Key && now.Sub(j.at) <= lateOrders
	})
}

// inheritedLately tells whether a group was formed in another term, and a join of yet
// another one, of which this planner knows nothing, may still call its members
// elsewhere. It is formed anew, which is quick: its members hold the model.
func (p *Planner) inheritedLately(g *fleet.Group, now time.Time) bool {
	return g.Key.Epoch/epochsPerTerm != p.term && now.Sub(p.started) < lateOrders
}

func hold(g *fleet.Group, busy map[string]bool) {
	for _, m := range g.Members {
		busy[m.ID] = true
	}
}

func allStay(g *fleet.Group) bool {
	return !slices.ContainsFunc(g.Members, func(m *fleet.Instance) bool { return m.Draining || m.Group.State == fleet.Broken })
}

// mayReturn tells whether a second copy of a join to the instance may still be
// under way: it could bring the instance back to a group that it has left. The
// lease's record tells whether the planner before sent joins twice.
func (p *Planner) mayReturn(id string, now time.Time) bool {
	return p.inherited[id] && now.Sub(p.started) < lateOrders || now.Sub(p.doubled[id]) < lateOrders
}

// viable tells whether a group that is forming may still become complete.
func (p *Planner) viable(v *fleet.View, f *forming, now time.Time) bool {
	for i, id := range f.members {
		in := v.Instances[id]
		if in == nil || in.Born != f.born[i] || in.Draining || in.Group.Epoch > f.key.Epoch || in.Group.Key() == f.key && in.Group.State == fleet.Broken {
			return false
		}
	}
	return now.Sub(f.since) < p.expected(f)+formPatience
}

// expected is how long the joins of a group should take.
func (p *Planner) expected(f *forming) time.Duration {
	if f.loads > 0 {
		return 2 * f.model.Load // loads slow one another
	}
	return f.model.Warm
}

// tendForming sends joins again that had no effect, and gives groups up that
// can't become complete.
func (p *Planner) tendForming(v *fleet.View, busy map[string]bool, now time.Time) []Order {
	var out []Order
	keys := make([]fleet.Key, 0, len(p.forming))
	for k := range p.forming {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b fleet.Key) int { return cmp.Compare(a.Epoch, b.Epoch) })
	for _, key := range keys {
		f := p.forming[key]
		if !p.viable(v, f, now) {
			delete(p.forming, key)
			continue
		}
		for _, id := range f.members {
			busy[id] = true
			if in := v.Instances[id]; in.Group.Key() != key && p.MayResend != nil && p.MayResend(id) {
				again := p.send(now, p.join(f, in, "join had no effect yet"))
				if len(again) > 0 {
					p.doubled[id] = now
				}
				out = append(out, again...)
			}
		}
	}
	return out
}

func (p *Planner) join(f *forming, in *fleet.Instance, reason string) Order {
	return Order{Op: OpJoin, Instance: in.ID, Address: in.Address, Group: f.key, Model: f.model.Name, Members: f.members, Reason: reason}
}

// send returns the order unless the same one was sent a moment ago.
func (p *Planner) send(now time.Time, o Order) []Order {
	key := sentKey{o.Op, o.Instance, o.Group, o.Model}
	if at, ok := p.sent[key]; ok && now.Sub(at) < resendAfter {
		return nil
	}
	p.sent[key] = now
	if o.Op == OpJoin {
		p.joins[o.Instance] = sentJoin{o.Group, now}
	}
	return []Order{o}
}

// name makes a group's name; the epoch makes it unique.
func name(model string, epoch uint64) string { return fmt.Sprintf("%s-%d", model, epoch) }
