package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Parameters of the decision.
const (
	// CrashesToQuarantine is the number of crashes at which a trait is quarantined. Two
	// would catch a harmless request that by chance met the same culprit on its only retry.
	CrashesToQuarantine = 3
	// crashesWhenTied replaces CrashesToQuarantine if a trait of other requests was in progress at each
	// of the same crashes: one more crash tells the two apart.
	crashesWhenTied = 4
	// crashesIfRanWell replaces CrashesToQuarantine for a part that ran well before its first crash.
	crashesIfRanWell = 5
	// crashesIfCovered replaces CrashesToQuarantine for a part if two narrower ones, which never ran well,
	// explain all its crashes: they may be two culprits that have this part in common.
	crashesIfCovered = 8
	// unexplainedCrashes is how many crashes outside quarantined requests a trait needs if these
	// requests are among its own.
	unexplainedCrashes = 2
	// independentInterval is the least time between two crashes that both count, unless the
	// request was sent to the second instance after the first crash. Many instances that crash
	// at once are no evidence against a request that is in progress on all of them.
	independentInterval = 250 * time.Millisecond
	// simultaneousInterval replaces independentInterval for a part that never ran well and has no narrower
	// part beside it. A harmless part that is in progress on many instances has run well before.
	simultaneousInterval = timeTolerance
	// maxNarrowerParts bounds the parts among which two are looked for that explain a trait's crashes.
	maxNarrowerParts = 16
)

// decide quarantines the traits with enough crashes, the strongest suspects first, releases those that these
// supersede, and adds both to the verdicts; e.mu is held.
func (e *Evidence) decide(v Verdicts, now time.Time) Verdicts {
	for {
		d, found := e.strongestSuspect()
		if !found {
			break
		}
		for _, member := range e.indistinguishable(d) {
			r := e.records[member]
			r.Quarantines++
			e.markChanged(r, now)
			v.Quarantined = append(v.Quarantined, member)
		}
	}
	v.Superseded = e.releaseSuperseded(now)
	for _, d := range e.reconsidered {
		if !e.records[d].quarantined() && !slices.Contains(v.Superseded, d) {
			v.Superseded = append(v.Superseded, d)
		}
	}
	e.reconsidered = nil
	return v
}

// releaseSuperseded releases the traits that would not be quarantined any more for the crashes that other
// quarantined ones leave unexplained, and returns them; e.mu is held.
func (e *Evidence) releaseSuperseded(now time.Time) (released []Digest) {
	for _, d := range e.quarantinedDigests() {
		r := e.records[d]
		if rest := e.unexplainedByOthers(r); len(rest) < min(len(r.crashes), CrashesToQuarantine) {
			r.Released = r.Quarantines
			r.setCrashes(rest) // daemons that know less would quarantine it again for all of them
			e.markChanged(r, now)
			released = append(released, d)
		}
	}
	return released
}

// quarantinedDigests returns the quarantined traits, those with the fewest crashes first; e.mu is held.
func (e *Evidence) quarantinedDigests() (out []Digest) {
	for d, r := range e.records {
		if r.quarantined() {
			out = append(out, d)
		}
	}
	slices.SortFunc(out, func(a, b Digest) int {
		return cmp.Or(len(e.records[a].crashes)-len(e.records[b].crashes), a.compare(b))
	})
	return out
}

// unexplainedByOthers returns the crashes of a quarantined trait at which no other quarantined one, with enough
// crashes besides, was in progress; e.mu is held. A harmless trait that the requests of several culprits had may
// have been quarantined before them.
func (e *Evidence) unexplainedByOthers(r *record) (rest []Crash) {
	var others []*record
	for _, q := range e.records {
		if q != r && q.quarantined() && q.crashesWithout(r) >= unexplainedCrashes {
			others = append(others, q)
		}
	}
	for _, c := range r.crashes {
		if !slices.ContainsFunc(others, func(q *record) bool { return q.wasPresent(c.Incarnation) }) {
			rest = append(rest, c)
		}
	}
	return rest
}

// crashesWithout returns the number of crashes at which the other trait was not in progress.
func (r *record) crashesWithout(other *record) (n int) {
	for _, c := range r.crashes {
		if !other.wasPresent(c.Incarnation) {
			n++
		}
	}
	return n
}

// indistinguishable returns a trait and those that are not quarantined and cannot be told apart from
// it: each of them is a companion of the other. If a content is among them, it alone is returned, as all
// these crashes were of one content. e.mu is held.
func (e *Evidence) indistinguishable(d Digest) []Digest {
	out := []Digest{d}
	for _, other := range e.records[d].companions {
		if r := e.records[other]; r != nil && !r.quarantined() && r.hasCompanion(d) {
			out = append(out, other)
		}
	}
	if i := slices.IndexFunc(out, func(d Digest) bool { return e.records[d].Part == "" }); i >= 0 {
		return out[i : i+1]
	}
	return out
}

// strongestSuspect returns the trait that is to be quarantined next; e.mu is held. It is the one with
// the most crashes, or a trait of fewer requests that are all among its own.
func (e *Evidence) strongestSuspect() (suspect Digest, found bool) {
	counts, others := map[Digest]int{}, e.comparedTraits()
	for d, r := range e.records {
		if len(r.crashes) >= CrashesToQuarantine && !r.quarantined() {
			if n := e.enoughCrashes(d, r, others); n > 0 {
				counts[d] = n
			}
		}
	}
	stronger := func(d, than Digest) bool {
		return counts[d] > counts[than] || counts[d] == counts[than] && d.compare(than) < 0
	}
	for d := range counts {
		if !found || stronger(d, suspect) {
			suspect, found = d, true
		}
	}
	for range counts {
		narrowest := suspect
		for d := range counts {
			if e.narrower(d, suspect) && (narrowest == suspect || stronger(d, narrowest)) {
				narrowest = d
			}
		}
		if narrowest == suspect {
			break
		}
		suspect = narrowest
	}
	return suspect, found
}

// comparedTraits are the traits with which a suspect is compared.
type comparedTraits struct {
	quarantined []*record
	unproven    map[Digest]*record // parts that never ran well and are not quarantined
}

// comparedTraits returns the traits with which suspects are compared; e.mu is held.
func (e *Evidence) comparedTraits() comparedTraits {
	c := comparedTraits{unproven: map[Digest]*record{}}
	for d, r := range e.records {
		switch {
		case r.quarantined():
			c.quarantined = append(c.quarantined, r)
		case r.Part != "" && r.lastSuccess.IsZero():
			c.unproven[d] = r
		}
	}
	return c
}

// narrower reports whether all requests with a trait had the other one too, but not the other way
// round; e.mu is held.
func (e *Evidence) narrower(d, than Digest) bool {
	return d != than && e.records[d].hasCompanion(than) && !e.records[than].hasCompanion(d)
}

// narrowerParts returns those of the parts that are narrower than a trait, those with the most crashes first,
// at most maxNarrowerParts; e.mu is held.
func (e *Evidence) narrowerParts(d Digest, parts map[Digest]*record) (out []*record) {
	for other, o := range parts {
		if e.narrower(other, d) {
			out = append(out, o)
		}
	}
	slices.SortFunc(out, func(a, b *record) int {
		return cmp.Or(len(b.crashes)-len(a.crashes), cmp.Compare(a.Part, b.Part))
	})
	return out[:min(len(out), maxNarrowerParts)]
}

// coveredByTwo reports whether at each of a trait's crashes that are not explained one of two of the narrower
// parts was in progress.
func coveredByTwo(r *record, narrower []*record, explained func(Incarnation) bool) bool {
	for i, a := range narrower {
		for _, b := range narrower[i:] {
			if !slices.ContainsFunc(r.crashes, func(c Crash) bool {
				return !explained(c.Incarnation) && !a.hasCrash(c.Incarnation) && !b.hasCrash(c.Incarnation)
			}) {
				return true
			}
		}
	}
	return false
}

// hasCompanion reports whether d is among the companions.
func (r *record) hasCompanion(d Digest) bool {
	_, found := slices.BinarySearchFunc(r.companions, d, Digest.compare)
	return found
}

// enoughCrashes returns the number of independent crashes that count against a trait if it is to be
// quarantined for them, otherwise 0; e.mu is held.
func (e *Evidence) enoughCrashes(d Digest, r *record, others comparedTraits) int {
	// Crashes at which a quarantined trait was in progress don't count. If all requests with that trait had
	// this one too, they may have crashed because of either.
	isExplained := func(i Incarnation) bool {
		return slices.ContainsFunc(others.quarantined, func(q *record) bool { return q.wasPresent(i) })
	}
	isExplainedByOthers := func(i Incarnation) bool {
		return slices.ContainsFunc(others.quarantined, func(q *record) bool { return q.wasPresent(i) && !q.hasCompanion(d) })
	}
	var narrower []*record
	interval, ranWell := independentInterval, !r.lastSuccess.IsZero()
	if r.Part != "" {
		narrower = e.narrowerParts(d, others.unproven)
		if !ranWell && len(narrower) == 0 {
			interval = simultaneousInterval
		}
	}
	unexplained, own := r.countIndependent(interval, isExplained), r.countIndependent(interval, isExplainedByOthers)
	switch {
	case r.Part != "" && ranWell && unexplained < crashesIfRanWell:
		return 0
	case unexplained < crashesIfCovered && coveredByTwo(r, narrower, isExplained):
		return 0
	case unexplained >= CrashesToQuarantine && (unexplained >= crashesWhenTied || !e.tiedWithAnother(d, r)):
		return unexplained
	case unexplained >= unexplainedCrashes && own >= CrashesToQuarantine+unexplainedCrashes:
		return own
	}
	return 0
}

// countIndependent returns the number of independent crashes that are not explained.
func (r *record) countIndependent(interval time.Duration, explained func(Incarnation) bool) (n int) {
	var last Crash
	for _, crash := range r.crashes {
		if explained(crash.Incarnation) {
			continue
		}
		if n == 0 || crash.Sent.After(last.At) || crash.At.Sub(last.At) >= interval {
			n, last = n+1, crash
		}
	}
	return n
}

// tiedWithAnother reports whether a trait of other requests, not quarantined, was in progress at each
// of a record's crashes; e.mu is held.
func (e *Evidence) tiedWithAnother(d Digest, r *record) bool {
	for other, o := range e.records {
		if other == d || o.quarantined() || len(o.crashes) < len(r.crashes) || r.hasCompanion(other) || o.hasCompanion(d) {
			continue
		}
		if !slices.ContainsFunc(r.crashes, func(crash Crash) bool { return !o.hasCrash(crash.Incarnation) }) {
			return true
		}
	}
	return false
}

func (r *record) hasCrash(incarnation Incarnation) bool {
	return slices.ContainsFunc(r.crashes, func(crash Crash) bool { return crash.Incarnation == incarnation })
}

// wasPresent reports whether the trait was in progress at an incarnation's crash, whether or not a success
// followed.
func (r *record) wasPresent(incarnation Incarnation) bool {
	return r.hasCrash(incarnation) || slices.Contains(r.cleared, incarnation)
}
