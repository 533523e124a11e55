package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// BuildView returns the view of instances and removed instances that was proved at a time: it
// derives their services and groups.
func BuildView(revision uint64, provedAt time.Time, instances map[string]*Instance, removed map[string]RemovedInstance, size SizeOf) *View {
	return (&View{}).next(revision, provedAt, instances, removed, size)
}

// next returns the view after v. It shares all unchanged lists and groups with v, so that its
// cost depends on the number of changes: among thousands of instances some change several times
// a second. The sizes of models must be those of v.
func (v *View) next(revision uint64, provedAt time.Time, instances map[string]*Instance, removed map[string]RemovedInstance, size SizeOf) *View {
	out := &View{Revision: revision, ProvedAt: provedAt, Instances: instances, Removed: removed,
		Services: maps.Clone(v.Services), Groups: maps.Clone(v.Groups)}
	if v.Services == nil {
		out.Services, out.Groups = map[string][]*Instance{}, map[GroupKey]*Group{}
	}
	c := v.diff(instances, removed)
	for service := range c.services {
		if list := c.serviceList(service, v.Services[service]); len(list) > 0 {
			out.Services[service] = list
		} else {
			delete(out.Services, service)
		}
	}
	for _, gone := range removed {
		if key := gone.Instance.Group.Key(); gone.Lapsed && c.groups[key] {
			c.lapsed[key] = append(c.lapsed[key], gone)
		}
	}
	for key := range c.groups {
		if g := c.buildGroup(key, v.Groups[key], size); g != nil {
			out.Groups[key] = g
		} else {
			delete(out.Groups, key)
		}
	}
	return out
}

// viewDiff is the difference between two views.
type viewDiff struct {
	instances map[string]*Instance           // of the later view
	services  map[string]bool                // services whose lists differ
	groups    map[GroupKey]bool              // groups that differ
	arrived   map[string][]*Instance         // new or changed instances by service
	joined    map[GroupKey][]*Instance       // new or changed instances by group
	lapsed    map[GroupKey][]RemovedInstance // lapsed members of groups that differ
}

// diff returns the difference between v and a view of other instances.
func (v *View) diff(instances map[string]*Instance, removed map[string]RemovedInstance) *viewDiff {
	c := &viewDiff{instances: instances, services: map[string]bool{}, groups: map[GroupKey]bool{},
		arrived: map[string][]*Instance{}, joined: map[GroupKey][]*Instance{}, lapsed: map[GroupKey][]RemovedInstance{}}
	for id, in := range v.Instances {
		if instances[id] != in {
			c.markChanged(in)
		}
	}
	for id, in := range instances {
		if v.Instances[id] != in {
			c.markChanged(in)
			c.arrived[in.Service] = append(c.arrived[in.Service], in)
			if in.Group.Name != "" {
				c.joined[in.Group.Key()] = append(c.joined[in.Group.Key()], in)
			}
		}
	}
	for id, gone := range v.Removed {
		if removed[id] != gone {
			c.groups[gone.Instance.Group.Key()] = true
		}
	}
	for id, gone := range removed { // an instance added and removed since v is in neither instance map
		if v.Removed[id] != gone {
			c.groups[gone.Instance.Group.Key()] = true
		}
	}
	return c
}

// markChanged marks the service and the group of an instance as changed.
func (c *viewDiff) markChanged(in *Instance) {
	c.services[in.Service] = true
	if in.Group.Name != "" {
		c.groups[in.Group.Key()] = true
	}
}

// unchanged returns the instances of a list that did not change, in its order.
func (c *viewDiff) unchanged(list []*Instance) []*Instance {
	out := make([]*Instance, 0, len(list)+1)
	for _, in := range list {
		if c.instances[in.ID] == in {
			out = append(out, in)
		}
	}
	return out
}

// serviceList returns the instances of a service, ordered by id; before is its list in the
// earlier view.
func (c *viewDiff) serviceList(service string, before []*Instance) []*Instance {
	byID := func(a, b *Instance) int { return cmp.Compare(a.ID, b.ID) }
	unchanged, arrived := c.unchanged(before), c.arrived[service]
	slices.SortFunc(arrived, byID)
	out := make([]*Instance, 0, len(unchanged)+len(arrived))
	for _, in := range arrived {
		n, _ := slices.BinarySearchFunc(unchanged, in, byID)
		out = append(append(out, unchanged[:n]...), in)
		unchanged = unchanged[n:]
	}
	return append(out, unchanged...)
}

// buildGroup returns a group that changed, or nil if no instance's entry names it; before is the
// group in the earlier view. Instances whose entries can't all be true become members in the order of byRank.
func (c *viewDiff) buildGroup(key GroupKey, before *Group, size SizeOf) *Group {
	var claimants []*Instance
	if before != nil {
		claimants = append(c.unchanged(before.Members), c.unchanged(before.Conflicting)...)
	}
	claimants = append(claimants, c.joined[key]...)
	if len(claimants) == 0 {
		return nil
	}
	slices.SortFunc(claimants, byRank)
	g := &Group{Key: key}
	g.Service, g.Model, g.Size = describeGroup(claimants, size)
	for _, in := range claimants {
		if g.admits(in) {
			g.Members = append(g.Members, in)
		} else {
			g.Conflicting = append(g.Conflicting, in)
		}
	}
	if len(g.Members) > 0 && g.Members[0].Group.Rank == 0 {
		g.Head, g.Zone = g.Members[0], g.Members[0].Zone
	}
	lapsed := c.lapsed[key]
	slices.SortFunc(lapsed, func(a, b RemovedInstance) int { return byRank(a.Instance, b.Instance) })
	for _, gone := range lapsed {
		if !g.admits(gone.Instance) {
			continue
		}
		g.Lapsed = append(g.Lapsed, gone.Instance)
		if gone.InHeadGrace && g.Head == nil {
			g.Head, g.Zone = gone.Instance, gone.Instance.Zone
		}
	}
	return g
}

// byRank orders instances of one group by rank. Those of the same rank are ordered by how long they are known
// to hold it, so that an entry that appears later takes no member's place.
func byRank(a, b *Instance) int {
	return cmp.Or(cmp.Compare(a.Group.Rank, b.Group.Rank), cmp.Compare(a.MemberSince, b.MemberSince), cmp.Compare(a.ID, b.ID))
}

// admits reports whether an instance can be a member beside those that the group has so far.
func (g *Group) admits(in *Instance) bool {
	sameRank := func(m *Instance) bool { return m.Group.Rank == in.Group.Rank }
	return in.Service == g.Service && (g.Size == 0 || in.Group.Rank < g.Size) &&
		!slices.ContainsFunc(g.Members, sameRank) && !slices.ContainsFunc(g.Lapsed, sameRank)
}

// describeGroup returns the service and the model of the group that some instances, ordered by rank, claim to be
// members of, and the number of instances in a replica of that model. If the claimants are of several services, the
// first claimant whose service is known to have its model decides, else the service with the most claimants.
func describeGroup(claimants []*Instance, size SizeOf) (service, model string, replicaSize int) {
	for _, in := range claimants {
		if len(in.Models) > 0 {
			if n := size(in.Service, in.Models[0]); n > 0 {
				return in.Service, in.Models[0], n
			}
		}
	}
	count := map[string]int{}
	for _, in := range claimants {
		count[in.Service]++
		if n := count[in.Service]; n > count[service] || n == count[service] && in.Service < service {
			service = in.Service
		}
	}
	for _, in := range claimants {
		if in.Service == service && len(in.Models) > 0 {
			return service, in.Models[0], 0
		}
	}
	return service, "", 0
}
