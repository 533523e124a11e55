package dispatch

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// replica is a queue that gives each stream its first event in turn, one each 50 ms,
// and 150 ms later at the caller: the quickest first event.
type replica struct {
	free   time.Time
	events []firstEvent // in order of time
}

type firstEvent struct{ sent, at time.Time }

const (
	serviceTime = 50 * time.Millisecond
	quickest    = 150 * time.Millisecond
	objective   = 300 * time.Millisecond
)

func (r *replica) send(now time.Time) time.Duration {
	if r.free.Before(now) {
		r.free = now
	}
	r.free = r.free.Add(serviceTime)
	at := r.free.Add(quickest - serviceTime)
	r.events = append(r.events, firstEvent{now, at})
	return at.Sub(now)
}

// replayOverload sends twice what a replica can take for three seconds, then half of
// it for five. It returns how many of the streams sent in the last four seconds got
// their first event late, of how many, and how many were refused in all.
func replayOverload(admit func(p *Picker, now time.Time) bool) (late, sent, refused int) {
	p, r, start := testPicker(), &replica{}, t0
	for now := start; now.Sub(start) < 8*time.Second; {
		for len(r.events) > 0 && !r.events[0].at.After(now) {
			e := r.events[0]
			r.events = r.events[1:]
			p.Runs(&here, "m", e.sent, e.at)
			p.Progressed(&here, e.at)
			p.Ended(&here, e.sent, true)
		}
		if admit(p, now) {
			p.Pick([]Target{here}, nil, now)
			p.Waits(&here, quietLeast, now)
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

// Load: twice the capacity for three seconds, then half of it. What is admitted a
// second later is in time: the backlog does not outlive its cause.
func TestBacklogDoesNotOutliveItsCause(t *testing.T) {
	late, sent, refused := replayOverload(func(p *Picker, now time.Time) bool {
		return p.Admit([]Target{here}, "m", objective, now).Admitted
	})
	must.Eq(t, 0, late)
	must.Greater(t, 30, sent)
	must.Less(t, 85, refused, must.Sprint("60 were too many; a replica must not stand idle meanwhile"))
	late, _, _ = replayOverload(func(*Picker, time.Time) bool { return true })
	must.Greater(t, 10, late, must.Sprint("without the decision it does"))
}

// Load: one replica of four dies; streams that wait there for their first event while
// nothing shows that it lives go on elsewhere, those at a replica with a queue stay.
func TestOnlyStreamsWithoutASignOfLifeAreMoved(t *testing.T) {
	p := NewPicker("z", first)
	patience := p.Patience(StreamLimits{Model: "m", Objective: objective}).First
	unbounded := p.Patience(StreamLimits{Model: "m"}).First
	must.Eq(t, defaultFirstEvent, unbounded)
	for name, c := range map[string]struct {
		silence Silence
		move    bool
	}{
		"queue at a living replica":   {Silence{Waited: 10 * objective, Patience: patience, Replica: Alive}, false},
		"replica stands still":        {Silence{Waited: quietLeast, Patience: patience, Replica: Still}, true},
		"nothing known, early":        {Silence{Waited: objective, Patience: patience, Replica: Unknown}, false},
		"nothing known, too long":     {Silence{Waited: 2 * objective, Patience: patience, Replica: Unknown}, true},
		"no objective, early":         {Silence{Waited: defaultFirstEvent / 2, Patience: unbounded, Replica: Unknown}, false},
		"no objective, too long":      {Silence{Waited: defaultFirstEvent, Patience: unbounded, Replica: Unknown}, true},
		"begun, its answer lost":      {Silence{Begun: true, Patience: patience, Replica: Alive}, true},
		"begun, replica stands still": {Silence{Begun: true, Patience: patience, Replica: Still}, true},
	} {
		t.Run(name, func(t *testing.T) { must.Eq(t, c.move, c.silence.Move()) })
	}
}

// Load: a third of the daemons lose the store; each refuses what needs a proof, and callers come
// back to others. With 100 ms until then, callers due in 200 ms whose first event takes 75 ms
// and whose links 6 ms were late.
func TestCallersComeBackElsewhereInTime(t *testing.T) {
	const links, first, due = 6 * time.Millisecond, 75 * time.Millisecond, 200 * time.Millisecond
	must.Less(t, due, 4*links+ComeBack(Elsewhere)+first)
	must.Less(t, ComeBack(Busy), ComeBack(Elsewhere), must.Sprint("full replicas need longer"))
}

// Callers of a refused request are never sent away for longer than a queue takes.
func TestComeBack(t *testing.T) {
	times := []time.Duration{ComeBack(Elsewhere), ComeBack(Busy), ComeBack(Overload)}
	must.Positive(t, slices.Min(times))
	must.Eq(t, comeBackOverload, slices.Max(times))
}

// What happened: all machines lost power and started again; callers that reached a daemon
// before it knew its configuration were told to come back after 0.1 s, came back to another
// one that knew as little, and were lost: 1,469 and 2,121 refusals in four seconds. Why: the
// time to come back was that of a daemon that is alone in its trouble. What settled it:
// "no_configuration" twice for one request, 0.1 s apart.
func TestCallersOfADaemonThatStartsComeBackWhenItServes(t *testing.T) {
	must.GreaterEq(t, time.Second, ComeBack(Starting))
	must.Less(t, ComeBack(Overload), ComeBack(Elsewhere))
}
