// Package account tells from saved request lines of all daemons what made requests late or
// lost: by cause, by model or route, and by second. It decides
// nothing; which cause to mend first is read off its table.
package account

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"pearlanding/internal/decisionlog"
)

// Cause is what made a request late, or kept it from being answered.
type Cause string

// Causes, by what the request's line shows. A request counts for the first that applies.
const (
	InTime      Cause = "in time"
	NotProved   Cause = "configuration not proved" // refused: out of touch with the store
	Starting    Cause = "daemon starting"          // refused: nothing known yet
	Refused     Cause = "refused"                  // for another reason, before any send
	CallerLeft  Cause = "caller left"
	NoBudget    Cause = "repeat budget spent"
	NoAttempts  Cause = "attempts spent"
	Failed      Cause = "failed otherwise"
	LateBefore  Cause = "came late already" // the caller had waited past its objective before
	Connect     Cause = "connect"           // a connection did not come up
	SilentFirst Cause = "silence before the first event"
	SilentPause Cause = "silence between events"
	Broke       Cause = "send broke off"
	NotRun      Cause = "replica full or gone" // it said that it had not run the request
	Queue       Cause = "first event late"     // of a single send: queue, and reading
	Pause       Cause = "pause of its replica" // of a single send
)

// Row is one kind of requests and what became of them.
type Row struct {
	Kind   string        `json:"kind"`
	Total  int           `json:"total"`
	Counts map[Cause]int `json:"counts"`
}

// Report is the account of all lines.
type Report struct {
	Requests int         `json:"requests"` // lines that were sampled count for those they stand for
	Causes   []CauseLine `json:"causes"`   // most first
	Kinds    []Row       `json:"kinds"`    // by model, or route of a plain service
	Seconds  []Second    `json:"seconds"`
	Versions []Version   `json:"versions"` // of the configuration, oldest proof first
}

// CauseLine is one cause with how long its requests took.
type CauseLine struct {
	Cause Cause `json:"cause"`
	Count int   `json:"count"`
	// MedianMS is the median of what spoiled the answer: the longest pause for causes
	// between events, the first event otherwise, or the whole time of one that failed.
	MedianMS int `json:"median_ms"`
}

// Second counts the requests that ended in one second of the log.
type Second struct {
	At     time.Time     `json:"at"`
	Total  int           `json:"total"`
	Counts map[Cause]int `json:"counts"`
}

// request is what a line tells that matters here.
type request struct {
	kind      string
	status    int
	reason    string
	before    int // for how long the caller had waited when it came, in ms
	first     int
	pause     int
	took      int
	objective int
	gap       int
	ends      []string // of its sends
	weight    int
}

// Of makes the account of saved lines. Lines of other kinds, and of requests that matched no
// route or key, are passed over.
func Of(lines []decisionlog.Line) Report {
	kinds, causes, seconds := map[string]*Row{}, map[Cause][]int{}, map[int64]*Second{}
	r := Report{Versions: versions(lines)}
	for _, l := range lines {
		q, ok := read(l)
		if !ok {
			continue
		}
		cause, spoiled := q.cause()
		r.Requests += q.weight
		for range q.weight {
			causes[cause] = append(causes[cause], spoiled)
		}
		count(kinds, q.kind, cause, q.weight)
		at := l.Time.Truncate(time.Second)
		s := seconds[at.Unix()]
		if s == nil {
			s = &Second{At: at, Counts: map[Cause]int{}}
			seconds[at.Unix()] = s
		}
		s.Total += q.weight
		s.Counts[cause] += q.weight
	}
	for cause, times := range causes {
		slices.Sort(times)
		r.Causes = append(r.Causes, CauseLine{cause, len(times), times[len(times)/2]})
	}
	slices.SortFunc(r.Causes, func(a, b CauseLine) int { return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Cause, b.Cause)) })
	for _, row := range kinds {
		r.Kinds = append(r.Kinds, *row)
	}
	slices.SortFunc(r.Kinds, func(a, b Row) int { return cmp.Or(cmp.Compare(b.Total, a.Total), cmp.Compare(a.Kind, b.Kind)) })
	for _, s := range seconds {
		r.Seconds = append(r.Seconds, *s)
	}
	slices.SortFunc(r.Seconds, func(a, b Second) int { return a.At.Compare(b.At) })
	return r
}

func count(kinds map[string]*Row, kind string, cause Cause, n int) {
	row := kinds[kind]
	if row == nil {
		row = &Row{Kind: kind, Counts: map[Cause]int{}}
		kinds[kind] = row
	}
	row.Total += n
	row.Counts[cause] += n
}

// read takes a request's line; false: it is none, or of a request that nothing allows.
func read(l decisionlog.Line) (request, bool) {
	if l.Message != "request" {
		return request{}, false
	}
	q := request{status: number(l, "status"), reason: text(l, "reason"), before: number(l, "before_ms"), first: number(l, "first_ms"),
		pause: number(l, "max_gap_ms"), took: number(l, "took_ms"), objective: number(l, "objective_ms"), gap: number(l, "gap_ms"),
		weight: max(number(l, "stands_for"), 1), kind: cmp.Or(text(l, "model"), text(l, "route"))}
	sends, _ := l.Fields["sends"].([]any)
	for _, s := range sends {
		one, _ := s.(map[string]any)
		end, _ := one["end"].(string)
		q.ends = append(q.ends, end)
	}
	allowed := q.kind != "" && q.status != 401 && q.status != 404
	return q, allowed
}

func number(l decisionlog.Line, name string) int {
	v, _ := l.Fields[name].(float64)
	return int(v)
}

func text(l decisionlog.Line, name string) string {
	v, _ := l.Fields[name].(string)
	return v
}

// cause judges a request, and tells what spoiled it, in ms.
func (q *request) cause() (cause Cause, spoiled int) {
	if q.status/100 != 2 {
		return q.failure(), q.took
	}
	lateFirst := q.objective > 0 && q.before+q.first > q.objective
	latePause := q.gap > 0 && q.pause > q.gap
	switch {
	case !lateFirst && !latePause:
		return InTime, q.first
	case lateFirst && q.before > q.objective:
		return LateBefore, q.before + q.first
	case latePause:
		return q.delay(Pause, SilentPause), q.pause
	}
	return q.delay(Queue, SilentFirst), q.first
}

// failure is the cause of a request that was not answered.
func (q *request) failure() Cause {
	switch q.reason {
	case "configuration_not_proved_current", "unknown_key_in_old_configuration", "no_route_in_old_configuration":
		return NotProved
	case "no_configuration", "instances_not_known":
		return Starting
	case "caller_left", "caller_sent_no_whole_body":
		return CallerLeft
	case "retry_budget_spent":
		return NoBudget
	case "attempts_spent":
		return NoAttempts
	}
	if len(q.ends) == 0 {
		return Refused
	}
	return Failed
}

// delay is the cause of a late answer: alone if there was a single send, otherwise what ended
// the first send.
func (q *request) delay(alone, silent Cause) Cause {
	if len(q.ends) < 2 {
		return alone
	}
	switch end := q.ends[0]; {
	case strings.HasPrefix(end, "dial "):
		return Connect
	case strings.HasPrefix(end, "refused "):
		return NotRun
	case strings.Contains(end, "stands still"):
		return silent
	}
	return Broke
}
