package group

import (
	"cmp"
	"context"
	"slices"
	"time"

	"go.uber.org/zap"
)

// Manager runs a holder for each fabric domain that falls to this daemon.
type Manager struct {
	cfg    HolderConfig
	active map[string]context.CancelFunc
	// loaded: all domain objects have been read once. Planning before that could
	// form groups that exist elsewhere.
	loaded bool
}

// NewManager returns a manager that holds nothing yet.
func NewManager(cfg HolderConfig) *Manager {
	return &Manager{cfg: cfg, active: map[string]context.CancelFunc{}}
}

// Run takes up and gives up domains as the duties move, until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	ticker := time.NewTicker(m.cfg.Interval)
	defer ticker.Stop()
	var lastList time.Time
	for {
		if !m.loaded {
			m.load(ctx)
		}
		if m.cfg.View.Owns("vm-list", 1) && time.Since(lastList) >= listEvery {
			lastList = time.Now()
			m.discover(ctx)
		}
		if m.loaded {
			m.assign(ctx)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// load reads all domain objects.
func (m *Manager) load(ctx context.Context) {
	objects, err := m.cfg.Store.List(ctx, KeyPrefix)
	if err != nil {
		return
	}
	for _, obj := range objects {
		d, err := DecodeDomain(obj.Value)
		if err != nil {
			m.cfg.Log.Error("domain object unreadable", zap.String("key", obj.Key), zap.Error(err))
			continue
		}
		m.cfg.View.PublishDomain(d.Name, Copy{obj.Version, d})
	}
	m.loaded = true
}

// discover makes an object for each domain that the platform's list names.
func (m *Manager) discover(ctx context.Context) {
	list, err := m.cfg.Store.VMs(ctx, "")
	if err != nil {
		m.cfg.Log.Debug("VM list", zap.Error(err))
		return
	}
	known := m.cfg.View.Domains()
	for _, vm := range list {
		if _, ok := known[vm.Domain]; !ok {
			known = addKnown(known, vm.Domain)
			h := &holder{cfg: m.cfg, domain: vm.Domain, place: vm.Place}
			h.create(ctx)
			h.read(ctx)
		}
	}
}

func addKnown(known map[string]Copy, domain string) map[string]Copy {
	out := make(map[string]Copy, len(known)+1)
	for k, v := range known {
		out[k] = v
	}
	out[domain] = Copy{}
	return out
}

// read publishes the object as it stands.
func (h *holder) read(ctx context.Context) {
	obj, err := h.cfg.Store.Get(ctx, Key(h.domain))
	if err != nil {
		return
	}
	if d, err := DecodeDomain(obj.Value); err == nil {
		h.adopt(Copy{obj.Version, d})
	}
}

// assign starts and stops holders.
func (m *Manager) assign(ctx context.Context) {
	for name, c := range m.cfg.View.Domains() {
		mine := m.cfg.View.Owns("domain/"+name, 1)
		stop, running := m.active[name]
		switch {
		case mine && !running:
			holderCtx, cancel := context.WithCancel(ctx)
			m.active[name] = cancel
			h := &holder{cfg: m.cfg, domain: name, place: c.Domain.Place, probes: map[string]Probe{}}
			go h.run(holderCtx)
		case !mine && running:
			stop()
			delete(m.active, name)
		}
	}
}

// hurry divides the interval to the next pass after one that changed something:
// the engines' answers are waited for.
const hurry = 5

func (h *holder) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		if h.pass(ctx) {
			timer.Reset(h.cfg.Interval / hurry)
		} else {
			timer.Reset(h.cfg.Interval)
		}
	}
}

func sortDomains(list []Domain) {
	slices.SortFunc(list, func(a, b Domain) int { return cmp.Compare(a.Name, b.Name) })
}
