// Package account counts, from the saved request lines of all daemons, what made requests late
// or left them without an answer: by cause, by model or route, and by second. It only reports;
// its table shows which cause to fix first.
package account

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"pearlanding/internal/decisionlog"
)

// Cause is what made a request late or left it without an answer.
type Cause string

// The causes, by the fields of the request line. A request counts under the first that applies,
// in the order of request.cause.
const (
	InTime                  Cause = "in time"
	ConfigurationNotProved  Cause = "configuration not proved" // rejected: the daemon had lost contact with the store
	DaemonStarting          Cause = "daemon starting"          // rejected: the daemon had no configuration or instances yet
	Refused                 Cause = "refused"                  // rejected for another reason, before any send
	CallerLeft              Cause = "caller left"
	RetryBudgetSpent        Cause = "repeat budget spent"
	AttemptsSpent           Cause = "attempts spent"
	FailedOtherwise         Cause = "failed otherwise"
	LateOnArrival           Cause = "came late already" // the caller had waited for longer than the objective before
	ConnectFailed           Cause = "connect"           // a connection could not be opened
	StalledBeforeFirstEvent Cause = "silence before the first event"
	StalledBetweenEvents    Cause = "silence between events"
	ConnectionLost          Cause = "send broke off"
	NotExecuted             Cause = "replica full or gone" // the replica reported that it had not run the request
	FirstEventLate          Cause = "first event late"     // although there was a single send: time in the queue and for reading the prompt
	GapTooLong              Cause = "pause of its replica" // between two events, although there was a single send
)

// KindSummary counts the requests of one model or route by cause.
type KindSummary struct {
	Kind   string        `json:"kind"` // name of the model, or of the route for a plain service
	Total  int           `json:"total"`
	Counts map[Cause]int `json:"counts"`
}

// Report counts the requests of all lines.
type Report struct {
	Requests int              `json:"requests"` // a sampled line counts for all requests that it represents
	Causes   []CauseSummary   `json:"causes"`   // most frequent first
	Kinds    []KindSummary    `json:"kinds"`    // most frequent first
	Seconds  []SecondSummary  `json:"seconds"`
	Versions []VersionSummary `json:"versions"` // of the configuration, the one with the oldest proof first
	Cuts     []CutSummary     `json:"cuts"`     // begun streams that were cut, most frequent first
}

// CauseSummary is one cause with the number of its requests and their median time.
type CauseSummary struct {
	Cause Cause `json:"cause"`
	Count int   `json:"count"`
	// MedianMS is the median of the time that was too long: the longest gap for causes between
	// events, the whole time for failed requests, and the time to the first event otherwise.
	MedianMS int `json:"median_ms"`
}

// SecondSummary counts the requests that ended in one second of the log by cause.
type SecondSummary struct {
	At     time.Time     `json:"at"`
	Total  int           `json:"total"`
	Counts map[Cause]int `json:"counts"`
}

// request holds the fields of a request line that decide its cause.
type request struct {
	kind               string
	status             int
	reason             string
	waitedMS           int // how long the caller had waited before the request arrived
	firstEventMS       int
	longestGapMS       int
	tookMS             int
	objectiveMS        int
	gapObjectiveMS     int
	events             int      // passed on to the caller
	sendEnds           []string // how each of its sends ended
	firstReplicaAtWork bool     // other streams had events from the first replica after this one's last
	weight             int      // number of requests that the line represents
}

// NewReport returns the report on saved lines. It skips lines that are no request lines, and requests
// that matched no route or key.
func NewReport(lines []decisionlog.Line) Report {
	kinds, causes, seconds := map[string]*KindSummary{}, map[Cause][]int{}, map[int64]*SecondSummary{}
	r, cuts := Report{Versions: summarizeVersions(lines)}, map[CutSummary]int{}
	for _, l := range lines {
		req, ok := parseRequest(l)
		if !ok {
			continue
		}
		cause, tooLongMS := req.cause()
		r.Requests += req.weight
		for range req.weight {
			causes[cause] = append(causes[cause], tooLongMS)
		}
		addToKind(kinds, req.kind, cause, req.weight)
		if cut, ok := req.cut(); ok {
			cuts[cut]++
		}
		at := l.Time.Truncate(time.Second)
		s := seconds[at.Unix()]
		if s == nil {
			s = &SecondSummary{At: at, Counts: map[Cause]int{}}
			seconds[at.Unix()] = s
		}
		s.Total += req.weight
		s.Counts[cause] += req.weight
	}
	for cause, times := range causes {
		slices.Sort(times)
		r.Causes = append(r.Causes, CauseSummary{cause, len(times), times[len(times)/2]})
	}
	slices.SortFunc(r.Causes, func(a, b CauseSummary) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Cause, b.Cause))
	})
	r.Cuts = sortCuts(cuts)
	for _, row := range kinds {
		r.Kinds = append(r.Kinds, *row)
	}
	slices.SortFunc(r.Kinds, func(a, b KindSummary) int { return cmp.Or(cmp.Compare(b.Total, a.Total), cmp.Compare(a.Kind, b.Kind)) })
	for _, s := range seconds {
		r.Seconds = append(r.Seconds, *s)
	}
	slices.SortFunc(r.Seconds, func(a, b SecondSummary) int { return a.At.Compare(b.At) })
	return r
}

// addToKind counts n requests of a kind.
func addToKind(kinds map[string]*KindSummary, kind string, cause Cause, n int) {
	row := kinds[kind]
	if row == nil {
		row = &KindSummary{Kind: kind, Counts: map[Cause]int{}}
		kinds[kind] = row
	}
	row.Total += n
	row.Counts[cause] += n
}

// parseRequest parses a request line. It returns false for another line, and for a request that
// matched no route or key.
func parseRequest(l decisionlog.Line) (request, bool) {
	if l.Message != "request" {
		return request{}, false
	}
	req := request{status: intField(l, "status"), reason: stringField(l, "reason"), waitedMS: intField(l, "before_ms"), firstEventMS: intField(l, "first_ms"),
		longestGapMS: intField(l, "max_gap_ms"), tookMS: intField(l, "took_ms"), objectiveMS: intField(l, "objective_ms"), gapObjectiveMS: intField(l, "gap_ms"),
		weight: max(intField(l, "stands_for"), 1), events: intField(l, "events"), kind: cmp.Or(stringField(l, "model"), stringField(l, "route"))}
	sends, _ := l.Fields["sends"].([]any)
	for _, s := range sends {
		send, _ := s.(map[string]any)
		end, _ := send["end"].(string)
		if len(req.sendEnds) == 0 {
			req.firstReplicaAtWork = isReplicaAtWork(send)
		}
		req.sendEnds = append(req.sendEnds, end)
	}
	matched := req.kind != "" && req.status != 401 && req.status != 404
	return req, matched
}

// intField returns a number of a line, 0 if it is missing.
func intField(l decisionlog.Line, name string) int {
	v, _ := l.Fields[name].(float64)
	return int(v)
}

// stringField returns a string of a line, empty if it is missing.
func stringField(l decisionlog.Line, name string) string {
	v, _ := l.Fields[name].(string)
	return v
}

// cause returns the first cause that applies to a request, and the time in ms that was too
// long; for an answer in time, that is the time to its first event.
func (req *request) cause() (cause Cause, tooLongMS int) {
	if req.status/100 != 2 {
		return req.failureCause(), req.tookMS
	}
	firstLate := req.objectiveMS > 0 && req.waitedMS+req.firstEventMS > req.objectiveMS
	gapLate := req.gapObjectiveMS > 0 && req.longestGapMS > req.gapObjectiveMS
	switch {
	case !firstLate && !gapLate:
		return InTime, req.firstEventMS
	case firstLate && req.waitedMS > req.objectiveMS:
		return LateOnArrival, req.waitedMS + req.firstEventMS
	case gapLate:
		return req.delayCause(GapTooLong, StalledBetweenEvents), req.longestGapMS
	}
	return req.delayCause(FirstEventLate, StalledBeforeFirstEvent), req.firstEventMS
}

// failureCause returns the cause of a request without an answer.
func (req *request) failureCause() Cause {
	switch req.reason {
	case "configuration_not_proved_current", "unknown_key_in_old_configuration", "no_route_in_old_configuration":
		return ConfigurationNotProved
	case "no_configuration", "instances_not_known":
		return DaemonStarting
	case "caller_left", "caller_sent_no_whole_body":
		return CallerLeft
	case "retry_budget_spent":
		return RetryBudgetSpent
	case "attempts_spent":
		return AttemptsSpent
	}
	if len(req.sendEnds) == 0 {
		return Refused
	}
	return FailedOtherwise
}

// delayCause returns the cause of a late answer. This is single if the first send has answered;
// otherwise it follows from how the first send ended, and is stalled if its stream stalled.
func (req *request) delayCause(single, stalled Cause) Cause {
	if len(req.sendEnds) < 2 {
		return single
	}
	switch end := req.sendEnds[0]; {
	case end == "answered":
		return single
	case strings.HasPrefix(end, "dial "):
		return ConnectFailed
	case strings.HasPrefix(end, "refused "):
		return NotExecuted
	case strings.Contains(end, "stands still"):
		return stalled
	}
	return ConnectionLost
}
