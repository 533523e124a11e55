package gateway

import (
	"testing"

	"github.com/shoenig/test/must"

	"pearlanding/internal/routes"
)

// Requests queue at engines by the priorities configured for streams, those from the reserve like the
// most urgent ones.
func TestQueuePriority(t *testing.T) {
	x := newFleetExchange(5)
	urgent := 0
	x.config.Table = routes.Compile(&routes.Config{Routes: []routes.Route{{Kind: routes.Stream, Priority: 1}, {Kind: routes.Stream, Priority: 1}, {Kind: routes.Idempotent, Priority: 7}},
		Workspaces: []routes.Workspace{{Name: "w", Priority: &urgent}}})
	rank, priorities := x.queuePriority()
	must.Eq(t, [2]int{1, 2}, [2]int{rank, priorities})
	x.admission.Reserved = true
	rank, _ = x.queuePriority()
	must.Zero(t, rank)
	x.service = &routes.Service{Name: "plain"}
	rank, priorities = x.queuePriority()
	must.Eq(t, [2]int{0, 1}, [2]int{rank, priorities})
}
