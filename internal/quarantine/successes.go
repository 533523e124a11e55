package quarantine

import "time"

// rememberSuccess notes that a request with these parts ran well, in case that one of them is a suspect
// later.
func (e *Evidence) rememberSuccess(workspace string, parts []Part, at time.Time) {
	if len(parts) == 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range parts {
		e.successes.add(workspace, p.Digest, at)
	}
}

// Limits on the memory of successes.
const (
	// successesKept is how many parts of a workspace are remembered in each of two generations.
	successesKept = 128
	// successWorkspaces is for how many workspaces parts are remembered.
	successWorkspaces = 512
)

// successHistory holds when parts of prompts last ran well on this daemon, before there is a record of
// them. It keeps the most recent parts of each workspace, so that none can push out another's.
type successHistory struct {
	workspaces map[string]*successGenerations
}

// successGenerations are the recent parts of one workspace. A full newer generation replaces the older
// one.
type successGenerations struct {
	newer, older map[Digest]time.Time
}

// add notes that a part ran well.
func (h *successHistory) add(workspace string, d Digest, at time.Time) {
	g := h.workspaces[workspace]
	if g == nil {
		if h.workspaces == nil || len(h.workspaces) >= successWorkspaces {
			h.workspaces = map[string]*successGenerations{}
		}
		g = &successGenerations{newer: map[Digest]time.Time{}}
		h.workspaces[workspace] = g
	}
	if len(g.newer) >= successesKept {
		g.newer, g.older = map[Digest]time.Time{}, g.newer
	}
	g.newer[d] = at
}

// last returns when a part last ran well; zero: not known.
func (h *successHistory) last(workspace string, d Digest) time.Time {
	g := h.workspaces[workspace]
	if g == nil {
		return time.Time{}
	}
	if at, found := g.newer[d]; found {
		return at
	}
	return g.older[d]
}
