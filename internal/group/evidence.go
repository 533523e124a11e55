package group

import (
	"time"

	"pearlanding/internal/engine"
)

// ProbeState summarizes a daemon's probes of one engine. Times are on the daemon's
// own clock and are send times, so that the age of an answer is never
// underestimated.
type ProbeState struct {
	Status     engine.Status
	AnsweredAt time.Time // send time of the last answered probe; zero: none
	FailedAt   time.Time // last failed probe after AnsweredAt; zero: none
	Failures   int       // consecutive failed probes
	// Refused is set if the connection of the last probe was refused: no process
	// listens at the address.
	Refused bool
	// UnassignedSince is the time of the first of the consecutive answers, with the
	// same boot id, that showed no assignment; zero if the last one showed one.
	UnassignedSince time.Time
	// NoRequestsSince is the corresponding time for answers without running or queued
	// requests.
	NoRequestsSince time.Time
}

// WithAnswer returns the state after an answer to a probe sent at the given time.
func (p ProbeState) WithAnswer(s engine.Status, sent time.Time) ProbeState {
	sameBoot := !p.AnsweredAt.IsZero() && p.Status.BootID == s.BootID
	unassigned := s.Assignment == nil
	if !unassigned || !sameBoot {
		p.UnassignedSince = time.Time{}
	}
	if unassigned && p.UnassignedSince.IsZero() {
		p.UnassignedSince = sent
	}
	noRequests := s.Running == 0 && s.Queued == 0
	if !noRequests || !sameBoot {
		p.NoRequestsSince = time.Time{}
	}
	if noRequests && p.NoRequestsSince.IsZero() {
		p.NoRequestsSince = sent
	}
	p.Status, p.AnsweredAt, p.FailedAt, p.Failures, p.Refused = s, sent, time.Time{}, 0, false
	return p
}

// WithFailure returns the state after a failed probe sent at the given time; refused
// means that the connection was refused.
func (p ProbeState) WithFailure(sent time.Time, refused bool) ProbeState {
	p.FailedAt, p.Refused = sent, refused
	p.Failures++
	return p
}

// Evidence is one prober's report on one epoch of a group. ReadyAt is the latest time
// at which all members are known to have been ready at this epoch with the recorded
// boot ids, zero if they are not. It is sent to other daemons as an age because their
// clocks differ.
type Evidence struct {
	Group   string    `json:"group"`
	Epoch   uint64    `json:"epoch"`
	ReadyAt time.Time `json:"-"`
	// Running, Queued and Slots are as reported by the engine of rank 0.
	Running int `json:"running"`
	Queued  int `json:"queued"`
	Slots   int `json:"slots"`
	// Ended is set if the epoch is known to be over because a member's process is
	// gone or answers with another boot id or assignment. It is final.
	Ended bool `json:"over,omitempty"`
	// Lost lists members that are dead, restarted or no longer at this epoch.
	Lost []string `json:"lost,omitempty"`
	// Leaving lists members whose engines report that they are leaving.
	Leaving []string `json:"leaving,omitempty"`
}

// lostAfterFailures is the number of consecutive failed probes after which a member
// counts as lost. Unless its address refuses connections, its last answer must also
// be older than the evidence age.
const lostAfterFailures = 2

// Assess derives the evidence on a serving or draining group from the probes of its
// members, keyed by VM name.
func Assess(g Group, probes map[string]ProbeState, now time.Time, maxAge time.Duration) Evidence {
	e := Evidence{Group: g.ID, Epoch: g.Epoch, ReadyAt: now}
	for rank, m := range g.Members {
		p := probes[m.VM]
		if lost, confirmed := memberLost(g, rank, p, now, maxAge); lost {
			e.Lost = append(e.Lost, m.VM)
			e.Ended = e.Ended || confirmed
		}
		if p.Status.Leaving {
			e.Leaving = append(e.Leaving, m.VM)
		}
		if !memberReady(g, rank, p.Status) {
			e.ReadyAt = time.Time{}
		} else if p.AnsweredAt.Before(e.ReadyAt) {
			e.ReadyAt = p.AnsweredAt
		}
		if rank == 0 {
			e.Running, e.Queued, e.Slots = p.Status.Running, p.Status.Queued, p.Status.Slots
		}
	}
	return e
}

// memberLost reports whether the member of a rank has left this epoch. confirmed is
// false if the loss is only inferred from missing answers.
func memberLost(g Group, rank int, p ProbeState, now time.Time, maxAge time.Duration) (lost, confirmed bool) {
	switch {
	case p.Failures == 0:
		lost = !p.AnsweredAt.IsZero() && !memberReady(g, rank, p.Status)
		return lost, lost
	case p.Refused:
		lost = p.Failures >= lostAfterFailures
		return lost, lost
	}
	return p.Failures >= lostAfterFailures && now.Sub(p.AnsweredAt) > maxAge, false
}

// memberReady reports whether a status shows the member ready at the group's epoch,
// with the recorded boot id if there is one.
func memberReady(g Group, rank int, s engine.Status) bool {
	a := s.Assignment
	want := g.Members[rank].BootID
	return s.State == engine.StateReady && a != nil && a.Group == g.ID && a.Epoch == g.Epoch &&
		a.Rank == rank && a.Weights == g.Weights && (want == "" || want == s.BootID)
}
