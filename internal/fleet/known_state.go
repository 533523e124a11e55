package fleet

import (
	"maps"
	"slices"
	"time"

	"pearlanding/internal/objectapi"
)

// Times for instances whose entries were removed.
const (
	// outageGrace is how long after an outage of the store a missing entry may
	// still come back, as the platform promises.
	outageGrace = 2 * time.Second
	// removedRetention is how long a removed instance stays in the view: the planner of
	// groups reads from it how long ago a group lost a member.
	removedRetention = 60 * time.Second
	// lapsedMemberTimeout is how long an instance whose entry lapsed still counts as a member of
	// its group: about as long as instances are cut off from the store.
	lapsedMemberTimeout = 15 * time.Second
)

// KnownState accumulates listings and changes of the instances' entries and builds views from
// them. It is not safe for concurrent use: one goroutine owns it. Time is passed in.
type KnownState struct {
	// LapsedHeadGrace is how long a head whose entry disappeared without a notice may be sent requests,
	// from the last proof that the entry existed; 0: not at all.
	LapsedHeadGrace   time.Duration
	size              SizeOf
	reachability      *Reachability
	instances         map[string]*Instance
	inGrace           map[string]bool // entry removed right after an outage, instance kept
	removed           map[string]RemovedInstance
	endedIncarnations map[string][]int64 // start times of the ended incarnations of an id
	revision          uint64
	restored          restoredStore
	lastView          *View // published most recently
}

// NewKnownState returns an empty known state. heartbeat is the time between the writes of
// an instance's own entry: entries may lapse in an outage of the store of that length, as
// it may have begun some heartbeats before a call showed it.
func NewKnownState(heartbeat time.Duration, size SizeOf) *KnownState {
	return &KnownState{size: size, lastView: &View{}, reachability: NewReachability(heartbeat),
		instances: map[string]*Instance{}, inGrace: map[string]bool{}, removed: map[string]RemovedInstance{}, endedIncarnations: map[string][]int64{}}
}

// Reachability returns the record of the outcomes of calls to the store. After an outage in
// which entries may have lapsed, instances with missing entries are kept for outageGrace.
func (b *KnownState) Reachability() *Reachability { return b.reachability }

// StoreFailed records that a call to the store, sent at a time, got no answer.
func (b *KnownState) StoreFailed(sentAt time.Time) { b.reachability.RecordFailure(sentAt) }

// StoreAnswered records that the store answered at a time.
func (b *KnownState) StoreAnswered(at time.Time) { b.reachability.RecordAnswer(at) }

// Replace applies a whole listing. provedAt is when the known state was last proved.
func (b *KnownState) Replace(instances []*Instance, revision uint64, provedAt, now time.Time) {
	present := make(map[string]bool, len(instances))
	b.restored.observe(revision, now)
	for _, in := range instances {
		present[in.ID] = true
		b.Put(in)
	}
	for id := range b.instances {
		if !present[id] {
			b.Remove(id, provedAt, now)
		}
	}
	b.revision = max(b.revision, revision)
}

// Put applies an instance's entry unless a newer version or a later incarnation is known. A
// late entry of an earlier incarnation would bring back a group that the instance left when
// it ended. Of two incarnations the one seen first is the earlier: the instance's clock may
// step back between them.
func (b *KnownState) Put(in *Instance) {
	old := b.instances[in.ID]
	if old != nil && old.Version > in.Version || slices.Contains(b.endedIncarnations[in.ID], in.StartedAt) {
		return
	}
	if b.ignoreCopy(in) {
		return
	}
	if old == nil {
		old = b.removed[in.ID].Instance
	}
	if old != nil && old.Draining && !in.Draining && old.StartedAt == in.StartedAt && objectapi.Era(old.Version) < objectapi.Era(in.Version) {
		draining := *in // the store's copy is from before the instance began to leave
		draining.Draining = true
		in = &draining
	}
	if old != nil && old.StartedAt != in.StartedAt && old.StartedAt != 0 {
		b.endedIncarnations[in.ID] = append(b.endedIncarnations[in.ID], old.StartedAt)
	}
	b.instances[in.ID] = in.withMemberSince(old)
	delete(b.inGrace, in.ID)
	delete(b.removed, in.ID)
}

// withMemberSince returns the instance with MemberSince set; old is what was known of its id before, nil if nothing.
func (i *Instance) withMemberSince(old *Instance) *Instance {
	since := uint64(0)
	switch {
	case i.Group.Name == "":
	case old != nil && old.Group.Key() == i.Group.Key() && old.StartedAt == i.StartedAt:
		since = old.MemberSince
	default:
		since = i.Version
	}
	if since == i.MemberSince {
		return i
	}
	out := *i
	out.MemberSince = since
	return &out
}

// outageGraceEnd returns until when a missing entry is attributed to the last outage. The grace
// counts from the first answer to any call after it. Counted from the answer that brought the
// removal, for which a watch may wait long after the store's return, requests would reach an
// instance that left.
func (b *KnownState) outageGraceEnd() time.Time { return b.reachability.RecoveredAt().Add(outageGrace) }

// Remove applies the removal of an entry and reports whether the instance is kept: right
// after an outage it is, until the grace ends, unless it was draining.
//
// provedAt is when the entry was last proved to exist.
func (b *KnownState) Remove(id string, provedAt, now time.Time) (kept bool) {
	in := b.instances[id]
	if in == nil {
		return false
	}
	if now.Before(b.outageGraceEnd()) && !in.Draining {
		b.inGrace[id] = true
		return true
	}
	b.forget(id, now)
	b.startHeadGrace(id, provedAt, now)
	return false
}

// startHeadGrace lets a head whose entry lapsed while its group was open get requests until
// LapsedHeadGrace after provedAt: an engine cut off from the store keeps serving. Instances that leave may
// be sent requests for a few seconds anyway, and a dead one is detected by its streams and by
// probes.
func (b *KnownState) startHeadGrace(id string, provedAt, now time.Time) {
	gone := b.removed[id]
	in := gone.Instance
	gone.HeadGraceEnd = provedAt.Add(b.LapsedHeadGrace)
	if in.Group.Rank == 0 && in.Group.State == Open && !in.Draining && now.Before(gone.HeadGraceEnd) {
		gone.InHeadGrace, gone.Lapsed = true, true
		b.removed[id] = gone
	}
}

// Discard applies an entry that, since a version, describes no instance: another writer's, or
// one that cannot be decoded. The instance that it described before is removed at once.
func (b *KnownState) Discard(id string, version uint64, now time.Time) {
	if in := b.instances[id]; in != nil && in.Version <= version {
		b.forget(id, now)
	}
}

// Advance records that all changes up to a revision have been applied.
func (b *KnownState) Advance(revision uint64) { b.revision = max(b.revision, revision) }

// RelistDue reports, once after each return of the store from a copy, that a listing is needed: entries
// were ignored that may be those of living instances.
func (b *KnownState) RelistDue(now time.Time) bool { return b.restored.relistDue(now) }

// Revision returns the store's revision up to which all changes are known.
func (b *KnownState) Revision() uint64 { return b.revision }

// Expire drops instances whose grace or retention has ended at now and reports whether the
// view changed by it.
func (b *KnownState) Expire(now time.Time) bool {
	changed := false
	b.restored.now = now
	for id, gone := range b.removed {
		if gone.Lapsed && now.Sub(gone.At) > lapsedMemberTimeout || gone.InHeadGrace && !now.Before(gone.HeadGraceEnd) {
			gone.Lapsed, gone.InHeadGrace, changed = false, false, true
			b.removed[id] = gone
		}
		if now.Sub(gone.At) > removedRetention {
			delete(b.removed, id)
			delete(b.endedIncarnations, id)
		}
	}
	if len(b.inGrace) == 0 || now.Before(b.outageGraceEnd()) || b.reachability.Unreachable() {
		return changed
	}
	for id := range b.inGrace {
		b.forget(id, now)
	}
	return true
}

// forget moves an instance to the removed ones. A ready member that is not draining counts as
// lapsed; a head does so only by startHeadGrace.
func (b *KnownState) forget(id string, now time.Time) {
	in := b.instances[id]
	ready := in.Group.State == Ready || in.Group.State == Open
	b.removed[id] = RemovedInstance{Instance: in, At: now, Lapsed: ready && in.Group.Rank > 0 && !in.Draining}
	delete(b.instances, id)
	delete(b.inGrace, id)
}

// InvalidateView makes the next View rebuild every group, as the sizes of models may have
// changed.
func (b *KnownState) InvalidateView() { b.lastView = &View{} }

// View returns the known state, proved at a time, as an immutable view.
func (b *KnownState) View(provedAt time.Time) *View {
	b.lastView = b.lastView.next(b.revision, provedAt, maps.Clone(b.instances), maps.Clone(b.removed), b.size)
	return b.lastView
}
