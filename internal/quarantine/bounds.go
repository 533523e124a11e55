package quarantine

import "time"

// Bounds of the evidence, in contents: a crash of many instances marks all that they ran.
const (
	marksMost   = 4096
	refusedMost = 256
)

// Forget drops what is past its time, and what is too much: of the workspace that has the
// most, the one with the fewest ends, the oldest first. So one workspace's many contents do
// not push out another's.
func (e *Evidence) Forget(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for d, r := range e.records {
		if !r.refuses() && now.Sub(r.touched) > forgetAfter {
			delete(e.records, d)
		}
	}
	e.trim(marksMost, func(r *record) bool { return !r.refuses() })
	e.trim(refusedMost, func(r *record) bool { return r.refuses() })
	e.busy.Store(len(e.records) > 0)
}

// trim drops records of a sort until there are at most so many; e.mu is held.
func (e *Evidence) trim(most int, of func(*record) bool) {
	count, total := map[string]int{}, 0
	for _, r := range e.records {
		if of(r) {
			count[r.workspace]++
			total++
		}
	}
	for ; total > most; total-- {
		largest := ""
		for workspace, n := range count {
			if n > count[largest] || n == count[largest] && workspace < largest {
				largest = workspace
			}
		}
		delete(e.records, e.least(largest, of))
		count[largest]--
	}
}

// least returns the record of a workspace that tells least; e.mu is held.
func (e *Evidence) least(workspace string, of func(*record) bool) (least Digest) {
	var found *record
	for d, r := range e.records {
		if r.workspace != workspace || !of(r) {
			continue
		}
		if found == nil || len(r.ends) < len(found.ends) || len(r.ends) == len(found.ends) && r.touched.Before(found.touched) {
			least, found = d, r
		}
	}
	return least
}
