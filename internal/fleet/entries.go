package fleet

// notifyEntry calls OnEntry for a received entry, unless a later incarnation is known.
func (f *Follower) notifyEntry(in *Instance) {
	if known := f.state.instances[in.ID]; f.OnEntry != nil && known != nil && known.StartedAt == in.StartedAt {
		f.OnEntry(in, f.View() == nil)
	}
}

// notifyListing calls OnEntry for all entries of a listing, and OnRemoved for instances that it lacks.
func (f *Follower) notifyListing(all []*Instance) {
	if f.OnEntry != nil {
		for _, in := range all {
			f.notifyEntry(in)
		}
	}
	if v := f.View(); v != nil && f.OnRemoved != nil {
		present := make(map[string]bool, len(all))
		for _, in := range all {
			present[in.ID] = true
		}
		for id := range v.Instances {
			if !present[id] {
				f.OnRemoved(id)
			}
		}
	}
}

// notifyRemoved calls OnRemoved for an instance whose entry was removed.
func (f *Follower) notifyRemoved(id string) {
	if f.OnRemoved != nil {
		f.OnRemoved(id)
	}
}
