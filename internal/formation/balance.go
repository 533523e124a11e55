package formation

import (
	"cmp"
	"slices"

	"pearlanding/internal/fleet"
	"pearlanding/internal/routes"
)

// layout is the number of groups of each model that a domain is to hold, by the index of the model in
// the service's list.
type layout []int

// instances returns the number of instances in the groups of a layout.
func (l layout) instances(models []routes.Model) int {
	n := 0
	for i, groups := range l {
		n += groups * models[i].ReplicaSize
	}
	return n
}

// main returns the index of the model with the most instances.
func (l layout) main(models []routes.Model) int {
	best := 0
	for i, groups := range l {
		if groups*models[i].ReplicaSize > l[best]*models[best].ReplicaSize {
			best = i
		}
	}
	return best
}

// fit returns the layout for a domain of another size: large groups first, and what is left over goes to
// the main model.
func (l layout) fit(models []routes.Model, size int) layout {
	out, order := make(layout, len(l)), make([]int, len(l))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(models[b].ReplicaSize, models[a].ReplicaSize) })
	for _, i := range order {
		out[i] = min(l[i], size/models[i].ReplicaSize)
		size -= out[i] * models[i].ReplicaSize
	}
	i := l.main(models)
	out[i] += size / models[i].ReplicaSize
	return out
}

// domainCapacity is what a domain holds and is to hold.
type domainCapacity struct {
	name    string
	zone    string
	size    int              // instances
	layout  layout           // what it is to hold
	staged  []int            // instances that hold a model or load it, by model
	usable  []int            // of these, instances that are in no ready group of another model
	serving [][]*fleet.Group // groups that serve and are not being closed, by model
	closing []fleet.GroupKey // groups that close because their instances move
	lack    []int            // instances that have yet to load each model; nil: no layout was chosen for the domain
	fixed   bool             // nothing moves in it: its zone is evacuated, or all its instances were lost a moment ago
	// settling is the index of the model to which the domain was moved recently, -1: none.
	settling int
}

// modelNeed is what a model needs to serve its demand.
type modelNeed struct {
	groups  float64 // number of groups, at least one
	urgency int     // 0 is the most urgent
}

// capacityMove is a move of a part of a domain from one model to another.
type capacityMove struct {
	domain   *domainCapacity
	from, to int    // indexes of the models
	closed   int    // groups of the first model
	gained   int    // groups of the other one
	before   layout // the domain's before the move
}

// modelPair is the direction of a move, by the indexes of its models.
type modelPair struct{ from, to int }

// Rules of moves.
const (
	// donorReserve is the least ratio of capacity to need that a model keeps when it gives to one of
	// the same or lower urgency. It is above 1, so that a small change does not reverse the move.
	donorReserve = 1.05
	// minGain is the least factor by which a move for balance improves the headroom of the model
	// that has least: each group moved costs loads and some seconds of its capacity.
	minGain = 1.08
	// minUsedShare is the least part of the groups gained that a model must lack to get them at the expense
	// of a less urgent one that lacks capacity too.
	minUsedShare = 0.5
)

// balance returns the moves after which each model has what it needs, as far as that is possible, and
// changes the domains' layouts accordingly. It returns none unless a model is short of its need. Short
// models get groups in the order of their urgency, then of their deficit. Once models have what they need,
// the spare capacity is divided evenly, as it replaces domains that are lost. Nothing moves in the
// directions that are resting.
func balance(models []routes.Model, needs []modelNeed, domains []*domainCapacity, resting map[modelPair]bool) []capacityMove {
	b := &balancer{models: models, needs: needs, domains: domains, resting: resting, capacity: make([]int, len(models)), byZone: map[string][]int{}}
	for _, d := range domains {
		b.count(d, 1)
	}
	var out []capacityMove
	for range len(domains) * maxMovesPerDomain {
		m, ok := b.nextMove(len(out) > 0)
		if !ok {
			break
		}
		b.apply(m)
		out = append(out, m)
	}
	return out
}

// maxMovesPerDomain bounds the number of moves that one call of balance makes, per domain.
const maxMovesPerDomain = 8

// balancer is the state of one call of balance.
type balancer struct {
	models   []routes.Model
	needs    []modelNeed
	domains  []*domainCapacity
	resting  map[modelPair]bool
	capacity []int            // groups by model
	byZone   map[string][]int // groups by model
}

// count adds the groups of a domain's layout to the sums, factor times.
func (b *balancer) count(d *domainCapacity, factor int) {
	if b.byZone[d.zone] == nil {
		b.byZone[d.zone] = make([]int, len(b.models))
	}
	for i, n := range d.layout {
		b.capacity[i] += factor * n
		b.byZone[d.zone][i] += factor * n
	}
}

// headroom returns the ratio of capacity to need of a model with a number of additional groups.
func (b *balancer) headroom(model, added int) float64 {
	return float64(b.capacity[model]+added) / b.needs[model].groups
}

// nextMove returns the best move; ok is false if there is none. Moves for balance are considered only
// if moved is true.
func (b *balancer) nextMove(moved bool) (m capacityMove, ok bool) {
	order := make([]int, len(b.models))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(x, y int) int { return cmp.Compare(b.headroom(x, 0), b.headroom(y, 0)) })
	var short []int
	for _, i := range order {
		if b.headroom(i, 0) < 1 {
			short = append(short, i)
		}
	}
	slices.SortStableFunc(short, func(x, y int) int { return cmp.Compare(b.needs[x].urgency, b.needs[y].urgency) })
	slices.Reverse(order) // those with the most headroom give first
	for _, to := range short {
		if m, ok := b.moveTo(to, order, b.mayGive); ok {
			return m, true
		}
	}
	if !moved || len(short) > 0 {
		return m, false
	}
	return b.moveTo(order[len(order)-1], order, b.improves)
}

// moveTo returns the first move to a model that is allowed.
func (b *balancer) moveTo(to int, donors []int, allowed func(capacityMove) bool) (best capacityMove, ok bool) {
	for _, from := range donors {
		if from == to || b.resting[modelPair{from, to}] {
			continue
		}
		for _, d := range b.domains {
			m, possible := b.move(d, from, to)
			if possible && allowed(m) && (!ok || b.preferred(m, best)) {
				best, ok = m, true
			}
		}
		if ok {
			return best, true
		}
	}
	return best, false
}

// move returns the smallest move within a domain: one group of the larger model for those of the smaller
// one that take its place.
func (b *balancer) move(d *domainCapacity, from, to int) (capacityMove, bool) {
	sizeFrom, sizeTo := b.models[from].ReplicaSize, b.models[to].ReplicaSize
	free := max(d.size-d.layout.instances(b.models), 0)
	gained := max(sizeFrom/sizeTo, 1)
	closed := min((gained*sizeTo+sizeFrom-1)/sizeFrom, d.layout[from])
	settling := d.settling >= 0 && d.settling != to && len(d.serving[to]) < d.layout[to]+gained // else the last move closed nothing yet
	if closed == 0 || closed*sizeFrom+free < gained*sizeTo || d.fixed || settling {
		return capacityMove{}, false
	}
	return capacityMove{domain: d, from: from, to: to, closed: closed, gained: gained, before: d.layout}, true
}

// mayGive reports whether a model may give to one that is short: it keeps what it needs, or it is less
// urgent and keeps one group.
func (b *balancer) mayGive(m capacityMove) bool {
	if b.capacity[m.from]-m.closed < 1 {
		return false
	}
	if b.headroom(m.from, -m.closed) >= donorReserve {
		return true
	}
	lacking := b.needs[m.to].groups - float64(b.capacity[m.to])
	return b.needs[m.from].urgency > b.needs[m.to].urgency && lacking >= minUsedShare*float64(m.gained)
}

// improves reports whether the model with less headroom has clearly more after a move.
func (b *balancer) improves(m capacityMove) bool {
	after := min(b.headroom(m.from, -m.closed), b.headroom(m.to, m.gained))
	return b.capacity[m.from]-m.closed >= 1 && after >= minGain*b.headroom(m.to, 0)
}

// preferred reports whether move a is better than c, which is between the same models. A move that an
// earlier planner began is completed first, then domains that hold both models. Otherwise the zone with
// the fewest groups of the model is chosen, so that the loss of a zone costs each model the same.
func (b *balancer) preferred(a, c capacityMove) bool {
	begun := func(m capacityMove) int {
		return boolToInt(m.domain.staged[m.to] >= (m.domain.layout[m.to]+m.gained)*b.models[m.to].ReplicaSize)
	}
	mixed := func(m capacityMove) int { return boolToInt(m.domain.layout[m.to] > 0) }
	return cmp.Or(
		cmp.Compare(begun(c), begun(a)),
		cmp.Compare(mixed(c), mixed(a)),
		cmp.Compare(b.byZone[a.domain.zone][a.to], b.byZone[c.domain.zone][c.to]),
		cmp.Compare(len(a.domain.serving[a.from]), len(c.domain.serving[c.from])),
		cmp.Compare(a.domain.name, c.domain.name),
	) < 0
}

// apply changes a domain's layout.
func (b *balancer) apply(m capacityMove) {
	b.count(m.domain, -1)
	l := slices.Clone(m.domain.layout)
	l[m.from] -= m.closed
	l[m.to] += m.gained
	m.domain.layout = l.fit(b.models, m.domain.size)
	b.count(m.domain, 1)
}
