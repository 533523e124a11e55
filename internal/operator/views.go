package operator

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"pearlanding/internal/control"
	"pearlanding/internal/group"
	"pearlanding/internal/problem"
)

// VMView shows one upstream VM.
type VMView struct {
	Name         string       `json:"name"`
	Place        string       `json:"place"`
	Domain       string       `json:"domain"`
	Address      string       `json:"address"`
	Accelerators int          `json:"accelerators"`
	Intent       group.Intent `json:"intent,omitempty"`
	Leaving      bool         `json:"leaving,omitempty"` // the platform is about to remove the VM
	Gone         bool         `json:"gone,omitempty"`    // the platform no longer lists the VM
	Group        string       `json:"group,omitempty"`
	GroupState   group.State  `json:"group_state,omitempty"`
	// Running is how many requests the VM's group has in progress, by its last report.
	Running int `json:"running"`
}

func (o *Operator) vmViews() []VMView {
	snap := o.Control.Snapshot()
	out := []VMView{}
	for _, c := range snap.Domains {
		for name, record := range c.Domain.VMs {
			v := VMView{Name: name, Place: c.Domain.Place, Domain: c.Domain.Name, Address: record.Address,
				Accelerators: record.Accelerators, Intent: record.Intent, Leaving: record.Leaving, Gone: record.Gone}
			if g, used := c.Domain.GroupOf(name); used {
				v.Group, v.GroupState = g.ID, g.State
				v.Running = snap.Evidence[g.ID].Running
			}
			out = append(out, v)
		}
	}
	sortBy(out, func(v VMView) string { return v.Name })
	return out
}

func sortBy[T any](list []T, key func(T) string) {
	slices.SortFunc(list, func(a, b T) int { return cmp.Compare(key(a), key(b)) })
}

func (o *Operator) listVMs(_ context.Context, c *app.RequestContext) *problem.Problem {
	c.JSON(http.StatusOK, o.vmViews())
	return nil
}

// GroupView shows one group.
type GroupView struct {
	ID      string         `json:"id"`
	Pool    string         `json:"pool"`
	Place   string         `json:"place"`
	Domain  string         `json:"domain"`
	Epoch   uint64         `json:"epoch"`
	State   group.State    `json:"state"`
	Reason  string         `json:"reason,omitempty"`
	Members []group.Member `json:"members"`
	// ReadyAgeMS is the age of the last evidence that all members were ready; -1: none.
	ReadyAgeMS int64 `json:"ready_age_ms"`
	Running    int   `json:"running"`
	Queued     int   `json:"queued"`
	Slots      int   `json:"slots"`
}

func (o *Operator) groupViews() []GroupView {
	snap, now := o.Control.Snapshot(), time.Now()
	out := []GroupView{}
	for _, c := range snap.Domains {
		for id, g := range c.Domain.Groups {
			v := GroupView{ID: id, Pool: g.Pool, Place: c.Domain.Place, Domain: c.Domain.Name, Epoch: g.Epoch,
				State: g.State, Reason: g.Reason, Members: g.Members, ReadyAgeMS: -1}
			if e, ok := snap.Evidence[id]; ok && e.Epoch == g.Epoch {
				v.Running, v.Queued, v.Slots = e.Running, e.Queued, e.Slots
				if !e.ReadyAt.IsZero() {
					v.ReadyAgeMS = now.Sub(e.ReadyAt).Milliseconds()
				}
			}
			out = append(out, v)
		}
	}
	sortBy(out, func(v GroupView) string { return v.ID })
	return out
}

func (o *Operator) listGroups(_ context.Context, c *app.RequestContext) *problem.Problem {
	c.JSON(http.StatusOK, o.groupViews())
	return nil
}

// DaemonView shows one daemon as the answering daemon knows it.
type DaemonView struct {
	Slot          string            `json:"slot"`
	State         control.PeerState `json:"state"`
	Revision      uint64            `json:"revision"`
	Incarnation   string            `json:"incarnation"`
	Place         string            `json:"place"`
	LastContactMS int64             `json:"heard_ms_ago"` // age of the last contact; -1: none
}

// DomainView summarises one fabric domain.
type DomainView struct {
	Name    string              `json:"name"`
	Place   string              `json:"place"`
	Holder  string              `json:"holder"`
	Version uint64              `json:"version"`
	VMs     int                 `json:"vms"`
	Groups  map[group.State]int `json:"groups"`
	// AcceleratorsNotServing counts the accelerators of present VMs in no serving group.
	AcceleratorsNotServing int `json:"accelerators_not_serving"`
}

// PoolView shows how many replicas of a pool are wanted and serving.
type PoolView struct {
	Name    string `json:"name"`
	Wanted  int    `json:"wanted"`
	Serving int    `json:"serving"`
}

// StatusView shows the system as the answering daemon knows it.
type StatusView struct {
	Daemon        string       `json:"daemon"`
	Admitting     bool         `json:"admitting"`
	Revision      uint64       `json:"revision"`
	Accepted      uint64       `json:"accepted"`
	WaitingFor    []string     `json:"waiting_for,omitempty"`
	PlatformAgeMS int64        `json:"platform_evidence_age_ms"` // -1: none yet
	InFlight      int64        `json:"in_flight"`
	Daemons       []DaemonView `json:"daemons"`
	Domains       []DomainView `json:"domains"`
	Pools         []PoolView   `json:"pools"`
}

func (o *Operator) status(_ context.Context, c *app.RequestContext) *problem.Problem {
	snap, now := o.Control.Snapshot(), time.Now()
	out := StatusView{
		Daemon: snap.Slot, Admitting: snap.MayAdmit(now), Revision: snap.Head.Revision, Accepted: snap.AcceptedUpTo,
		WaitingFor: snap.WaitingFor, PlatformAgeMS: ageMS(now, snap.PlatformAsOf), InFlight: o.API.InFlight(),
		Daemons: daemonViews(snap, now), Domains: domainViews(snap), Pools: poolViews(snap),
	}
	c.JSON(http.StatusOK, out)
	return nil
}

func ageMS(now, at time.Time) int64 {
	if at.IsZero() {
		return -1
	}
	return max(0, now.Sub(at).Milliseconds())
}

func daemonViews(snap *control.Snapshot, now time.Time) []DaemonView {
	out := []DaemonView{}
	for slot, p := range snap.Peers {
		out = append(out, DaemonView{Slot: slot, State: p.State, Revision: p.Revision, Incarnation: p.Incarnation,
			Place: p.Place, LastContactMS: ageMS(now, p.LastContact)})
	}
	sortBy(out, func(d DaemonView) string { return d.Slot })
	return out
}

func domainViews(snap *control.Snapshot) []DomainView {
	out := []DomainView{}
	for name, c := range snap.Domains {
		v := DomainView{Name: name, Place: c.Domain.Place, Holder: c.Domain.Holder.Slot, Version: c.Version,
			VMs: len(c.Domain.VMs), Groups: map[group.State]int{}, AcceleratorsNotServing: c.Domain.AcceleratorsNotServing()}
		for _, g := range c.Domain.Groups {
			v.Groups[g.State]++
		}
		out = append(out, v)
	}
	sortBy(out, func(d DomainView) string { return d.Name })
	return out
}

func poolViews(snap *control.Snapshot) []PoolView {
	out := []PoolView{}
	for _, p := range snap.Pools {
		v := PoolView{Name: p.Name, Wanted: p.Replicas}
		for _, c := range snap.Domains {
			for _, g := range c.Domain.Groups {
				if g.Pool == p.Name && g.State == group.StateServing {
					v.Serving++
				}
			}
		}
		out = append(out, v)
	}
	return out
}
