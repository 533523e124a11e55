package dispatch

import "time"

// Parameters of the record of what was sent.
const (
	flowSlot  = 50 * time.Millisecond
	flowSlots = 64 // more than loadTTL
)

// fleetFlow estimates what the other daemons sent to each replica of a model since a report: they decide by
// the same reports and rules as this one, so it is recorded which part of the demand these assign to
// each replica. Without it, a replica that looked idle in one report would be sent too much until the
// effect is seen in a later one. The demand itself is known later than it is served, so that what is
// recorded is multiplied by the latest one.
type fleetFlow struct {
	origin time.Time // from which slots are counted; zero: nothing was recorded
	last   int64     // number of the latest slot
	// The replicas and the request of the latest decision, which is repeated with each report.
	replicas  []Target
	request   StreamRequest
	decidedAt time.Time
	targets   map[incarnation]*targetFlow
}

// followReports repeats the latest decision on each model with a new report, as the other daemons
// that get requests now do: this one may get none for longer than a report lasts. p.mu is held.
func (p *Picker) followReports(now time.Time) {
	shown, taken := 0.0, 0.0
	for _, flow := range p.flows {
		if now.Sub(flow.decidedAt) > recordTTL {
			continue
		}
		if f, ok := p.fleetState(flow.replicas, &flow.request, now); ok {
			shown, taken = shown+f.shown, taken+f.taken
			f.admit(&flow.request, func() float64 { return 0 })
			f.recordFlow(flow.replicas)
		}
	}
	p.missing.observe(shown, taken)
}

// targetFlow holds the parts of the demand that were sent to a replica, by slot, times its length in
// seconds.
type targetFlow struct {
	slots [flowSlots]float32
	used  int64 // number of the slot in which the replica was last a target
}

// advance makes the slot of a time the latest one. In slots without a decision as much was sent as in
// the one before.
func (f *fleetFlow) advance(now time.Time) {
	if f.origin.IsZero() {
		f.origin = now.Add(-flowSlots * flowSlot)
	}
	number := int64(now.Sub(f.origin) / flowSlot)
	if number-f.last >= flowSlots {
		clear(f.targets)
		f.last = number
	}
	for ; f.last < number; f.last++ {
		for id, t := range f.targets {
			if f.last-t.used >= flowSlots {
				delete(f.targets, id)
				continue
			}
			t.slots[(f.last+1)%flowSlots] = t.slots[f.last%flowSlots]
		}
	}
}

// sent returns how many requests were sent to a replica within the last slots, at a demand of one per
// second.
func (f *fleetFlow) sent(id incarnation, slots int) float64 {
	t := f.targets[id]
	if t == nil {
		return 0
	}
	sum := float32(0)
	for n := range int64(min(slots, flowSlots)) {
		sum += t.slots[(f.last-n+flowSlots)%flowSlots]
	}
	return float64(sum)
}

// set records which part of the demand a replica is sent from now on.
func (f *fleetFlow) set(id incarnation, part float64) {
	t := f.targets[id]
	if t == nil {
		t = &targetFlow{}
		f.targets[id] = t
	}
	t.used = f.last
	t.slots[f.last%flowSlots] = float32(part * flowSlot.Seconds())
}
