package front

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"pearlanding/internal/membudget"
)

// Memory that may be held for callers and instances.
const (
	// peerMemoryShare is the part of the process's memory that may be held, a third of what
	// memoryLimitShare allows. Buffers and goroutines of streams are not accounted: with 1,000 callers that
	// stop reading, daemon and simulated peers took 56 MB, 4 MB of it accounted. At 136 MB one plain response
	// of the largest size (16 MiB) fits.
	peerMemoryShare = 0.2
	// defaultPeerMemory is the limit in bytes where the deployment sets no memory.
	defaultPeerMemory = 64 << 20
)

// callerWriteTimeout bounds the writing of responses to requests that are refused before their deadline is
// known; the gateway sets the limit of others. The server begins it anew with each request.
const callerWriteTimeout = time.Minute

// peerMemoryBytes returns the limit in bytes for a process with some memory.
func peerMemoryBytes(memoryMB int) int64 {
	if memoryMB <= 0 {
		return defaultPeerMemory
	}
	return int64(float64(memoryMB) * peerMemoryShare * (1 << 20))
}

// newPeerMemory returns the budget of a daemon and registers its metrics.
func newPeerMemory(memoryMB int, set *metrics.Set) *membudget.Budget {
	b := membudget.New(peerMemoryBytes(memoryMB))
	for name, value := range map[string]func(membudget.Usage) float64{
		`pearlanding_peer_memory_bytes{use="bodies"}`:  func(u membudget.Usage) float64 { return float64(u.Bodies) },
		`pearlanding_peer_memory_bytes{use="streams"}`: func(u membudget.Usage) float64 { return float64(u.Streams) },
		`pearlanding_peer_memory_bytes{use="ending"}`:  func(u membudget.Usage) float64 { return float64(u.Ending) },
		`pearlanding_peer_memory_limit_bytes`:          func(u membudget.Usage) float64 { return float64(u.Limit) },
		`pearlanding_peer_memory_refusals`:             func(u membudget.Usage) float64 { return float64(u.Refused) },
		`pearlanding_uploads_ended_for_memory`:         func(u membudget.Usage) float64 { return float64(u.Stalled) },
	} {
		set.GetOrCreateGauge(name, func() float64 { return value(b.Usage()) })
	}
	return b
}
