package upstream

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Load: a host goes dark and answers no connection, while those to others come up in
// milliseconds. A request must learn soon that it was not sent, and slower links must be
// given their time: ones that take 60 ms are no sign of a dark host.
func TestConnectionsToADarkHostAreGivenUpSoon(t *testing.T) {
	const most = 400 * time.Millisecond
	var c connectTimer
	must.Eq(t, most, c.limit(most), must.Sprint("nothing known"))
	for range 50 {
		c.note(3 * time.Millisecond)
	}
	must.Eq(t, connectLeast, c.limit(most))
	for range 50 {
		c.note(60 * time.Millisecond)
	}
	must.Eq(t, 4*60*time.Millisecond, c.limit(most))
	for range 50 {
		c.note(time.Second)
	}
	must.Eq(t, most, c.limit(most))
}
