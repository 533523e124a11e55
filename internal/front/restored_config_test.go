package front

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"pearlanding/internal/objectapi"
	"pearlanding/internal/relay"
)

func inEra(era, revision uint64) uint64 { return objectapi.MakeRevision(era, revision) }

// Guards against changes that are ignored because the store's revision fell, and against the copy of an
// earlier configuration that comes back into force or proves the one in force.
func TestConfigurationOfARestoredStore(t *testing.T) {
	f := newTestFollower()
	f.applyCurrentRead(object(inEra(1, 254), "20"), nil, testStart)
	at := func(s int) time.Time { return testStart.Add(time.Duration(s) * time.Second) }
	f.applyCurrentRead(object(inEra(2, 246), "18"), nil, at(1))
	must.Eq(t, 20, f.Current().Version(), must.Sprint("the copy is older"))
	must.Eq(t, testStart, f.Current().ProvedAt, must.Sprint("and proves nothing"))
	f.applyCurrentRead(object(inEra(1, 256), "22"), nil, at(1)) // an answer from before the return
	must.Eq(t, 22, f.Current().Version())
	f.applyCurrentRead(object(inEra(2, 248), "22"), nil, at(2))
	must.Eq(t, 22, f.Current().Version(), must.Sprint("written again"))
	must.Eq(t, at(2), f.Current().ProvedAt)
	f.applyCurrentRead(object(inEra(1, 300), "21"), nil, at(3))
	must.Eq(t, 22, f.Current().Version(), must.Sprint("of an earlier era"))
	f.applyCurrentRead(object(inEra(2, 250), "23"), nil, at(4))
	must.Eq(t, 23, f.Current().Version())
	must.True(t, f.renewProof(confirmation{inEra(2, 250), at(5)}))
	must.False(t, f.renewProof(confirmation{inEra(1, 250), at(6)}), must.Sprint("the same revision in another era"))
	f.applyCurrentRead(object(inEra(2, 260), "19"), nil, at(7))
	must.Eq(t, 19, f.Current().Version(), must.Sprint("within an era the operator's writes count"))
}

// Guards against a daemon that starts while the store holds the copy, and serves a configuration that the
// operator has replaced: keys that were removed would be accepted.
func TestDaemonStartedBesideARestoredStoreHearsOfNewerConfigurations(t *testing.T) {
	f := newTestFollower()
	f.stampsChanged = make(chan struct{}, 1)
	f.applyCurrentRead(object(inEra(2, 246), "18"), nil, testStart)
	must.Eq(t, 18, f.Current().Version(), must.Sprint("it knows no better"))
	f.noteStamp(relay.ConfigStamp{Object: inEra(2, 240), Operator: 30})
	f.checkStamps()
	must.Eq(t, testStart, f.Current().ProvedAt, must.Sprint("no news from an earlier era"))
	f.noteStamp(relay.ConfigStamp{Object: inEra(1, 254), Operator: 20})
	<-f.stampsChanged
	f.checkStamps()
	must.True(t, f.Current().ProvedAt.IsZero(), must.Sprint("a peer read a newer one before"))
	f.applyCurrentRead(object(inEra(2, 246), "18"), nil, testStart.Add(time.Second))
	must.True(t, f.Current().ProvedAt.IsZero())
	must.False(t, f.renewProof(confirmation{inEra(2, 246), testStart.Add(time.Second)}))
	f.applyCurrentRead(object(inEra(2, 250), "20"), nil, testStart.Add(2*time.Second))
	must.Eq(t, 20, f.Current().Version())
	must.Eq(t, testStart.Add(2*time.Second), f.Current().ProvedAt)

	fresh := newTestFollower()
	fresh.noteStamp(relay.ConfigStamp{Object: inEra(1, 254), Operator: 20})
	fresh.applyCurrentRead(object(inEra(2, 246), "18"), nil, testStart)
	must.Nil(t, fresh.Table(), must.Sprint("it was told before its first read"))
}
