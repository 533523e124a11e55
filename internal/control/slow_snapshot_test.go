package control

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"pearlanding/internal/cluster"
	"pearlanding/internal/revision"
)

// Guards against a daemon that admits no requests although all its peers answer: on a
// busy machine a snapshot took about 10 ms of wall time, the loop then gathered events for
// 200 times as long, and the 2 s admission lease expired before the next snapshot renewed
// it.
func TestAdmissionOutlastsASlowSnapshot(t *testing.T) {
	for _, took := range []time.Duration{time.Millisecond, 15 * time.Millisecond, 200 * time.Millisecond} {
		t.Run(took.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkAdmitsWithSnapshotTime(t, took) })
		})
	}
}

func checkAdmitsWithSnapshotTime(t *testing.T, took time.Duration) {
	ctx, cancel := context.WithCancel(t.Context())
	const sync, lease = 250 * time.Millisecond, 2 * time.Second
	c := New(Config{Slot: "a", Incarnation: "i", SyncInterval: sync, AdmissionLease: lease, EvidenceAge: time.Second},
		func() cluster.DaemonLoad { return cluster.DaemonLoad{} })
	c.now = func() time.Time {
		time.Sleep(took)
		return time.Now()
	}
	go c.Run(ctx)
	defer func() {
		cancel()
		<-c.done
	}()
	head := revision.NewHead()
	for _, slot := range []string{"a", "b", "c"} {
		head = head.WithMember(slot, revision.Member{Incarnation: "i"})
	}
	head = head.WithAccepted()
	c.ObserveHead(ctx, head, 1, time.Now())
	_, err := c.Await(ctx, func(s *Snapshot) bool { return s.MayAdmit(time.Now()) })
	must.NoError(t, err)
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); { // during an outage of the platform
		for _, slot := range []string{"b", "c"} {
			c.ObserveSyncReply(cluster.SyncReply{Slot: slot, Incarnation: "i", Revision: head.Revision, HeadVersion: 1}, time.Now())
		}
		for next := time.Now().Add(sync); time.Now().Before(next); time.Sleep(10 * time.Millisecond) {
			must.True(t, c.Snapshot().MayAdmit(time.Now()), must.Sprint("admits no requests although its peers answer"))
		}
	}
}
