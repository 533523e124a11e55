package formation

import (
	"cmp"
	"slices"
	"time"

	"pearlanding/internal/fleet"
	"pearlanding/internal/routes"
)

// Rules of placement by demand.
const (
	// targetUtilization is the part of a group's time that may be in use before its model counts as
	// short. Arrivals vary by a tenth within seconds, and requests have waited for seconds at 0.82 of the
	// nominal capacity.
	targetUtilization = 0.85
	// minServingPart is the least part of its time that a group is taken to serve, however many members it
	// has whose deaths stall it.
	minServingPart = 0.5
	// capacityHold is for how long a domain that lost instances is still counted with them: entries that
	// lapse return, and instances restart, within seconds.
	capacityHold = 5 * time.Second
	// evacuationHold is how long an evacuated zone still counts as capacity: as long as a move takes.
	evacuationHold = 20 * time.Second
	// settleTime is how long after a move a domain is not moved away from the model it got.
	settleTime = 30 * time.Second
	// fallenDemandRatio is the ratio to the demand that caused a move below which the demand counts as fallen.
	fallenDemandRatio = 0.9
	// restTime is how long after a reversal nothing moves against it: three times what a move takes.
	restTime = 60 * time.Second
	// overloadRefusedShare is the fraction of refused requests from which a model counts as overloaded,
	// whatever its reported work.
	overloadRefusedShare = 0.1
	// maxUnreportedFactor is the largest factor by which reports may be too low: half of them may be lost.
	maxUnreportedFactor = 2
)

// placement is what a planner knows of the demand and the capacity of its service, and the layouts that
// it has chosen. Its successor derives them from the view.
type placement struct {
	history   demandHistory
	models    []string // by index; layouts are for these
	layouts   map[string]layout
	held      map[modelDomain]*heldCount
	zones     map[string]string       // of each domain counted
	movedAt   map[string]lastMove     // last move, by domain
	movedFrom map[modelPair]time.Time // last move
	reversed  map[modelPair]time.Time // last move that reversed one in the other direction
	evacuated map[string]time.Time    // since when, by zone
	retiring  map[fleet.GroupKey]bool
	moves     []Move // decided since the last TakeMoves

	// Of the current plan.
	domains map[string]*domainCapacity
	totals  []int // groups of each model in all layouts
	needs   []modelNeed
	minimum []float64 // groups of each model that serve at least while others close
}

// lastMove is the last move of a domain.
type lastMove struct {
	at       time.Time
	from, to int
	required float64 // number of groups that the gaining model needed
	before   layout  // the domain's layout before the moves of that time
}

func newPlacement() placement {
	return placement{layouts: map[string]layout{}, held: map[modelDomain]*heldCount{}, zones: map[string]string{}, movedAt: map[string]lastMove{},
		movedFrom: map[modelPair]time.Time{}, reversed: map[modelPair]time.Time{}, evacuated: map[string]time.Time{}, retiring: map[fleet.GroupKey]bool{}}
}

// place moves parts of domains to models whose demand exceeds their capacity, and changes the assignment
// accordingly. Without demand, and while each model has what it needs, it changes nothing.
func (p *Planner) place(state *planState, models assignment, byDomain map[string][]*fleet.Instance, now time.Time) {
	pl, engine := &p.placement, state.engine
	pl.domains, pl.needs = nil, nil
	if p.Demand == nil && len(pl.layouts) == 0 {
		return
	}
	if names := modelNames(engine); !slices.Equal(names, pl.models) {
		history, moves := pl.history, pl.moves
		*pl = newPlacement()
		pl.models, pl.history, pl.moves = names, history, moves
	}
	p.noteEvacuated(now)
	pl.domains = p.domainCapacities(state, models, byDomain, now)
	pl.history.observe(p.Demand, p.Service, engine.Models, pl.servingGroups(), now)
	counted := pl.counted(now)
	if len(pl.history.smoothed) > 0 {
		pl.needs, pl.minimum = p.modelNeeds(engine)
		p.cancelMoves()
		for _, m := range balance(engine.Models, pl.needs, counted, pl.resting(now)) {
			p.recordMove(engine, m, now)
		}
	}
	pl.totals = make([]int, len(pl.models))
	for name, d := range pl.domains {
		for i, n := range d.layout {
			pl.totals[i] += n
		}
		if pl.layouts[name] != nil {
			p.countLacking(state, d, byDomain[name])
		}
	}
	p.applyLayouts(state, models)
}

func modelNames(engine *routes.Engine) []string {
	out := make([]string, len(engine.Models))
	for i, m := range engine.Models {
		out[i] = m.Name
	}
	return out
}

// noteEvacuated records since when zones are evacuated.
func (p *Planner) noteEvacuated(now time.Time) {
	for zone := range p.placement.evacuated {
		if !p.Evacuated[zone] {
			delete(p.placement.evacuated, zone)
		}
	}
	for zone, evacuated := range p.Evacuated {
		if _, known := p.placement.evacuated[zone]; evacuated && !known {
			p.placement.evacuated[zone] = now
		}
	}
}

// counted returns the domains that count as capacity, sorted by name.
func (pl *placement) counted(now time.Time) []*domainCapacity {
	out := make([]*domainCapacity, 0, len(pl.domains))
	for _, d := range pl.domains {
		if since, evacuated := pl.evacuated[d.zone]; !evacuated || now.Sub(since) <= evacuationHold {
			out = append(out, d)
		}
	}
	slices.SortFunc(out, func(a, b *domainCapacity) int { return cmp.Compare(a.name, b.name) })
	return out
}

// modelNeeds returns what each model needs, and the groups of each that must serve while others close.
// Reports are missing for all models alike, so that the largest factor counts for each of them.
func (p *Planner) modelNeeds(engine *routes.Engine) (needs []modelNeed, minimum []float64) {
	factor := 1.0
	for _, d := range p.placement.history.smoothed {
		factor = max(factor, d.unreported)
	}
	for _, m := range engine.Models {
		d, known := p.placement.history.smoothed[m.Name]
		if !known {
			d.urgency = leastUrgent
		}
		inUse := factor * d.work / targetUtilization
		needs = append(needs, modelNeed{groups: max(inUse/servingPart(m), 1), urgency: d.urgency})
		minimum = append(minimum, max(inUse, 1))
	}
	return needs, minimum
}

// servingPart returns the part of the time in which a group of a model serves: one dead member stalls
// the whole group.
func servingPart(m routes.Model) float64 {
	return max(1-stallLossPerMember*float64(m.ReplicaSize), minServingPart)
}

// recordMove makes a move's result the layout of its domain.
func (p *Planner) recordMove(engine *routes.Engine, m capacityMove, now time.Time) {
	pl := &p.placement
	pl.layouts[m.domain.name] = m.domain.layout
	p.assigned[m.domain.name] = engine.Models[m.domain.layout.main(engine.Models)].Name
	move := p.describe(m.domain, m.from, m.to)
	move.Closed, move.Gained = m.closed, m.gained
	earlier, moved := pl.movedAt[m.domain.name]
	if moved && m.to == earlier.from && !earlier.begun(m.domain) {
		move.Canceled = true // it takes back a part of a move that has closed nothing
		pl.moves = append(pl.moves, move)
		return
	}
	last := lastMove{at: now, from: m.from, to: m.to, required: pl.needs[m.to].groups, before: m.before}
	if moved && earlier.at.Equal(now) {
		last.before = earlier.before
	}
	pl.movedAt[m.domain.name] = last
	pl.noteDirection(modelPair{m.from, m.to}, now)
	pl.moves = append(pl.moves, move)
}

// describe returns the record of a move with the demand that it rests on.
func (p *Planner) describe(d *domainCapacity, from, to int) Move {
	pl := &p.placement
	gaining, other := pl.history.smoothed[pl.models[to]], pl.history.smoothed[pl.models[from]]
	return Move{Service: p.Service, Domain: d.name, Zone: d.zone, From: pl.models[from], To: pl.models[to], Required: pl.needs[to].groups,
		DonorRequired: pl.needs[from].groups, Work: gaining.work, DonorWork: other.work, Refused: gaining.refused, Unreported: gaining.unreported}
}

// begun reports whether a group has been closed for the move, or was lost since.
func (m *lastMove) begun(d *domainCapacity) bool {
	return len(d.closing) > 0 || len(d.serving[m.from]) < m.before[m.from]
}

// cancelMoves restores the layout of domains in which no group has closed yet, if the cause of the
// move is gone: the demand fell clearly, and the groups that serve suffice.
func (p *Planner) cancelMoves() {
	pl := &p.placement
	serving := pl.servingGroups()
	for name, last := range pl.movedAt {
		d, need := pl.domains[name], pl.needs[last.to].groups
		if d == nil || last.begun(d) {
			continue
		}
		if need < fallenDemandRatio*last.required && float64(serving[last.to]) >= donorReserve*need {
			pl.layouts[name], d.layout, d.settling = last.before, last.before, -1
			delete(pl.movedAt, name)
			move := p.describe(d, last.to, last.from)
			move.Canceled = true
			pl.moves = append(pl.moves, move)
		}
	}
}

// noteDirection records when capacity moved between two models, and whether that reversed a move.
func (pl *placement) noteDirection(pair modelPair, now time.Time) {
	if at, moved := pl.movedFrom[modelPair{pair.to, pair.from}]; moved && now.Sub(at) < restTime {
		pl.reversed[pair] = now
	}
	pl.movedFrom[pair] = now
}

// resting returns the directions in which nothing moves now: against a move that was itself a reversal.
// Demand that swings faster than capacity can follow would keep groups closed and hosts loading.
func (pl *placement) resting(now time.Time) map[modelPair]bool {
	out := map[modelPair]bool{}
	for pair, at := range pl.reversed {
		out[modelPair{pair.to, pair.from}] = now.Sub(at) < restTime
	}
	return out
}

// Move is a decision to move a part of a domain from one model to another.
type Move struct {
	Service, Domain, Zone string
	From, To              string  // models
	Closed, Gained        int     // groups of each
	Required              float64 // groups that the gaining model needs
	DonorRequired         float64 // groups that the other one needs
	Work, DonorWork       float64 // smoothed demand in full replicas, as reported
	Refused               float64 // fraction of the gaining model's requests that were refused
	Unreported            float64 // factor by which its demand is higher than reported
	Canceled              bool    // takes back an earlier move that has closed no group
}

// TakeMoves returns the moves decided since the last call.
func (p *Planner) TakeMoves() []Move {
	out := p.placement.moves
	p.placement.moves = nil
	return out
}

// applyLayouts changes the assignment and the targets to the layouts chosen by moves. A domain that holds
// another model, as after the move of an earlier planner, may form groups of it.
func (p *Planner) applyLayouts(state *planState, models assignment) {
	pl, engine := &p.placement, state.engine
	placed := make([]bool, len(engine.Models)) // models with groups in a chosen layout
	for name := range models {
		for i, n := range pl.layouts[name] {
			placed[i] = placed[i] || n > 0
		}
	}
	for name := range models {
		d := pl.domains[name]
		if d == nil {
			continue
		}
		list, chosen := models[name][:1:1], pl.layouts[name] != nil
		if chosen {
			list = []routes.Model{engine.Models[d.layout.main(engine.Models)]}
		}
		for i, m := range engine.Models {
			held := d.usable[i] >= m.ReplicaSize || state.groupCount[modelDomain{name, m.Name}] > 0
			shared := !chosen && contains(models[name], m.Name) && !placed[i]
			if !contains(list, m.Name) && (held || shared || chosen && d.layout[i] > 0) {
				list = append(list, m)
			}
		}
		models[name] = list
	}
	if len(pl.layouts) == 0 {
		return
	}
	for i, m := range engine.Models {
		state.targets[m.Name] = float64(pl.totals[i] * m.ReplicaSize)
	}
}

func contains(models []routes.Model, name string) bool {
	return slices.ContainsFunc(models, func(m routes.Model) bool { return m.Name == name })
}

// mayForm reports whether one more group of a model may form in a domain. In a domain with a chosen
// layout, groups beyond it form only while the move to it still waits for loads.
func (s *planState) mayForm(d *freeDomain, m routes.Model) bool {
	pl := &s.planner.placement
	c := pl.domains[d.name]
	if c == nil || pl.layouts[d.name] == nil {
		return true
	}
	i, limit := slices.Index(pl.models, m.Name), 0
	if last, ok := pl.movedAt[d.name]; ok && c.missing() >= 0 {
		limit = last.before[i]
	}
	return s.groupCount[modelDomain{d.name, m.Name}] < max(c.layout[i], limit)
}
