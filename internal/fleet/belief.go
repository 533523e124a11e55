package fleet

import (
	"maps"
	"slices"
	"time"
)

// Times of the belief about instances whose entries went.
const (
	// returnGrace is how long after an outage of the store an entry that is
	// missing may still come back, as the platform promises.
	returnGrace = 2 * time.Second
	// removedMemory is how long a removed instance is remembered, for whoever
	// must know how long ago its group lost it.
	removedMemory = 60 * time.Second
	// lapsedFor is how long an instance whose entry lapsed may count as a member of its
	// group: about as long as instances are cut off from the store.
	lapsedFor = 15 * time.Second
)

// Belief turns what the store tells into views. It is not safe for concurrent
// use: one goroutine owns it. Time is passed in.
type Belief struct {
	// LeadsFor is how long after the last proof that its entry stood a head may be sent
	// requests whose entry went without a word; 0: not at all.
	LeadsFor  time.Duration
	size      SizeOf
	reach     *Reachability
	instances map[string]*Instance
	lapsed    map[string]bool // removed right after an outage, still believed
	removed   map[string]Gone
	earlier   map[string][]int64 // births of the lives of an id that have ended
	revision  uint64
	last      *View // published last
}

// NewBelief returns an empty belief. heartbeat is the time between the writes of
// an instance's own entry: entries may lapse in an absence of the store that lasts as
// long, as it may have begun some heartbeats before a call showed it.
func NewBelief(heartbeat time.Duration, size SizeOf) *Belief {
	return &Belief{size: size, last: &View{}, reach: NewReachability(heartbeat),
		instances: map[string]*Instance{}, lapsed: map[string]bool{}, removed: map[string]Gone{}, earlier: map[string][]int64{}}
}

// Reachability is where calls to the store are noted. After an absence in which entries may
// have lapsed, missing ones are believed for returnGrace.
func (b *Belief) Reachability() *Reachability { return b.reach }

// Lost notes that a call to the store sent at asked got no answer.
func (b *Belief) Lost(asked time.Time) { b.reach.Failed(asked) }

// Reached notes that the store answered at a time.
func (b *Belief) Reached(at time.Time) { b.reach.Answered(at) }

// Replace takes a whole listing. stood is when the belief was last proved.
func (b *Belief) Replace(instances []*Instance, revision uint64, stood, now time.Time) {
	present := make(map[string]bool, len(instances))
	for _, in := range instances {
		present[in.ID] = true
		b.Put(in)
	}
	for id := range b.instances {
		if !present[id] {
			b.Remove(id, stood, now)
		}
	}
	b.revision = max(b.revision, revision)
}

// Put takes an instance's entry unless a newer one is known, or one of a later life. A
// late entry of an earlier life would bring back a group that the instance left as it
// ended. Of two lives the one that was seen first is the earlier: the instance's clock
// may step back between them.
func (b *Belief) Put(in *Instance) {
	old := b.instances[in.ID]
	if old != nil && old.Version > in.Version || slices.Contains(b.earlier[in.ID], in.Born) {
		return
	}
	if old == nil {
		old = b.removed[in.ID].Instance
	}
	if old != nil && old.Born != in.Born && old.Born != 0 {
		b.earlier[in.ID] = append(b.earlier[in.ID], old.Born)
	}
	b.instances[in.ID] = in
	delete(b.lapsed, in.ID)
	delete(b.removed, in.ID)
}

// graceEnds is when an entry that is missing is no lapse any more. It counts from the
// first answer to any call. Counted from the answer that brought the removal, for which a
// watch may wait long after the store's return, requests would reach an instance that left.
func (b *Belief) graceEnds() time.Time { return b.reach.Back().Add(returnGrace) }

// Remove takes the removal of an entry. Right after an outage the instance is
// believed until the grace ends, unless it had said that it was leaving; the result
// tells whether it is.
//
// stood is when the entry was last proved to stand.
func (b *Belief) Remove(id string, stood, now time.Time) (believed bool) {
	in := b.instances[id]
	if in == nil {
		return false
	}
	if now.Before(b.graceEnds()) && !in.Draining {
		b.lapsed[id] = true
		return true
	}
	b.forget(id, now)
	b.lead(id, stood, now)
	return false
}

// lead lets a head lead on for a while whose entry lapsed while it was open: an engine cut
// off from the store goes on serving. Instances that leave may be sent requests for a few
// seconds, and one that is dead is found out by its streams and by probes.
func (b *Belief) lead(id string, stood, now time.Time) {
	gone := b.removed[id]
	in := gone.Instance
	gone.LeadsUntil = stood.Add(b.LeadsFor)
	if in.Group.Rank == 0 && in.Group.State == Open && !in.Draining && now.Before(gone.LeadsUntil) {
		gone.Leads, gone.Lapsed = true, true
		b.removed[id] = gone
	}
}

// Discard takes an entry, as it is since a version, that names no instance: another
// writer's, or one that can't be read. What it said before ends at once.
func (b *Belief) Discard(id string, version uint64, now time.Time) {
	if in := b.instances[id]; in != nil && in.Version <= version {
		b.forget(id, now)
	}
}

// Advance notes a change that the belief holds.
func (b *Belief) Advance(revision uint64) { b.revision = max(b.revision, revision) }

// Revision is the store's revision up to which all changes are known.
func (b *Belief) Revision() uint64 { return b.revision }

// Expire forgets what is believed no longer at now and tells whether the view
// changed by it.
func (b *Belief) Expire(now time.Time) bool {
	changed := false
	for id, gone := range b.removed {
		if gone.Lapsed && now.Sub(gone.At) > lapsedFor || gone.Leads && !now.Before(gone.LeadsUntil) {
			gone.Lapsed, gone.Leads, changed = false, false, true
			b.removed[id] = gone
		}
		if now.Sub(gone.At) > removedMemory {
			delete(b.removed, id)
			delete(b.earlier, id)
		}
	}
	if len(b.lapsed) == 0 || now.Before(b.graceEnds()) || b.reach.Lost() {
		return changed
	}
	for id := range b.lapsed {
		b.forget(id, now)
	}
	return true
}

func (b *Belief) forget(id string, now time.Time) {
	in := b.instances[id]
	ready := in.Group.State == Ready || in.Group.State == Open
	b.removed[id] = Gone{Instance: in, At: now, Lapsed: ready && in.Group.Rank > 0 && !in.Draining}
	delete(b.instances, id)
	delete(b.lapsed, id)
}

// Resize says that the sizes of models may have changed.
func (b *Belief) Resize() { b.last = &View{} }

// View publishes the belief.
func (b *Belief) View(seen time.Time) *View {
	b.last = b.last.next(b.revision, seen, maps.Clone(b.instances), maps.Clone(b.removed), b.size)
	return b.last
}
