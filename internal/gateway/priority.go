package gateway

// queuePriority returns the rank of the request's priority among those configured for streams, with
// their number. Requests from the reserve of their priority queue like the most urgent ones: behind
// them they would be starved after all.
func (x *exchange) queuePriority() (rank, priorities int) {
	if x.service.Engine == nil || x.config.Table == nil {
		return 0, 1
	}
	rank, priorities = x.config.Table.StreamPriorityRank(x.priority)
	if x.admission.Reserved {
		rank = 0
	}
	return rank, priorities
}
