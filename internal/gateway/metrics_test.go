package gateway

import (
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/shoenig/test/must"

	"pearlanding/internal/routes"
)

// Two sends and a pause show in the metrics of the stream's route.
func TestMetricsTellSendsAndPauses(t *testing.T) {
	set := metrics.NewSet()
	route := &routes.Route{Name: "spec", Kind: routes.Stream}
	NewMetrics(set).observe(&exchange{route: route, status: 200, events: 30, maxGap: 80 * time.Millisecond, sends: make([]sendLog, 2)}, time.Second)
	var text strings.Builder
	set.WritePrometheus(&text)
	must.StrContains(t, text.String(), `pearlanding_sends_total{route="spec",sends="2"} 1`)
	must.StrContains(t, text.String(), `pearlanding_longest_gap_seconds_sum{route="spec"} 0.08`)
}
