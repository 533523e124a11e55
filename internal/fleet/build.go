package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Build derives groups from instances.
func Build(revision uint64, seen time.Time, instances map[string]*Instance, removed map[string]Gone, size SizeOf) *View {
	return (&View{}).next(revision, seen, instances, removed, size)
}

// next returns the view after v. It shares all lists and groups with v in which nothing changed,
// so that its cost lies with what did: among thousands of instances some change several times a
// second. The sizes of models must be those of v.
func (v *View) next(revision uint64, seen time.Time, instances map[string]*Instance, removed map[string]Gone, size SizeOf) *View {
	out := &View{Revision: revision, Seen: seen, Instances: instances, Removed: removed,
		Services: maps.Clone(v.Services), Groups: maps.Clone(v.Groups)}
	if v.Services == nil {
		out.Services, out.Groups = map[string][]*Instance{}, map[Key]*Group{}
	}
	c := v.changes(instances, removed)
	for service := range c.services {
		if list := c.list(service, v.Services[service]); len(list) > 0 {
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
		if g := c.group(key, v.Groups[key], size); g != nil {
			out.Groups[key] = g
		} else {
			delete(out.Groups, key)
		}
	}
	return out
}

// changes is what differs between two views.
type changes struct {
	instances map[string]*Instance // of the later view
	services  map[string]bool      // whose lists differ
	groups    map[Key]bool         // that differ
	arrived   map[string][]*Instance
	joined    map[Key][]*Instance
	lapsed    map[Key][]Gone
}

// changes finds what differs between v and a view of other instances.
func (v *View) changes(instances map[string]*Instance, removed map[string]Gone) *changes {
	c := &changes{instances: instances, services: map[string]bool{}, groups: map[Key]bool{},
		arrived: map[string][]*Instance{}, joined: map[Key][]*Instance{}, lapsed: map[Key][]Gone{}}
	for id, in := range v.Instances {
		if instances[id] != in {
			c.touch(in)
		}
	}
	for id, in := range instances {
		if v.Instances[id] != in {
			c.touch(in)
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
	for id, gone := range removed { // one that came and went since v is in no list of instances
		if v.Removed[id] != gone {
			c.groups[gone.Instance.Group.Key()] = true
		}
	}
	return c
}

// touch marks the service and the group of an instance that changed.
func (c *changes) touch(in *Instance) {
	c.services[in.Service] = true
	if in.Group.Name != "" {
		c.groups[in.Group.Key()] = true
	}
}

// stay returns those of a list that did not change, in its order.
func (c *changes) stay(list []*Instance) []*Instance {
	out := make([]*Instance, 0, len(list)+1)
	for _, in := range list {
		if c.instances[in.ID] == in {
			out = append(out, in)
		}
	}
	return out
}

// list returns the instances of a service, ordered by id; before is the list that changed.
func (c *changes) list(service string, before []*Instance) []*Instance {
	byID := func(a, b *Instance) int { return cmp.Compare(a.ID, b.ID) }
	stay, arrived := c.stay(before), c.arrived[service]
	slices.SortFunc(arrived, byID)
	out := make([]*Instance, 0, len(stay)+len(arrived))
	for _, in := range arrived {
		n, _ := slices.BinarySearchFunc(stay, in, byID)
		out = append(append(out, stay[:n]...), in)
		stay = stay[n:]
	}
	return append(out, stay...)
}

// group returns a group that changed, nil if no entry names it; before is what it was.
func (c *changes) group(key Key, before *Group, size SizeOf) *Group {
	var members []*Instance
	if before != nil {
		members = c.stay(before.Members)
	}
	members = append(members, c.joined[key]...)
	if len(members) == 0 {
		return nil
	}
	byRank := func(a, b *Instance) int {
		return cmp.Or(cmp.Compare(a.Group.Rank, b.Group.Rank), cmp.Compare(a.ID, b.ID))
	}
	slices.SortFunc(members, byRank)
	g := &Group{Key: key, Service: members[0].Service, Members: members}
	for _, in := range members {
		if g.Model == "" && len(in.Models) > 0 {
			g.Model = in.Models[0]
			g.Size = size(in.Service, g.Model)
		}
		if in.Group.Rank == 0 {
			g.Head, g.Zone = in, in.Zone
		}
	}
	for _, gone := range c.lapsed[key] {
		g.Lapsed = append(g.Lapsed, gone.Instance)
		if gone.Leads && g.Head == nil {
			g.Head, g.Zone = gone.Instance, gone.Instance.Zone
		}
	}
	slices.SortFunc(g.Lapsed, byRank)
	return g
}
