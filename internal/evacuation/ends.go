package evacuation

import (
	"maps"
	"time"

	"pearlanding/internal/steady"
)

// Ends is what is known of the evacuations that ended a short while ago: the instances of such a zone are
// cold.
type Ends struct {
	// Since: every end after it is in At. Zero: that is not exchanged.
	Since time.Time
	// At holds the latest end of each zone.
	At map[string]time.Time
}

// maxCoverageGap is how much older than the first proof of a daemon that starts the proof of a report may
// be. An evacuation that began and ended between the two proofs is not noticed, as between any two
// listings of a daemon without a relay, which are up to this far apart.
const maxCoverageGap = 3 * time.Second

// maxEnds bounds the ends that are kept and reported, as other writers of the store can write and remove
// objects of any name. The deployment's zones are always kept.
const maxEnds = 256

// coldFor returns for how long an end matters; known: the configuration, which tells that, is known. 0:
// ends do not matter.
func (k *Known) coldFor() (d time.Duration, known bool) {
	if k.ColdFor == nil {
		return 0, true
	}
	return k.ColdFor()
}

// now returns the time by Now, or by the machine's clock.
func (k *Known) now() time.Time {
	if k.Now == nil {
		return (*steady.Clock)(nil).Now()
	}
	return k.Now()
}

// EndsSettled reports whether no evacuation can have ended unnoticed that still matters. known: the
// configuration, which tells for how long an end matters, is known.
func (k *Known) EndsSettled() (settled, known bool) {
	d, known := k.coldFor()
	k.mu.Lock()
	defer k.mu.Unlock()
	since := k.ends.Since
	return known && (d == 0 || !since.IsZero() && k.now().Sub(since) >= d), known
}

// recentEnds returns a copy of the ends that still matter; k.mu is held.
func (k *Known) recentEnds() Ends {
	d, known := k.coldFor()
	if known && d == 0 || k.ends.Since.IsZero() {
		return Ends{}
	}
	out := Ends{Since: k.ends.Since}
	if len(k.ends.At) > 0 {
		now := k.now()
		out.At = maps.Clone(k.ends.At)
		maps.DeleteFunc(out.At, func(_ string, at time.Time) bool { return known && now.Sub(at) >= d })
	}
	return out
}

// noteEnd records an end; k.mu is held.
func (k *Known) noteEnd(zone string, at time.Time) {
	if !at.After(k.ends.At[zone]) {
		return
	}
	d, known := k.coldFor()
	maps.DeleteFunc(k.ends.At, func(_ string, at time.Time) bool { return known && k.now().Sub(at) >= d })
	if k.ends.At == nil {
		k.ends.At = map[string]time.Time{}
	}
	if len(k.ends.At) < maxEnds || k.IsKnownZone != nil && k.IsKnownZone(zone) {
		k.ends.At[zone] = at
	}
	if k.OnEnded != nil {
		k.OnEnded(zone, at)
	}
}

// setEndsSince sets the time after which all ends are known; k.mu is held.
func (k *Known) setEndsSince(since time.Time) {
	k.ends.Since = since
	if k.OnEndsKnown != nil {
		k.OnEndsKnown(since, nil)
	}
}

// ApplyEnds applies what another daemon knows of ends, and the state that it knew then. Ends after this
// daemon's own first proof are known already: other daemons may have noticed them later.
func (k *Known) ApplyEnds(s State, e Ends) {
	k.mu.Lock()
	defer k.mu.Unlock()
	first, since := k.firstProvedAt, k.ends.Since
	if first.IsZero() || s.ProvedAt.IsZero() {
		return
	}
	for zone, at := range e.At {
		if at.After(first) {
			at = first
		}
		k.noteEnd(zone, at)
	}
	if s.Revision < k.state.Revision {
		for _, zone := range s.Zones.without(k.state.Zones) {
			k.noteEnd(zone, first) // it ended between the two proofs, or this daemon has noticed the end
		}
	}
	if !e.Since.IsZero() && e.Since.Before(since) && s.ProvedAt.After(since.Add(-maxCoverageGap)) {
		k.setEndsSince(e.Since)
	}
}

// applyHistory applies the store's history: only the given zones, if any, had the end of an evacuation
// within d before now.
func (k *Known) applyHistory(ended *Zones, d time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	since := k.now().Add(-d)
	switch {
	case !since.Before(k.ends.Since): // known by a relay's report meanwhile
	case ended == nil:
		k.setEndsSince(since)
	case k.OnEndsKnown != nil:
		k.OnEndsKnown(k.ends.Since, ended)
	}
}
