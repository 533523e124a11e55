package group

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"pearlanding/internal/engine"
	"pearlanding/internal/objectapi"
)

// HolderConfig is what a domain's holder runs with.
type HolderConfig struct {
	Self     Holder
	Store    objectapi.Store
	Engines  engine.Controller
	View     View
	Policy   Policy
	Interval time.Duration // between passes
	Lease    time.Duration // oldest proof of holding to send an order on
	Log      *zap.Logger
}

// listEvery is how often the platform's list of a domain's VMs is read.
const listEvery = time.Second

// holder runs one domain while the duty falls to this daemon. One goroutine
// owns all its fields.
type holder struct {
	cfg    HolderConfig
	domain string
	place  string

	current  Copy
	verified time.Time // when the read that proved our hold was sent
	orderAt  time.Time // no order before: the previous holder's may be in flight
	list     []objectapi.VM
	listAt   time.Time
	probes   map[string]Probe
	since    map[string]time.Time
}

// pass makes one round: prove the hold, look, plan, write, order. It reports
// whether it changed anything, so that the next one should follow soon.
func (h *holder) pass(ctx context.Context) (busy bool) {
	if !h.hold(ctx) {
		return false
	}
	h.readList(ctx)
	h.probe(ctx)
	now := time.Now()
	h.noteStates(now)
	next, changed := Plan(h.input(now), h.cfg.Policy)
	if changed && !h.write(ctx, next) {
		return true
	}
	return h.order(ctx) || changed
}

// hold reads the domain object and makes sure that it names us; it reports
// whether we may act. A platform that can't be read means: no acting.
func (h *holder) hold(ctx context.Context) bool {
	sent := time.Now()
	obj, err := h.cfg.Store.Get(ctx, Key(h.domain))
	if errors.Is(err, objectapi.ErrNotFound) {
		h.create(ctx)
		return false
	}
	if err != nil {
		return false
	}
	d, err := DecodeDomain(obj.Value)
	if err != nil {
		h.cfg.Log.Error("domain object unreadable", zap.String("domain", h.domain), zap.Error(err))
		return false
	}
	h.adopt(Copy{obj.Version, d})
	if d.Holder == h.cfg.Self {
		h.verified = sent
		return true
	}
	return h.takeOver(ctx, sent)
}

func (h *holder) create(ctx context.Context) {
	d := NewDomain(h.domain, h.place)
	value, err := d.Encode()
	if err != nil {
		return
	}
	_, _ = h.cfg.Store.Create(ctx, Key(h.domain), value) // the next pass reads what stands
}

// takeOver writes our name and notes from when orders may be sent: the previous
// holder's lease and its last order must have run out.
func (h *holder) takeOver(ctx context.Context, sent time.Time) bool {
	next := h.current.Domain.Clone()
	previous := next.Holder
	next.Holder = h.cfg.Self
	if !h.write(ctx, next) {
		return false
	}
	h.verified = sent
	h.orderAt = time.Now()
	if previous.Slot != "" {
		h.orderAt = h.orderAt.Add(h.cfg.Lease + h.cfg.Policy.OrderTimeout)
	}
	h.cfg.Log.Info("domain taken over", zap.String("domain", h.domain), zap.String("from", previous.Slot))
	return true
}

// write makes one conditional update. After an unknown outcome the next pass
// reads the object and goes on from what stands there.
func (h *holder) write(ctx context.Context, next Domain) bool {
	value, err := next.Encode()
	if err != nil {
		h.cfg.Log.Error("plan refused", zap.String("domain", h.domain), zap.Error(err))
		return false
	}
	version, err := h.cfg.Store.Update(ctx, Key(h.domain), h.current.Version, value)
	if err != nil {
		h.cfg.Log.Debug("domain write", zap.String("domain", h.domain), zap.Error(err))
		return false
	}
	h.logMoves(next)
	h.adopt(Copy{version, next})
	return true
}

func (h *holder) logMoves(next Domain) {
	for id, g := range next.Groups {
		old, was := h.current.Domain.Groups[id]
		if !was || old.State != g.State || old.Epoch != g.Epoch {
			h.cfg.Log.Info("group", zap.String("group", id), zap.Uint64("epoch", g.Epoch), zap.String("pool", g.Pool),
				zap.String("from", string(old.State)), zap.String("to", string(g.State)), zap.String("reason", g.Reason))
		}
	}
}

func (h *holder) adopt(c Copy) {
	h.current = c
	h.cfg.View.PublishDomain(h.domain, c)
}

// readList refreshes the platform's list; an unreadable list stays unknown.
func (h *holder) readList(ctx context.Context) {
	if time.Since(h.listAt) < listEvery {
		return
	}
	list, err := h.cfg.Store.VMs(ctx, h.domain)
	if err != nil {
		h.list = nil
		return
	}
	if list == nil {
		list = []objectapi.VM{}
	}
	h.list, h.listAt = list, time.Now()
}

// probe asks every VM whose state the planner needs: all but the members of
// serving groups, which the probers watch.
func (h *holder) probe(ctx context.Context) {
	addresses := map[string]string{}
	for name, record := range h.current.Domain.VMs {
		if g, used := h.current.Domain.GroupOf(name); used && g.State == StateServing {
			delete(h.probes, name)
			continue
		}
		addresses[name] = record.Address
	}
	for name := range h.probes {
		if _, known := addresses[name]; !known {
			delete(h.probes, name)
		}
	}
	probeAll(ctx, h.cfg.Engines, addresses, h.cfg.Interval, h.probes)
}

// noteStates remembers when each epoch was first seen in its state.
func (h *holder) noteStates(now time.Time) {
	seen := map[string]time.Time{}
	for _, g := range h.current.Domain.Groups {
		key := SinceKey(g)
		if at, ok := h.since[key]; ok {
			seen[key] = at
		} else {
			seen[key] = now
		}
	}
	h.since = seen
}

func (h *holder) input(now time.Time) Input {
	pools := h.cfg.View.Pools()
	domains := h.cfg.View.Domains()
	all := make([]Domain, 0, len(domains))
	for name, c := range domains {
		if name != h.domain {
			all = append(all, c.Domain)
		}
	}
	all = append(all, h.current.Domain)
	sortDomains(all)
	return Input{
		Domain: h.current.Domain, Pools: pools, Want: Allocate(pools, all)[h.domain], List: h.list,
		Probes: h.probes, Evidence: h.cfg.View.Evidence(), Since: h.since, OrderFrom: h.orderAt, Now: now,
	}
}

// order tells the engines what the written domain wants of them, and reports
// whether there was anything to tell.
func (h *holder) order(ctx context.Context) bool {
	orders := Orders(h.current.Domain, h.probes)
	ctx, cancel := context.WithTimeout(ctx, h.cfg.Policy.OrderTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for vm, assignment := range orders {
		address := h.current.Domain.VMs[vm].Address
		wg.Go(func() {
			if !h.mayOrder() {
				return
			}
			err := h.cfg.Engines.Order(ctx, address, engine.Order{Fence: h.current.Version, Assignment: assignment})
			if err != nil {
				h.cfg.Log.Debug("order", zap.String("vm", vm), zap.Error(err))
			}
		})
	}
	wg.Wait()
	return len(orders) > 0
}

// mayOrder tells, right before an order is sent, whether our hold is proven
// recently enough that no successor can be sending orders yet.
func (h *holder) mayOrder() bool {
	now := time.Now()
	return now.Sub(h.verified) < h.cfg.Lease && !now.Before(h.orderAt)
}
