// Package formation decides which instances form which groups and carries that
// out by orders. Planner is pure: it looks at a view, a model service's engine
// and the time, keeps only what it ordered itself, and returns orders. Manager
// runs it on the daemon that holds the lease.
//
// Safety does not rest on the lease but on the orders themselves: an epoch is
// higher than any that was given before, so a late join is refused by whoever
// has seen a newer one; an instance joins another group only after the head of
// its old one has left it, is broken, or is surely dead; a group opens only after
// each of its members has told that it is ready.
package formation

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"pearlanding/internal/fleet"
	"pearlanding/internal/routes"
)

// Op is what an order asks of an instance.
type Op string

// Orders.
const (
	OpJoin  Op = "join"
	OpOpen  Op = "open"
	OpClose Op = "close" // finishing what is in progress
	OpLeave Op = "leave"
	OpStage Op = "stage" // load a model to the host, alongside everything else
)

// Order is one order to one instance.
type Order struct {
	Op       Op
	Instance string
	Address  string
	Group    fleet.Key
	Model    string
	Members  []string // of a join; the first is the head
	Reason   string   // for the log
}

// Times of the planner.
const (
	// resendAfter is how long an order may go without a visible effect before it is
	// sent again. Orders and entries take some milliseconds; the view is up to a
	// quarter of a second old.
	resendAfter = 1500 * time.Millisecond
	// formPatience is how long a group may form beyond what its loads should take.
	formPatience = 8 * time.Second
	// lateOrders is how long an order without an answer may still be carried out.
	// Source: up to 12 s were seen; one second is added.
	lateOrders = 13 * time.Second
	// lapseMargin covers clocks and the view's age when a head that fell silent is
	// taken for dead.
	lapseMargin = time.Second
)

// Limits are the deployment's bounds on planning.
type Limits struct {
	Stall     time.Duration // until a group that lost a member is broken
	Heartbeat time.Duration
}

// forming is a group this planner has ordered to join and not yet seen open.
type forming struct {
	key     fleet.Key
	model   routes.Model
	members []string
	since   time.Time
	loads   int // members that load from the weight store
}

// Planner plans the groups of one service. One goroutine owns it.
type Planner struct {
	Service  string
	Limits   Limits
	term     uint64 // of the lease
	count    uint64 // epochs given in this term
	started  time.Time
	forming  map[fleet.Key]*forming
	sent     map[sentKey]time.Time
	opened   map[fleet.Key]bool
	staging  map[string]staging      // by instance
	given    map[string]string       // model of each domain
	closing  map[fleet.Key]time.Time // when a group was first asked to close
	heads    map[fleet.Key]string    // last known head of each group
	headless map[fleet.Key]time.Time
}

type sentKey struct {
	op       Op
	instance string
	group    fleet.Key
	model    string
}

// NewPlanner returns a planner for one term of the lease. term must be higher
// than every earlier one.
func NewPlanner(service string, term uint64, limits Limits, now time.Time) *Planner {
	return &Planner{Service: service, Limits: limits, term: term, started: now,
		forming: map[fleet.Key]*forming{}, sent: map[sentKey]time.Time{}, opened: map[fleet.Key]bool{},
		staging: map[string]staging{}, given: map[string]string{}, closing: map[fleet.Key]time.Time{}, heads: map[fleet.Key]string{}, headless: map[fleet.Key]time.Time{}}
}

// epochsPerTerm is how many epochs one term can give.
const epochsPerTerm = 1 << 12

// nextEpoch returns an epoch above all given before: terms rise, and so do the
// epochs within one.
func (p *Planner) nextEpoch() uint64 {
	p.count++
	return p.term*epochsPerTerm + min(p.count, epochsPerTerm-1)
}

// Plan returns the orders to send now.
func (p *Planner) Plan(v *fleet.View, engine *routes.Engine, now time.Time) []Order {
	var out []Order
	p.note(v, now)
	busy := map[string]bool{}
	for _, key := range sortedKeys(v) {
		out = append(out, p.tend(v, v.Groups[key], busy, now)...)
	}
	out = append(out, p.tendForming(v, busy, now)...)
	out = append(out, p.form(v, engine, busy, now)...)
	return out
}

func sortedKeys(v *fleet.View) []fleet.Key {
	keys := make([]fleet.Key, 0, len(v.Groups))
	for k := range v.Groups {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b fleet.Key) int { return cmp.Or(cmp.Compare(a.Epoch, b.Epoch), cmp.Compare(a.Name, b.Name)) })
	return keys
}

// note remembers heads and since when a group has none.
func (p *Planner) note(v *fleet.View, now time.Time) {
	for key, g := range v.Groups {
		if g.Head != nil {
			p.heads[key] = g.Head.ID
			delete(p.headless, key)
		} else if _, ok := p.headless[key]; !ok {
			p.headless[key] = now
		}
	}
	for key := range p.headless {
		if v.Groups[key] == nil {
			delete(p.headless, key)
		}
	}
	for key, at := range p.sent {
		if now.Sub(at) > lateOrders {
			delete(p.sent, key)
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
		p.opened[g.Key] = true
		hold(g, busy)
		return nil
	case g.Complete() && g.Head.Group.State == fleet.Ready:
		hold(g, busy)
		p.opened[g.Key] = true
		return p.send(now, Order{Op: OpOpen, Instance: g.Head.ID, Address: g.Head.Address, Group: g.Key, Reason: "all members ready"})
	case g.Complete():
		hold(g, busy) // closing; comes to ready by itself
		return nil
	case f != nil && p.viable(v, f, now):
		for _, id := range f.members {
			busy[id] = true
		}
		return nil
	case f == nil && len(g.Members) == g.Size && allStay(g) && now.Sub(p.started) < lateOrders:
		hold(g, busy) // an earlier holder's group that is still joining
		return nil
	}
	delete(p.forming, g.Key)
	return p.dissolve(v, g, busy, now)
}

func hold(g *fleet.Group, busy map[string]bool) {
	for _, m := range g.Members {
		busy[m.ID] = true
	}
}

func allStay(g *fleet.Group) bool {
	return !slices.ContainsFunc(g.Members, func(m *fleet.Instance) bool { return m.Draining || m.Group.State == fleet.Broken })
}

// dissolve frees the members of a group that can't serve. The head goes first:
// once it has left, no late order can open the group again.
func (p *Planner) dissolve(v *fleet.View, g *fleet.Group, busy map[string]bool, now time.Time) []Order {
	if g.Head == nil {
		if !p.headGone(v, g, now) {
			hold(g, busy)
		}
		return nil
	}
	state := g.Head.Group.State
	if state == fleet.Broken || (state == fleet.Ready || state == fleet.Joining) && !p.opened[g.Key] && now.Sub(p.started) > lateOrders {
		return nil
	}
	hold(g, busy)
	head := Order{Instance: g.Head.ID, Address: g.Head.Address, Group: g.Key}
	if state == fleet.Open && g.Size == len(g.Members) && !p.closedLong(g, now) {
		if _, ok := p.closing[g.Key]; !ok {
			p.closing[g.Key] = now
		}
		head.Op, head.Reason = OpClose, "a member leaves"
		return p.send(now, head)
	}
	if state == fleet.Closing && g.Size == len(g.Members) && !p.closedLong(g, now) {
		return nil
	}
	head.Op, head.Reason = OpLeave, "group is not complete"
	return p.send(now, head)
}

// closePatience is how long a group that loses a member to a planned leave may
// finish its streams. Source: a leaving member stays 10 s at most for its head.
const closePatience = 8 * time.Second

// closedLong tells whether the group was asked to close long ago.
func (p *Planner) closedLong(g *fleet.Group, now time.Time) bool {
	at, ok := p.closing[g.Key]
	return ok && now.Sub(at) > closePatience
}

// headGone tells whether a group's head surely serves no more: its entry shows it
// elsewhere, or it fell silent so long ago that the group is broken in any case.
func (p *Planner) headGone(v *fleet.View, g *fleet.Group, now time.Time) bool {
	if id, ok := p.heads[g.Key]; ok && v.Instances[id] != nil {
		return true // in the view, but not in this group
	}
	// The entry went after three silent heartbeats, so the silence began at least
	// two of them before that.
	wait := p.Limits.Stall - 2*p.Limits.Heartbeat + lapseMargin
	return now.Sub(p.headless[g.Key]) >= max(wait, 0)
}

// viable tells whether a group that is forming may still become complete.
func (p *Planner) viable(v *fleet.View, f *forming, now time.Time) bool {
	for _, id := range f.members {
		in := v.Instances[id]
		if in == nil || in.Draining || in.Group.Epoch > f.key.Epoch || in.Group.Key() == f.key && in.Group.State == fleet.Broken {
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
			if in := v.Instances[id]; in.Group.Key() != key {
				out = append(out, p.send(now, p.join(f, in, "join had no effect yet"))...)
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
	return []Order{o}
}

// name makes a group's name; the epoch makes it unique.
func name(model string, epoch uint64) string { return fmt.Sprintf("%s-%d", model, epoch) }
