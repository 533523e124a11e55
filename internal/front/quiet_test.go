package front

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// quietTime is how long a zone without any event is observed.
const quietTime = time.Minute

// Guards against daemons that lose their relay in a zone without any event: two daemons lost it
// again and again and followed the store themselves for three seconds each time, once when an
// outage of the store began. The relay's proof was up to 0.8 seconds old, its answer was held for
// up to 0.4 more, and the next call was to be held as long again, but had to be answered within
// 1.5 seconds; and a relay that had served nobody for a while waited for changes for three seconds,
// even when a peer called meanwhile. From the log of one of the two:
//
//	−0.362 "relay lost" "context deadline exceeded"
//	 2.649 "relay used"
//	 3.213 "relay lost" "context deadline exceeded"
func TestQuietZoneKeepsItsRelay(t *testing.T) {
	for seed := range uint64(8) {
		simulateZone(t, 4, seed, func(j *configChecker) {
			time.Sleep(startupTime)
			lostBefore, callsBefore := strings.Count(j.zone.logText(), "relay lost"), j.zone.store.callCount()
			j.run(quietTime)
			must.Eq(j.zone.t, lostBefore, strings.Count(j.zone.logText(), "relay lost"), must.Sprint("relays were lost"))
			// A relay watches twice a second and reads the configuration every 0.7 seconds; no other daemon
			// calls the store.
			must.LessEq(j.zone.t, int(3.6*quietTime.Seconds()), j.zone.store.callCount()-callsBefore)
		})
	}
}
