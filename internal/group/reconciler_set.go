package group

import (
	"cmp"
	"context"
	"slices"
	"time"

	"go.uber.org/zap"
)

// ReconcilerSet runs a reconciler for each fabric domain that this daemon owns.
type ReconcilerSet struct {
	cfg     ReconcilerConfig
	cancels map[string]context.CancelFunc // by domain: stops its reconciler
	// loaded is set once all domain objects have been read. Planning before that
	// could form groups that already exist in other domains.
	loaded bool
}

// NewReconcilerSet returns a ReconcilerSet without reconcilers; Run starts them.
func NewReconcilerSet(cfg ReconcilerConfig) *ReconcilerSet {
	return &ReconcilerSet{cfg: cfg, cancels: map[string]context.CancelFunc{}}
}

// Run starts and stops reconcilers as the ownership of domains moves between
// daemons. It returns when ctx ends.
func (m *ReconcilerSet) Run(ctx context.Context) {
	ticker := time.NewTicker(m.cfg.Interval)
	defer ticker.Stop()
	var vmListReadAt time.Time
	for {
		if !m.loaded {
			m.load(ctx)
		}
		if m.cfg.View.Owns("vm-list", 1) && time.Since(vmListReadAt) >= vmListInterval {
			vmListReadAt = time.Now()
			m.createMissingDomains(ctx)
		}
		if m.loaded {
			m.syncReconcilers(ctx)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// load reads and publishes all domain objects.
func (m *ReconcilerSet) load(ctx context.Context) {
	objects, err := m.cfg.Store.List(ctx, KeyPrefix)
	if err != nil {
		return
	}
	for _, obj := range objects {
		d, err := DecodeDomain(obj.Value)
		if err != nil {
			m.cfg.Log.Error("cannot decode domain object", zap.String("key", obj.Key), zap.Error(err))
			continue
		}
		m.cfg.View.PublishDomain(d.Name, VersionedDomain{obj.Version, d})
	}
	m.loaded = true
}

// createMissingDomains creates an object for each domain that appears in the
// platform's VM list but has no known object.
func (m *ReconcilerSet) createMissingDomains(ctx context.Context) {
	list, err := m.cfg.Store.VMs(ctx, "")
	if err != nil {
		m.cfg.Log.Debug("VM list not read", zap.Error(err))
		return
	}
	known := m.cfg.View.Domains()
	for _, vm := range list {
		if _, ok := known[vm.Domain]; !ok {
			known = withDomain(known, vm.Domain)
			r := &reconciler{cfg: m.cfg, domain: vm.Domain, place: vm.Place}
			r.create(ctx)
			r.refresh(ctx)
		}
	}
}

// withDomain returns a copy of known with an empty entry for the domain added; known
// is an immutable snapshot.
func withDomain(known map[string]VersionedDomain, domain string) map[string]VersionedDomain {
	out := make(map[string]VersionedDomain, len(known)+1)
	for k, v := range known {
		out[k] = v
	}
	out[domain] = VersionedDomain{}
	return out
}

// refresh reads the domain object and publishes it.
func (r *reconciler) refresh(ctx context.Context) {
	obj, err := r.cfg.Store.Get(ctx, Key(r.domain))
	if err != nil {
		return
	}
	if d, err := DecodeDomain(obj.Value); err == nil {
		r.setCurrent(VersionedDomain{obj.Version, d})
	}
}

// syncReconcilers starts reconcilers for domains that this daemon owns and stops
// those of domains that it no longer owns.
func (m *ReconcilerSet) syncReconcilers(ctx context.Context) {
	for name, c := range m.cfg.View.Domains() {
		owned := m.cfg.View.Owns("domain/"+name, 1)
		stop, running := m.cancels[name]
		switch {
		case owned && !running:
			reconcilerCtx, cancel := context.WithCancel(ctx)
			m.cancels[name] = cancel
			r := &reconciler{cfg: m.cfg, domain: name, place: c.Domain.Place, probes: map[string]ProbeState{}}
			go r.run(reconcilerCtx)
		case !owned && running:
			stop()
			delete(m.cancels, name)
		}
	}
}

// busyIntervalDivisor shortens the interval after a pass that had something to do,
// since the engines' answers are due soon.
const busyIntervalDivisor = 5

// run makes passes until ctx ends.
func (r *reconciler) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		if r.reconcile(ctx) {
			timer.Reset(r.cfg.Interval / busyIntervalDivisor)
		} else {
			timer.Reset(r.cfg.Interval)
		}
	}
}

func sortDomains(list []Domain) {
	slices.SortFunc(list, func(a, b Domain) int { return cmp.Compare(a.Name, b.Name) })
}
