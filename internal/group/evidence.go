package group

import (
	"time"

	"pearlanding/internal/engine"
)

// Probe is the last a daemon knows of one engine. Times are on its own clock;
// At is when the last answered probe was sent, which is how old the facts are.
type Probe struct {
	Status   engine.Status
	At       time.Time // zero: never answered
	FailedAt time.Time // last unanswered probe since At; zero: none
	Failures int       // unanswered probes in a row
	// Refused: the last probe found no process at the address.
	Refused bool
	// IdleSince is since when every answer said "no assignment", same boot id.
	IdleSince time.Time
	// QuietSince is since when every answer said "nothing running or queued".
	QuietSince time.Time
}

// Answered folds an answer to a probe sent at the given time.
func (p Probe) Answered(s engine.Status, sent time.Time) Probe {
	same := !p.At.IsZero() && p.Status.BootID == s.BootID
	idle := s.Assignment == nil
	if !idle || !same {
		p.IdleSince = time.Time{}
	}
	if idle && p.IdleSince.IsZero() {
		p.IdleSince = sent
	}
	quiet := s.Running == 0 && s.Queued == 0
	if !quiet || !same {
		p.QuietSince = time.Time{}
	}
	if quiet && p.QuietSince.IsZero() {
		p.QuietSince = sent
	}
	p.Status, p.At, p.FailedAt, p.Failures, p.Refused = s, sent, time.Time{}, 0, false
	return p
}

// Failed folds an unanswered probe sent at the given time; refused says that the
// connection was refused.
func (p Probe) Failed(sent time.Time, refused bool) Probe {
	p.FailedAt, p.Refused = sent, refused
	p.Failures++
	return p
}

// Evidence is what one prober knows of one epoch of a group. Ready is the
// moment up to which all members were surely ready at this epoch with the boot
// ids on record; it travels between daemons as an age, never as a wall clock.
type Evidence struct {
	Group   string    `json:"group"`
	Epoch   uint64    `json:"epoch"`
	Ready   time.Time `json:"-"`
	Running int       `json:"running"`
	Queued  int       `json:"queued"`
	Slots   int       `json:"slots"`
	// Over: the epoch is surely over, since some member's process is gone or
	// answers with another boot id or assignment. This never becomes untrue.
	Over bool `json:"over,omitempty"`
	// Lost names members that are dead, restarted or no longer at this epoch.
	Lost []string `json:"lost,omitempty"`
	// Leaving names members whose engines say they are leaving.
	Leaving []string `json:"leaving,omitempty"`
}

// lostFailures is how many unanswered probes in a row make a member lost: at once
// when its address refuses connections, else when its last answer is also older
// than the evidence age.
const lostFailures = 2

// Assess makes evidence for a serving or draining group from probes by VM.
func Assess(g Group, probes map[string]Probe, now time.Time, maxAge time.Duration) Evidence {
	e := Evidence{Group: g.ID, Epoch: g.Epoch, Ready: now}
	for rank, m := range g.Members {
		p := probes[m.VM]
		if isLost, sure := lost(g, rank, p, now, maxAge); isLost {
			e.Lost = append(e.Lost, m.VM)
			e.Over = e.Over || sure
		}
		if p.Status.Leaving {
			e.Leaving = append(e.Leaving, m.VM)
		}
		if !memberReady(g, rank, p.Status) {
			e.Ready = time.Time{}
		} else if p.At.Before(e.Ready) {
			e.Ready = p.At
		}
		if rank == 0 {
			e.Running, e.Queued, e.Slots = p.Status.Running, p.Status.Queued, p.Status.Slots
		}
	}
	return e
}

// lost tells whether the member of a rank ended this epoch, and whether that is
// sure or only silence.
func lost(g Group, rank int, p Probe, now time.Time, maxAge time.Duration) (isLost, sure bool) {
	switch {
	case p.Failures == 0:
		isLost = !p.At.IsZero() && !memberReady(g, rank, p.Status)
		return isLost, isLost
	case p.Refused:
		isLost = p.Failures >= lostFailures
		return isLost, isLost
	}
	return p.Failures >= lostFailures && now.Sub(p.At) > maxAge, false
}

// memberReady tells whether a status shows the member ready at the epoch, with
// the boot id on record if there is one.
func memberReady(g Group, rank int, s engine.Status) bool {
	a := s.Assignment
	want := g.Members[rank].BootID
	return s.State == engine.StateReady && a != nil && a.Group == g.ID && a.Epoch == g.Epoch &&
		a.Rank == rank && a.Weights == g.Weights && (want == "" || want == s.BootID)
}
