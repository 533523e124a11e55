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

// VersionedDomain is a domain together with the version of its platform object.
type VersionedDomain struct {
	Version uint64
	Domain  Domain
}

// View gives the reconcilers and probers access to the daemon's control state. All
// returned values are immutable snapshots.
type View interface {
	// Domains returns the newest known copy of each domain object.
	Domains() map[string]VersionedDomain
	// Evidence returns the freshest known evidence of each group.
	Evidence() map[string]Evidence
	// Pools returns the pools of the configuration in force.
	Pools() []catalog.Pool
	// Owns reports whether this daemon is among the n live daemons that a duty is
	// assigned to. A duty is a unit of background work, identified by a name such as
	// "probe/GROUP".
	Owns(duty string, n int) bool
	// PublishDomain passes on a domain object that was read or written.
	PublishDomain(name string, c VersionedDomain)
	// PublishEvidence passes on evidence from this daemon's own probes.
	PublishEvidence(list []Evidence)
}

// probeAll probes the VMs concurrently, records the results in probes and returns
// when each has answered or failed. An answer by another VM counts as a failure.
func probeAll(ctx context.Context, c engine.Controller, addresses map[string]string, timeout time.Duration, probes map[string]ProbeState) {
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
				probes[vm] = probes[vm].WithFailure(sent, errors.Is(err, syscall.ECONNREFUSED))
				return
			}
			probes[vm] = probes[vm].WithAnswer(status, sent)
		})
	}
	wg.Wait()
}

// probersPerGroup is the number of daemons that probe each group: with two, evidence
// stays fresh while one of the two duties moves to another daemon.
const probersPerGroup = 2

// Prober probes the members of the serving and draining groups that this daemon is
// assigned and publishes the evidence.
type Prober struct {
	Engines  engine.Controller
	View     View
	Interval time.Duration // between rounds, and the timeout of a round's probes
	MaxAge   time.Duration // a member without an answer for longer may count as lost
	probes   map[string]ProbeState
}

// Run probes until ctx ends.
func (p *Prober) Run(ctx context.Context) {
	p.probes = map[string]ProbeState{}
	ticker := time.NewTicker(p.Interval)
	defer ticker.Stop()
	for {
		p.probeOnce(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (p *Prober) probeOnce(ctx context.Context) {
	groups := p.ownedGroups()
	addresses := map[string]string{}
	for _, g := range groups {
		for _, m := range g.Members {
			addresses[m.VM] = m.Address
		}
	}
	for vm := range p.probes {
		if _, needed := addresses[vm]; !needed {
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

// ownedGroups lists the groups that this daemon probes.
func (p *Prober) ownedGroups() []Group {
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
