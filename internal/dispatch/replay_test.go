package dispatch

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// simReplica is a queue that serves one first event each 50 ms. It reaches the caller 150 ms after
// the send at the earliest.
type simReplica struct {
	freeAt time.Time
	events []firstEvent // ordered by time
}

type firstEvent struct{ sent, at time.Time }

const (
	serviceTime = 50 * time.Millisecond
	minLatency  = 150 * time.Millisecond
	objective   = 300 * time.Millisecond
)

func (r *simReplica) send(now time.Time) time.Duration {
	if r.freeAt.Before(now) {
		r.freeAt = now
	}
	r.freeAt = r.freeAt.Add(serviceTime)
	at := r.freeAt.Add(minLatency - serviceTime)
	r.events = append(r.events, firstEvent{now, at})
	return at.Sub(now)
}

// replayOverload sends twice the capacity of a replica for three seconds, then half of it for five.
// It returns how many of the streams sent in the last four seconds had a late first event, how many
// streams were sent in those seconds, and how many were refused in all.
func replayOverload(admit func(p *Picker, now time.Time) bool) (late, sent, refused int) {
	p, r, start := testPicker(), &simReplica{}, t0
	for now := start; now.Sub(start) < 8*time.Second; {
		for len(r.events) > 0 && !r.events[0].at.After(now) {
			e := r.events[0]
			r.events = r.events[1:]
			p.NoteFirstEvent(&here, testModel, e.sent, e.at)
			p.NoteProgress(&here, e.at)
			p.EndStream(&here, e.sent, true)
		}
		if admit(p, now) {
			p.Pick([]Target{here}, nil, now)
			p.NoteSent(&here, minStallTimeout, now)
			took := r.send(now)
			if now.Sub(start) > 4*time.Second {
				sent++
				if took > objective {
					late++
				}
			}
		} else {
			refused++
		}
		if now.Sub(start) < 3*time.Second {
			now = now.Add(serviceTime / 2)
		} else {
			now = now.Add(2 * serviceTime)
		}
	}
	return late, sent, refused
}

// Twice the capacity for three seconds, then half of it. Streams sent from a second later on are in
// time: the backlog does not outlast the overload.
func TestBacklogDrainsAfterOverload(t *testing.T) {
	late, sent, refused := replayOverload(func(p *Picker, now time.Time) bool {
		return p.Admit([]Target{here}, testModel, objective, now).Admitted
	})
	must.Eq(t, 0, late)
	must.Greater(t, 30, sent)
	must.Less(t, 85, refused, must.Sprint("60 are beyond capacity; the replica must not idle meanwhile"))
	late, _, _ = replayOverload(func(*Picker, time.Time) bool { return true })
	must.Greater(t, 10, late, must.Sprint("without admission the backlog remains"))
}

// One replica of four dies. Streams that wait there for their first event without any progress are
// moved; those queued at a replica that makes progress stay.
func TestMoveOfSilentStreams(t *testing.T) {
	p := NewPicker("z", keepFirst)
	limit := p.StallTimeouts(StreamLimits{Model: testModel, Objective: objective}).First
	defaultLimit := p.StallTimeouts(StreamLimits{Model: testModel}).First
	must.Eq(t, defaultFirstEvent, defaultLimit)
	for name, c := range map[string]struct {
		silence SilentStream
		move    bool
	}{
		"queued, replica makes progress": {SilentStream{Waited: 10 * objective, StallTimeout: limit, Replica: Progressing}, false},
		"replica stalled":                {SilentStream{Waited: minStallTimeout, StallTimeout: limit, Replica: Unhealthy}, true},
		"nothing known, early":           {SilentStream{Waited: objective, StallTimeout: limit, Replica: Unknown}, false},
		"nothing known, too long":        {SilentStream{Waited: 2 * objective, StallTimeout: limit, Replica: Unknown}, true},
		"no objective, early":            {SilentStream{Waited: defaultFirstEvent / 2, StallTimeout: defaultLimit, Replica: Unknown}, false},
		"no objective, too long":         {SilentStream{Waited: defaultFirstEvent, StallTimeout: defaultLimit, Replica: Unknown}, true},
		"begun, answer lost":             {SilentStream{Begun: true, StallTimeout: limit, Replica: Progressing}, true},
		"begun, replica stalled":         {SilentStream{Begun: true, StallTimeout: limit, Replica: Unhealthy}, true},
	} {
		t.Run(name, func(t *testing.T) { must.Eq(t, c.move, c.silence.ShouldMove()) })
	}
}

// A third of the daemons lose the store and refuse requests that need a proof; their callers retry at
// other daemons. With a retry after 100 ms, callers with an objective of 200 ms were late: a first
// event takes 75 ms and a link 6 ms.
func TestRetryAtAnotherDaemonMeetsObjective(t *testing.T) {
	const links, first, deadline = 6 * time.Millisecond, 75 * time.Millisecond, 200 * time.Millisecond
	must.Less(t, deadline, 4*links+RetryAfter(TryAnotherDaemon)+first)
	must.Less(t, RetryAfter(UpstreamsBusy), RetryAfter(TryAnotherDaemon), must.Sprint("full replicas need more time"))
}

// No refused caller is asked to wait for longer than a queue takes to drain.
func TestRetryAfterIsBounded(t *testing.T) {
	times := []time.Duration{RetryAfter(TryAnotherDaemon), RetryAfter(UpstreamsBusy), RetryAfter(Overload)}
	must.Positive(t, slices.Min(times))
	must.Eq(t, retryAfterOverload, slices.Max(times))
}

// Guards against a short retry delay while daemons start. After all machines lost power, callers
// refused by a daemon without configuration retried after 0.1 s at another one without it, got
// "no_configuration" twice and failed: 1,469 and 2,121 refusals in four seconds. The delay was
// that of a single affected daemon.
func TestRetryDelayWhileStartingCoversStart(t *testing.T) {
	must.GreaterEq(t, time.Second, RetryAfter(DaemonStarting))
	must.Less(t, RetryAfter(Overload), RetryAfter(TryAnotherDaemon))
}
