package fleet

import (
	"maps"
	"slices"
)

// notifyEntry calls OnEntry for a received entry, unless a later incarnation is known.
func (f *Follower) notifyEntry(in *Instance) {
	if known := f.state.instances[in.ID]; f.OnEntry != nil && known != nil && known.StartedAt == in.StartedAt {
		f.OnEntry(in, f.View() == nil)
	}
}

// notifyListing calls OnEntry for all entries of a listing, and OnRemoved for those of the instances known
// before that it lacks.
func (f *Follower) notifyListing(all []*Instance, before []string) {
	if f.OnEntry != nil {
		for _, in := range all {
			f.notifyEntry(in)
		}
	}
	present := make(map[string]bool, len(all))
	for _, in := range all {
		present[in.ID] = true
	}
	for _, id := range before {
		if !present[id] {
			f.notifyRemoved(id)
		}
	}
}

// knownInstances returns the ids of the known instances; nil if nobody is notified of removals.
func (f *Follower) knownInstances() []string {
	if f.OnRemoved == nil {
		return nil
	}
	return slices.Collect(maps.Keys(f.state.instances))
}

// notifyRemoved calls OnRemoved for an instance whose entry was removed.
func (f *Follower) notifyRemoved(id string) {
	if f.OnRemoved != nil {
		f.OnRemoved(id)
	}
}
