package gateway

import (
	"fmt"
	"io"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Metrics counts requests and measures their durations. Safe for concurrent use.
type Metrics struct {
	set    *metrics.Set
	mu     sync.Mutex
	labels map[string]bool
}

// maxLabels limits how many routes and workspaces get their own series.
const maxLabels = 64

// NewMetrics returns metrics that are registered in set.
func NewMetrics(set *metrics.Set) *Metrics { return &Metrics{set: set, labels: map[string]bool{}} }

// label returns value itself for the first maxLabels distinct values, and "other" for further
// ones.
func (m *Metrics) label(value string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.labels[value] {
		if len(m.labels) >= maxLabels {
			return "other"
		}
		m.labels[value] = true
	}
	return value
}

// observe records a finished request.
func (m *Metrics) observe(x *exchange, took time.Duration) {
	route, kind := "none", "none"
	if x.route != nil {
		route, kind = x.route.Name, string(x.route.Kind)
	}
	m.set.GetOrCreateCounter(fmt.Sprintf("pearlanding_requests_total{route=%q,kind=%q,status=\"%d\",reason=%q}", m.label(route), kind, x.status, x.reason)).Inc()
	m.set.GetOrCreateCounter(fmt.Sprintf("pearlanding_sends_total{route=%q,sends=\"%d\"}", m.label(route), len(x.sends))).Inc()
	m.countEndings(x.sends)
	if x.brokenSends > 0 {
		m.set.GetOrCreateCounter(fmt.Sprintf("pearlanding_sends_broken_total{route=%q}", m.label(route))).Add(x.brokenSends)
	}
	if x.progress.eventCount > 1 {
		m.set.GetOrCreateHistogram(fmt.Sprintf("pearlanding_longest_gap_seconds{route=%q}", m.label(route))).Update(x.progress.maxGap.Seconds())
	}
	if x.status/100 != 2 {
		return
	}
	if a := x.admission; a.ByFleet && len(x.sends) == 1 {
		m.set.GetOrCreateHistogram(fmt.Sprintf("pearlanding_first_event_predicted_seconds{route=%q}", m.label(route))).Update(a.Expected.Seconds())
		m.set.GetOrCreateHistogram(fmt.Sprintf("pearlanding_first_event_actual_seconds{route=%q}", m.label(route))).Update(x.firstByteAfter.Seconds())
	}
	workspace := m.label(x.workspace)
	m.set.GetOrCreateHistogram(fmt.Sprintf("pearlanding_answer_seconds{route=%q}", m.label(route))).Update(took.Seconds())
	m.set.GetOrCreateHistogram(fmt.Sprintf("pearlanding_answer_seconds{workspace=%q}", workspace)).Update(took.Seconds())
	m.set.GetOrCreateHistogram(fmt.Sprintf("pearlanding_first_byte_seconds{route=%q}", m.label(route))).Update(x.firstByteAfter.Seconds())
}

// countRefused counts a stream that was not admitted, by the reason and its priority.
func (m *Metrics) countRefused(x *exchange) {
	m.set.GetOrCreateCounter(fmt.Sprintf("pearlanding_admission_refused_total{reason=%q,priority=%q}", x.admission.Reason, m.label(strconv.Itoa(x.priority)))).Inc()
}

// countEndings counts the responses to the sends of a request, by how their bodies ended.
func (m *Metrics) countEndings(sends []sendLog) {
	for _, s := range sends {
		if s.status != 0 {
			m.set.GetOrCreateCounter(`pearlanding_upstream_responses_ended_total{framing="` + string(s.framing) + `",ended_by="` + string(s.ending) + `"}`).Inc()
		}
	}
}

// WriteLoadMetrics writes gauges for the requests in flight and the expected time to the first event
// at each recently used target, and for the remaining retry budgets. The series are generated
// on each call instead of registered, because targets come and go.
func (g *Gateway) WriteLoadMetrics(w io.Writer) {
	for _, l := range g.Picker.Loads(g.runClockNow()) {
		labels := fmt.Sprintf("{instance=%q}", l.Instance)
		metrics.WriteGaugeUint64(w, "pearlanding_target_in_flight"+labels, uint64(max(l.InFlight, 0)))
		metrics.WriteGaugeFloat64(w, "pearlanding_target_expected_first_event_seconds"+labels, l.Expected.Seconds())
	}
	for service, remaining := range g.Budgets.RetriesLeft(g.Limits().RetryBudget, g.Clock.Now()) {
		metrics.WriteGaugeFloat64(w, fmt.Sprintf("pearlanding_repeat_budget_left{service=%q}", service), remaining)
	}
}
