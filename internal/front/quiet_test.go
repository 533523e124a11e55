package front

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// quietFor is how long a zone is looked at in which nothing happens.
const quietFor = time.Minute

// In a zone in which nothing happened two daemons lost their relay again and again, followed the
// store by themselves for three seconds each time, and one of these times were without a relay
// as the store went away. The relay's proof was up to 0.8 seconds old, its word was held for up
// to 0.4 more, and the next call was to be held as long again, but had to be answered before 1.5
// seconds were over; and a relay that nobody had asked for a while waited for changes for three
// seconds, whoever turned up meanwhile. What settled it, of one of the two:
//
//	−0.362 "relay lost" "context deadline exceeded"
//	 2.649 "relay used"
//	 3.213 "relay lost" "context deadline exceeded"
func TestQuietZoneKeepsItsRelay(t *testing.T) {
	for seed := range uint64(8) {
		inZone(t, 4, seed, func(j *judge) {
			time.Sleep(settle)
			before, calls := strings.Count(j.zone.told(), "relay lost"), j.zone.store.made()
			j.run(quietFor)
			must.Eq(j.zone.t, before, strings.Count(j.zone.told(), "relay lost"), must.Sprint("relays were lost"))
			// A relay follows twice a second and reads the configuration each 0.7 seconds; nobody else asks.
			must.LessEq(j.zone.t, int(3.6*quietFor.Seconds()), j.zone.store.made()-calls)
		})
	}
}
