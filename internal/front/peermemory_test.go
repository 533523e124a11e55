package front

import (
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/shoenig/test/must"
	"go.uber.org/zap"
)

// Guards against a daemon that is killed for its memory because its share for peers grows beyond its heap,
// and against a share in which the largest plain response (16 MiB) never fits.
func TestPeerMemoryOfASmallDaemon(t *testing.T) {
	const smallest = 136
	set := metrics.NewSet()
	b := newPeerMemory(smallest, set)
	must.Less(t, memoryLimitShare/2*smallest*(1<<20), float64(b.Usage().Limit))
	must.True(t, b.TakeBody(16<<20+1))
	var text strings.Builder
	set.WritePrometheus(&text)
	must.StrContains(t, text.String(), `pearlanding_peer_memory_bytes{use="bodies"} 16777217`)
	must.Eq(t, defaultPeerMemory, newPeerMemory(0, metrics.NewSet()).Usage().Limit)
}

// Guards against responses that are written without a time limit, and against the limit of one request that
// holds for the next one on its connection.
func TestCallersServerLimitsWrites(t *testing.T) {
	must.Positive(t, (&Daemon{Log: zap.NewNop()}).callersServer().WriteTimeout)
}
