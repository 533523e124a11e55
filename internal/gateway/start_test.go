package gateway

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"pearlanding/internal/dispatch"
	"pearlanding/internal/fleet"
	"pearlanding/internal/quarantine"
	"pearlanding/internal/routes"
)

// Guards against requests that are refused with "no_configuration" because the daemon accepts
// them some milliseconds before it has read its configuration. After a power loss of all
// machines, 119 requests were refused in the second in which seven daemons started, and 3,065
// when 295 daemons started. The refusals came within 0.1 s after the start of a daemon, and most
// of the callers retried at a daemon in the same state.
func TestRequestDuringStartIsHeldUntilConfigurationIsKnown(t *testing.T) {
	var configKnown atomic.Bool
	table := routes.Compile(&routes.Config{Version: 1})
	g := &Gateway{
		Codec: testCodec{}, Gate: newGate(), Picker: dispatch.NewPicker("", func(int) int { return 0 }), Budgets: &dispatch.Budgets{},
		Limits: func() Limits { return Limits{} }, Stopping: func() bool { return false }, View: func() *fleet.View { return nil },
		Metrics: NewMetrics(metrics.NewSet()), Log: zap.NewNop(),
		Quarantine: quarantine.NewDetector(quarantine.NewEvidence(), nil, time.Now, zap.NewNop()),
		Starting:   func() bool { return !configKnown.Load() },
		Config: func() Config {
			if configKnown.Load() {
				return Config{Table: table, ProvedAt: time.Now()}
			}
			return Config{}
		},
	}
	time.AfterFunc(5*startPollInterval, func() { configKnown.Store(true) })
	w := httptest.NewRecorder()
	g.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/nowhere", nil))
	must.Eq(t, http.StatusNotFound, w.Code) // not 503, which it would be without a configuration
}

// testCodec reads only the host and path of a request.
type testCodec struct{ Codec }

func (testCodec) Request(r *http.Request) *Request { return &Request{Host: r.Host, Path: r.URL.Path} }

func (testCodec) SetRetryAfter(http.Header, time.Duration) {}
