package gateway

import "pearlanding/internal/demand"

// demandKey returns the key under which the request's demand is counted; ok is false for a request
// without a model, as the capacity of plain services is not planned.
func (x *exchange) demandKey() (key demand.Key, ok bool) {
	if x.gateway.Demand == nil || x.service.Engine == nil {
		return demand.Key{}, false
	}
	if _, known := x.service.Engine.Model(x.req.Model); !known {
		return demand.Key{}, false
	}
	return demand.Key{Service: x.service.Name, Model: x.req.Model, Priority: x.priority}, true
}

// countDemand counts the request as demand for its model. Its work is that of the token counts that its
// caller states, but at most that of one replica until its deadline.
func (x *exchange) countDemand() {
	key, ok := x.demandKey()
	if !ok {
		return
	}
	m, _ := x.service.Engine.Model(x.req.Model)
	work := x.service.Engine.Work(m, x.req.PromptTokens, x.req.ExpectedOutputTokens)
	work = min(work, max(x.deadline.Sub(x.arrivedAt), 0))
	x.gateway.Demand.Arrived(key, work, x.priorWait > 0, x.arrivedAt)
}

// countRefusedDemand counts that the request was refused for lack of capacity.
func (x *exchange) countRefusedDemand() {
	if key, ok := x.demandKey(); ok && x.priorWait == 0 {
		x.gateway.Demand.Refused(key, x.arrivedAt)
	}
}
