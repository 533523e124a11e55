package relay

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"pearlanding/internal/dispatch"
)

// newBusyRelay returns a relay whose zone's daemons reported their loads, each for a number of
// replicas, and the last daemon's report.
func newBusyRelay(daemons, replicas int, now time.Time) (*Node, ShareRequest) {
	n := &Node{opts: Options{Now: func() time.Time { return now }, StaleAfter: func() time.Duration { return time.Second }, Gate: (&zone{}).gate(),
		Traffic: Traffic{RetryPoolRule: func() dispatch.RetryPoolRule { return dispatch.RetryPoolRule{} }}}, history: newHistory(), reports: newReports()}
	n.isRelay.Store(true)
	n.storeReached.Store(true)
	var request ShareRequest
	for d := range daemons {
		request = ShareRequest{From: fmt.Sprint("d", d), Loads: map[string]int{}}
		for r := range replicas {
			request.Loads[fmt.Sprintf("i-%05d", r)] = 1
			request.ActiveGroups = append(request.ActiveGroups, groupRef{fmt.Sprintf("m0-%08d", r), uint64(r)})
		}
		n.share.loads.note(request, now)
	}
	return n, request
}

// Guards against answers that count every group of every peer again: a relay of a hundred
// daemons spent a third of a core on them.
func TestShareAnswerCostIsIndependentOfGroups(t *testing.T) {
	now := time.Unix(1000, 0)
	cost := func(replicas int) float64 {
		n, request := newBusyRelay(50, replicas, now)
		return testing.AllocsPerRun(10, func() {
			_, _, err := n.mergeShare(request)
			must.NoError(t, err)
		})
	}
	must.LessEq(t, cost(10)+2, cost(200))
}

// Peers of the previous version decode the same answer.
func TestEncodedShareEqualsPlainShare(t *testing.T) {
	n, request := newBusyRelay(3, 5, time.Unix(1000, 0))
	plain, err := n.answerShare(t.Context(), request)
	must.NoError(t, err)
	encoded, err := n.answerShareEncoded(t.Context(), request)
	must.NoError(t, err)
	text, err := json.Marshal(encoded)
	must.NoError(t, err)
	var read ShareReply
	must.NoError(t, json.Unmarshal(text, &read))
	must.MapLen(t, 5, read.Loads)
	must.Eq(t, plain.Loads, read.Loads)
	must.Eq(t, plain.Daemons, read.Daemons)
}

// BenchmarkAnswerShare measures what a relay spends on one of its peers, four times a second.
func BenchmarkAnswerShare(b *testing.B) {
	for _, daemons := range []int{10, 100} {
		b.Run(fmt.Sprint(daemons), func(b *testing.B) {
			n, request := newBusyRelay(daemons, 200, time.Unix(1000, 0))
			for b.Loop() {
				reply, err := n.answerShareEncoded(b.Context(), request)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := json.Marshal(reply); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
