package group

import (
	"context"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"

	"pearlanding/internal/catalog"
	"pearlanding/internal/engine"
)

// Copy is a domain object with its version.
type Copy struct {
	Version uint64
	Domain  Domain
}

// View is what the group duties see of the rest of the daemon. All returned
// values are immutable snapshots.
type View interface {
	// Domains returns the newest known copy of each domain object.
	Domains() map[string]Copy
	// Evidence returns the freshest known evidence of each group.
	Evidence() map[string]Evidence
	// Pools returns the pools of the configuration in force.
	Pools() []catalog.Pool
	// Owns tells whether this daemon is among the first n live ones for a duty.
	Owns(duty string, n int) bool
	// PublishDomain hands in a domain object as read or written.
	PublishDomain(name string, c Copy)
	// PublishEvidence hands in evidence from this daemon's own probes.
	PublishEvidence(list []Evidence)
}

// probeAll probes the VMs at once and returns when each has answered or failed.
func probeAll(ctx context.Context, c engine.Controller, addresses map[string]string, timeout time.Duration, probes map[string]Probe) {
	var (
		mu sync.Mutex
		wg sync.WaitGroup
	)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for vm, address := range addresses {
		wg.Go(func() {
			sent := time.Now()
			status, err := c.Status(ctx, address)
			mu.Lock()
			defer mu.Unlock()
			if err != nil || status.VM != vm {
				probes[vm] = probes[vm].Failed(sent, errors.Is(err, syscall.ECONNREFUSED))
				return
			}
			probes[vm] = probes[vm].Answered(status, sent)
		})
	}
	wg.Wait()
}

// probersPerGroup is how many daemons probe each serving group, so that evidence
// stays fresh while a prober's duties move.
const probersPerGroup = 2

// Prober probes the members of the serving groups that fall to this daemon and
// publishes evidence of them.
type Prober struct {
	Engines  engine.Controller
	View     View
	Interval time.Duration
	MaxAge   time.Duration // of evidence
	probes   map[string]Probe
}

// Run probes until ctx ends.
func (p *Prober) Run(ctx context.Context) {
	p.probes = map[string]Probe{}
	ticker := time.NewTicker(p.Interval)
	defer ticker.Stop()
	for {
		p.round(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (p *Prober) round(ctx context.Context) {
	groups := p.mine()
	addresses := map[string]string{}
	for _, g := range groups {
		for _, m := range g.Members {
			addresses[m.VM] = m.Address
		}
	}
	for vm := range p.probes {
		if _, still := addresses[vm]; !still {
			delete(p.probes, vm)
		}
	}
	probeAll(ctx, p.Engines, addresses, p.Interval, p.probes)
	now := time.Now()
	var out []Evidence
	for _, g := range groups {
		out = append(out, Assess(g, p.probes, now, p.MaxAge))
	}
	if len(out) > 0 {
		p.View.PublishEvidence(out)
	}
}

// mine lists the groups to probe.
func (p *Prober) mine() []Group {
	var out []Group
	for _, c := range p.View.Domains() {
		for id, g := range c.Domain.Groups {
			if (g.State == StateServing || g.State == StateDraining) && p.View.Owns("probe/"+id, probersPerGroup) {
				out = append(out, g)
			}
		}
	}
	return out
}
