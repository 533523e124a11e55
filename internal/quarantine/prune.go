package quarantine

import "time"

// Limits on the number of records: when many instances crash, all contents that they ran are
// suspected.
const (
	maxSuspected   = 4096
	maxQuarantined = 256
)

// Prune removes expired suspects and enforces the limits. While a limit is exceeded, it removes
// a record of the workspace with the most: the one with the fewest crashes, and of several such
// the least recently changed. So one workspace's many contents cannot evict another's.
func (e *Evidence) Prune(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for d, r := range e.records {
		if !r.quarantined() && now.Sub(r.changedAt) > suspicionTTL {
			delete(e.records, d)
		}
	}
	e.trim(maxSuspected, func(r *record) bool { return !r.quarantined() })
	e.trim(maxQuarantined, func(r *record) bool { return r.quarantined() })
	e.nonEmpty.Store(len(e.records) > 0)
}

// trim removes matching records until at most limit of them are left; e.mu is held.
func (e *Evidence) trim(limit int, matches func(*record) bool) {
	count, total := map[string]int{}, 0
	for _, r := range e.records {
		if matches(r) {
			count[r.workspace]++
			total++
		}
	}
	for ; total > limit; total-- {
		largest := ""
		for workspace, n := range count {
			if n > count[largest] || n == count[largest] && workspace < largest {
				largest = workspace
			}
		}
		delete(e.records, e.weakest(largest, matches))
		count[largest]--
	}
}

// weakest returns a workspace's matching record with the fewest crashes, and of several
// such the least recently changed; e.mu is held.
func (e *Evidence) weakest(workspace string, matches func(*record) bool) (weakest Digest) {
	var found *record
	for d, r := range e.records {
		if r.workspace != workspace || !matches(r) {
			continue
		}
		if found == nil || len(r.crashes) < len(found.crashes) || len(r.crashes) == len(found.crashes) && r.changedAt.Before(found.changedAt) {
			weakest, found = d, r
		}
	}
	return weakest
}
