package dispatch

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"pearlanding/internal/demand"
)

// The costs of the measured engines: a full replica of the small model serves 26 requests a second,
// each stays 1.3 s, and a first event without a queue takes 20 to 100 ms.
func TestCostsOfMeasuredEngine(t *testing.T) {
	c, ok := costOf(ticketEngine, "m", usualRequest{})
	must.True(t, ok)
	must.InDelta(t, 26.5, c.rate(c.slots), 0.1)
	must.InDelta(t, 1.28, c.stay(c.slots), 0.01)
	must.InDelta(t, 0.084, c.firstEvent(33, 0), 0.002)
	must.InDelta(t, 0.084+10/26.5, c.firstEvent(43, 0), 0.002)
	must.InDelta(t, 43, c.maxLoad(c.firstEvent(43, 0), 0), 0.1)
	must.Less(t, 0, c.maxLoad(0.01, 0))
	_, ok = costOf(nil, "m", usualRequest{})
	must.False(t, ok)
	_, ok = costOf(ticketEngine, "other", usualRequest{})
	must.False(t, ok)
}

// Means of the service hide that the answers of one model are half as long: its capacity would be
// taken for half of what it is.
func TestCostsFollowCompletedRequests(t *testing.T) {
	p := testPicker()
	for range 300 {
		p.NoteCompleted(testModel, 674, 57)
		p.NoteCompleted(testModel, 0, 0) // nothing known
	}
	c, _ := costOf(ticketEngine, "m", p.statsOf(testModel).usual)
	must.InDelta(t, 23.0/2, c.passes, 0.5)
	must.InDelta(t, 674.0/46000*0.6, c.prefill, 0.0001)
}

// Guards against two services with models of the same name: the first events and pauses of one, which has
// other engines, were taken for those of the other.
func TestModelsOfTheSameNameAreKeptApart(t *testing.T) {
	p, other := testPicker(), ModelKey{"other", "m"}
	limits := StreamLimits{Model: testModel, Objective: 300 * time.Millisecond, MaxPause: 300 * time.Millisecond}
	unknown := p.StallTimeouts(limits)
	p.NoteFirstEvent(&here, other, t0, t0.Add(time.Second))
	for range minPauses {
		p.NotePause(&here, other, 2*time.Second, t0)
	}
	p.NoteCompleted(other, 10, 5000)
	must.Zero(t, p.FastestFirstEvent(testModel))
	must.Eq(t, unknown, p.StallTimeouts(limits))
	must.Eq(t, usualRequest{}, p.statsOf(testModel).usual)
	must.Eq(t, time.Second, p.FastestFirstEvent(other))
}

// knownFleet returns a picker of one of 100 daemons whose replicas have a number of requests each, with
// a demand per second, and the replicas.
func knownFleet(load int, perSecond float64) (*Picker, []Target) {
	p := NewPicker("z", func(n int) int { return n / 2 })
	reports := PeerReports{Daemons: 100, InFlight: map[string]int{}, Demand: []demand.Rate{{Key: demand.Key{Service: "s", Model: "m"}, Requests: perSecond}}}
	var targets []Target
	for _, id := range []string{"a", "b", "c", "d"} {
		targets = append(targets, Target{Instance: id, Zone: "z"})
		reports.InFlight[id] = load
	}
	p.SetPeerReports(reports, t0)
	return p, targets
}

func urgentRequest() *StreamRequest {
	return &StreamRequest{Service: "s", Model: "m", Engine: ticketEngine, Objective: 250 * time.Millisecond, Remaining: 2 * time.Second}
}

// The verdict includes its inputs.
func TestVerdictHoldsItsInputs(t *testing.T) {
	p, targets := knownFleet(10, 40)
	target, a := p.Place(targets, nil, urgentRequest(), t0)
	must.NotNil(t, target)
	must.True(t, a.Admitted && a.ByFleet)
	must.Eq(t, 4, a.Replicas)
	must.Eq(t, 1, a.Share)
	must.InDelta(t, 10, a.Load, 1)
	must.Greater(t, a.Load, a.Level)
	must.Less(t, 250*time.Millisecond, a.Expected)
	must.Eq(t, 1, p.InFlight()[target.Instance])
}

// All replicas have queues: the caller is refused at once, and told to return at a random time that
// it honours.
func TestRequestsBeyondCapacityAreRefused(t *testing.T) {
	p, targets := knownFleet(60, 200)
	target, a := p.Place(targets, nil, urgentRequest(), t0)
	must.Nil(t, target)
	must.Eq(t, NoReplicaInTime, a.Reason)
	must.Between(t, retryAfterBusy, a.RetryAfter, 2*time.Second/3)
	must.Eq(t, 0, len(p.InFlight()))
	req := urgentRequest()
	req.Remaining = 90 * time.Millisecond
	_, a = p.Place(targets, nil, req, t0)
	must.Between(t, 0, a.RetryAfter, req.Remaining/3)
}

// A stream that an instance may have run, or part of which was sent, can't be refused as not run.
func TestStreamThatMayHaveRunIsNotRefused(t *testing.T) {
	p, targets := knownFleet(60, 200)
	req := urgentRequest()
	req.Unrefusable = true
	target, _ := p.Place(targets, map[string]bool{"a": true}, req, t0)
	must.NotNil(t, target)
	must.NotEq(t, "a", target.Instance)
}

// Callers of an outage arrive late. Served in their turn they would make all others late too.
func TestLateRequestsGetSpareSlotsOnly(t *testing.T) {
	req := urgentRequest()
	req.Waited = 300 * time.Millisecond
	p, targets := knownFleet(10, 40)
	target, a := p.Place(targets, nil, req, t0)
	must.NotNil(t, target)
	must.True(t, a.Late)
	p, targets = knownFleet(28, 40)
	target, a = p.Place(targets, nil, req, t0)
	must.Nil(t, target)
	must.Eq(t, AlreadyLate, a.Reason)
	target, _ = p.Place(targets, nil, urgentRequest(), t0)
	must.NotNil(t, target, must.Sprint("28 of 34 slots are in use"))
}

// A prompt that can't be read within the objective is judged by the wait ahead of it: refusing it
// would starve the callers with the largest prompts.
func TestPromptTooLongForItsObjectiveIsAdmitted(t *testing.T) {
	p, targets := knownFleet(10, 40)
	req := urgentRequest()
	req.PromptTokens = 40_000 // 0.5 s
	target, a := p.Place(targets, nil, req, t0)
	must.NotNil(t, target)
	must.False(t, a.Late)
}

// Less urgent requests leave slots free.
func TestLessUrgentRequestsFillReplicasLess(t *testing.T) {
	p, targets := knownFleet(39, 0.1)
	reports := p.others
	reports.Demand = append(reports.Demand, demand.Rate{Key: demand.Key{Service: "s", Model: "m", Priority: 3}, Requests: 0.1})
	p.SetPeerReports(reports, t0)
	_, urgent := p.Place(targets, nil, urgentRequest(), t0)
	req := urgentRequest()
	req.Priority = 3
	_, other := p.Place(targets, nil, req, t0)
	must.Less(t, urgent.Level, other.Level)
	must.Less(t, urgent.Share, other.Share)
}

// Without the demand of other daemons, or with few of them, admission goes by this daemon's own streams
// as before, and only at the first send.
func TestPlaceDecidesByOwnRequestsWithoutReports(t *testing.T) {
	p := testPicker()
	p.Pick([]Target{here}, nil, t0)
	p.NoteSent(&here, minStallTimeout, t0)
	later := t0.Add(objective)
	req := urgentRequest()
	target, a := p.Place([]Target{here}, nil, req, later)
	must.Nil(t, target)
	must.Eq(t, NoReplicaInTime, a.Reason)
	must.Eq(t, RetryAfter(Overload), a.RetryAfter)
	must.False(t, a.ByFleet)
	target, _ = p.Place([]Target{here}, map[string]bool{"there": true}, req, later)
	must.NotNil(t, target)
}

// All replicas failed recently, as after a loss of paths: the least bad one is tried.
func TestSuspectReplicasAreUsedIfThereAreNoOthers(t *testing.T) {
	p, targets := knownFleet(60, 200)
	for i := range targets[:3] {
		p.Suspect(&targets[i], t0)
	}
	req := urgentRequest()
	req.Unrefusable = true
	for range 5 {
		target, _ := p.Place(targets, nil, req, t0)
		must.Eq(t, "d", target.Instance)
	}
	p.Suspect(&targets[3], t0)
	target, a := p.Place(targets, nil, urgentRequest(), t0)
	must.NotNil(t, target)
	must.True(t, a.Admitted)
}

// A step of the demand is known from the first report that shows a part of it; chance is no step, and
// neither are daemons whose reports are missing.
func TestDemandFollowsSteps(t *testing.T) {
	rates := func(daemons int, perSecond float64) *PeerReports {
		return &PeerReports{Daemons: daemons, Demand: []demand.Rate{{Key: demand.Key{Service: "s", Model: "m"}, Requests: perSecond}}}
	}
	current := func(before, latest *PeerReports) float64 {
		return currentRates(before, latest, 250*time.Millisecond)[testModel][0].first
	}
	must.InDelta(t, 800, current(rates(100, 400), rates(100, 500)), 10)
	must.InDelta(t, 420, current(rates(100, 400), rates(100, 420)), 10)
	must.InDelta(t, 200, current(rates(100, 400), rates(50, 200)), 10)
}

// Guards against a daemon with few requests that takes its last decision for what all others still do:
// one of 300 daemons decides once a second, and a burst is over after four.
func TestReportsChangeWhatOthersAreTakenToSend(t *testing.T) {
	p, targets := knownFleet(10, 40)
	_, a := p.Place(targets, nil, urgentRequest(), t0)
	must.Eq(t, 1, a.Share)
	reports := p.others
	reports.InFlight = map[string]int{"a": 60, "b": 60, "c": 60, "d": 60}
	p.SetPeerReports(reports, t0.Add(250*time.Millisecond))
	key := testModel
	must.Zero(t, p.flows[key].sent(targets[0].incarnation(), 1), must.Sprint("all refuse"))
}

// Guards against a new connection for most requests: each of many daemons sends few requests to many
// replicas, and 11,596 connections were opened for 22,026 requests. A full replica is not chosen for
// its connection.
func TestReplicasWithIdleConnectionsArePreferred(t *testing.T) {
	p, targets := knownFleet(5, 40)
	for i := range targets {
		targets[i].Address = targets[i].Instance
	}
	p.uniform = rand.New(rand.NewPCG(1, 2)).IntN
	chosen := func(idle string) (n int) {
		req := urgentRequest()
		req.HasIdle = func(address string) bool { return address == idle }
		for range 400 {
			target, _ := p.Place(targets, nil, req, t0)
			p.Release(target)
			if target.Address == idle {
				n++
			}
		}
		return n
	}
	must.Between(t, 220, chosen("c"), 320)
	reports := p.others
	reports.InFlight = map[string]int{"a": 5, "b": 5, "c": 60, "d": 5}
	p.SetPeerReports(reports, t0)
	must.Zero(t, chosen("c"))
}

// Guards against reports with absurd figures: a negative rate or age gives no number for the level, and
// this daemon would refuse every request or send all of them to one replica.
func TestAbsurdReportsAreNotUsed(t *testing.T) {
	for name, spoil := range map[string]func(*PeerReports){
		"negative rate": func(r *PeerReports) { r.Demand[0].Requests = -50 },
		"huge rates":    func(r *PeerReports) { r.Demand[0].Requests, r.Demand[0].Returns = 1e308, 1e308 },
		"negative age":  func(r *PeerReports) { r.Age = -time.Hour },
		"huge age":      func(r *PeerReports) { r.Age = 1 << 62 },
		"negative load": func(r *PeerReports) { r.InFlight["a"] = -1 << 40 },
		"huge load":     func(r *PeerReports) { r.InFlight["a"] = 1 << 62 },
	} {
		t.Run(name, func(t *testing.T) {
			p := NewPicker("z", rand.N[int])
			_, targets := knownFleet(5, 50)
			for i := range 4 {
				reports := PeerReports{Daemons: 100, InFlight: map[string]int{"a": 5, "b": 5, "c": 5, "d": 5},
					Demand: []demand.Rate{{Key: demand.Key{Service: "s", Model: "m"}, Requests: 50}}}
				spoil(&reports)
				p.SetPeerReports(reports, t0.Add(time.Duration(i)*250*time.Millisecond))
			}
			now := t0.Add(800 * time.Millisecond)
			used := map[string]bool{}
			for range 60 {
				target, a := p.Place(targets, nil, urgentRequest(), now)
				must.True(t, a.Admitted)
				must.False(t, math.IsNaN(a.Load+a.Level+a.Share) || math.IsInf(a.Load+a.Level, 0), must.Sprint(a))
				used[target.Instance] = true
			}
			must.GreaterEq(t, 3, len(used))
		})
	}
}
