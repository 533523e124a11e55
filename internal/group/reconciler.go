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

// ReconcilerConfig configures the reconcilers of the domains that this daemon holds.
type ReconcilerConfig struct {
	Self     Holder
	Store    objectapi.Store
	Engines  engine.Controller
	View     View
	Policy   Policy
	Interval time.Duration // between passes, and the timeout of a pass's probes
	// Lease is how long this daemon may send orders after the last read that showed it
	// as holder.
	Lease time.Duration
	Log   *zap.Logger
}

// vmListInterval is the interval between reads of the platform's VM list.
const vmListInterval = time.Second

// reconciler drives one domain towards its desired state while this daemon owns the
// domain. All its fields belong to one goroutine.
type reconciler struct {
	cfg    ReconcilerConfig
	domain string
	place  string

	current      VersionedDomain
	verifiedAt   time.Time // send time of the last read that showed this daemon as holder
	orderFrom    time.Time // no orders before this: an order of the previous holder may be in flight
	vmList       []objectapi.VM
	vmListReadAt time.Time
	probes       map[string]ProbeState
	stateSince   map[string]time.Time // by StateKey: when the state was first seen
}

// reconcile makes one pass: verify the holder, observe, plan, write, send orders. It
// reports whether there was anything to do, in which case the next pass comes sooner.
func (r *reconciler) reconcile(ctx context.Context) (busy bool) {
	if !r.ensureHolder(ctx) {
		return false
	}
	r.refreshVMList(ctx)
	r.probeUnwatched(ctx)
	now := time.Now()
	r.trackStates(now)
	next, changed := Plan(r.planInput(now), r.cfg.Policy)
	if changed && !r.write(ctx, next) {
		return true
	}
	return r.sendOrders(ctx) || changed
}

// ensureHolder reads the domain object and, if it names another holder, takes the
// domain over. It reports whether this daemon is the holder; false if the platform
// can't be read.
func (r *reconciler) ensureHolder(ctx context.Context) bool {
	sent := time.Now()
	obj, err := r.cfg.Store.Get(ctx, Key(r.domain))
	if errors.Is(err, objectapi.ErrNotFound) {
		r.create(ctx)
		return false
	}
	if err != nil {
		return false
	}
	d, err := DecodeDomain(obj.Value)
	if err != nil {
		r.cfg.Log.Error("cannot decode domain object", zap.String("domain", r.domain), zap.Error(err))
		return false
	}
	r.setCurrent(VersionedDomain{obj.Version, d})
	if d.Holder == r.cfg.Self {
		r.verifiedAt = sent
		return true
	}
	return r.takeOver(ctx, sent)
}

// create creates the domain object without VMs and groups. Errors are ignored: the
// next pass reads the stored object or tries again.
func (r *reconciler) create(ctx context.Context) {
	d := NewDomain(r.domain, r.place)
	value, err := d.Encode()
	if err != nil {
		return
	}
	_, _ = r.cfg.Store.Create(ctx, Key(r.domain), value)
}

// takeOver makes this daemon the holder and sets orderFrom to the time by which the
// previous holder's lease and its last order in flight have expired.
func (r *reconciler) takeOver(ctx context.Context, sent time.Time) bool {
	next := r.current.Domain.Clone()
	previous := next.Holder
	next.Holder = r.cfg.Self
	if !r.write(ctx, next) {
		return false
	}
	r.verifiedAt = sent
	r.orderFrom = time.Now()
	if previous.Slot != "" {
		r.orderFrom = r.orderFrom.Add(r.cfg.Lease + r.cfg.Policy.OrderTimeout)
	}
	r.cfg.Log.Info("domain taken over", zap.String("domain", r.domain), zap.String("from", previous.Slot))
	return true
}

// write makes one conditional update and reports whether it succeeded. After an
// unknown outcome the next pass continues from the stored object.
func (r *reconciler) write(ctx context.Context, next Domain) bool {
	value, err := next.Encode()
	if err != nil {
		r.cfg.Log.Error("planned domain not written", zap.String("domain", r.domain), zap.Error(err))
		return false
	}
	version, err := r.cfg.Store.Update(ctx, Key(r.domain), r.current.Version, value)
	if err != nil {
		r.cfg.Log.Debug("domain object not written", zap.String("domain", r.domain), zap.Error(err))
		return false
	}
	r.logTransitions(next)
	r.setCurrent(VersionedDomain{version, next})
	return true
}

func (r *reconciler) logTransitions(next Domain) {
	for id, g := range next.Groups {
		old, existed := r.current.Domain.Groups[id]
		if !existed || old.State != g.State || old.Epoch != g.Epoch {
			r.cfg.Log.Info("group", zap.String("group", id), zap.Uint64("epoch", g.Epoch), zap.String("pool", g.Pool),
				zap.String("from", string(old.State)), zap.String("to", string(g.State)), zap.String("reason", g.Reason))
		}
	}
}

func (r *reconciler) setCurrent(c VersionedDomain) {
	r.current = c
	r.cfg.View.PublishDomain(r.domain, c)
}

// refreshVMList reads the platform's VM list if it is due. After a failed read the
// list is unknown (nil).
func (r *reconciler) refreshVMList(ctx context.Context) {
	if time.Since(r.vmListReadAt) < vmListInterval {
		return
	}
	list, err := r.cfg.Store.VMs(ctx, r.domain)
	if err != nil {
		r.vmList = nil
		return
	}
	if list == nil {
		list = []objectapi.VM{}
	}
	r.vmList, r.vmListReadAt = list, time.Now()
}

// probeUnwatched probes all VMs except the members of serving groups, which the
// probers cover.
func (r *reconciler) probeUnwatched(ctx context.Context) {
	addresses := map[string]string{}
	for name, record := range r.current.Domain.VMs {
		if g, used := r.current.Domain.GroupOf(name); used && g.State == StateServing {
			delete(r.probes, name)
			continue
		}
		addresses[name] = record.Address
	}
	for name := range r.probes {
		if _, known := addresses[name]; !known {
			delete(r.probes, name)
		}
	}
	probeAll(ctx, r.cfg.Engines, addresses, r.cfg.Interval, r.probes)
}

// trackStates records when each epoch was first seen in its current state.
func (r *reconciler) trackStates(now time.Time) {
	seen := map[string]time.Time{}
	for _, g := range r.current.Domain.Groups {
		key := StateKey(g)
		if at, ok := r.stateSince[key]; ok {
			seen[key] = at
		} else {
			seen[key] = now
		}
	}
	r.stateSince = seen
}

func (r *reconciler) planInput(now time.Time) Input {
	pools := r.cfg.View.Pools()
	domains := r.cfg.View.Domains()
	allDomains := make([]Domain, 0, len(domains))
	for name, c := range domains {
		if name != r.domain {
			allDomains = append(allDomains, c.Domain)
		}
	}
	allDomains = append(allDomains, r.current.Domain)
	sortDomains(allDomains)
	return Input{
		Domain: r.current.Domain, Pools: pools, Want: Allocate(pools, allDomains)[r.domain], VMList: r.vmList,
		Probes: r.probes, Evidence: r.cfg.View.Evidence(), StateSince: r.stateSince, OrderFrom: r.orderFrom, Now: now,
	}
}

// sendOrders sends the orders that the written domain requires and reports whether
// there were any.
func (r *reconciler) sendOrders(ctx context.Context) bool {
	orders := Orders(r.current.Domain, r.probes)
	ctx, cancel := context.WithTimeout(ctx, r.cfg.Policy.OrderTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for vm, assignment := range orders {
		address := r.current.Domain.VMs[vm].Address
		wg.Go(func() {
			if !r.mayOrder() {
				return
			}
			err := r.cfg.Engines.Order(ctx, address, engine.Order{Fence: r.current.Version, Assignment: assignment})
			if err != nil {
				r.cfg.Log.Debug("order", zap.String("vm", vm), zap.Error(err))
			}
		})
	}
	wg.Wait()
	return len(orders) > 0
}

// mayOrder reports whether an order may be sent now: the last read that showed this
// daemon as holder is recent enough that no successor can send orders yet, and no
// order of a previous holder is in flight. It is called right before each order.
func (r *reconciler) mayOrder() bool {
	now := time.Now()
	return now.Sub(r.verifiedAt) < r.cfg.Lease && !now.Before(r.orderFrom)
}
