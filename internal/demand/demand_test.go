package demand

import (
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var (
	t0    = time.Unix(1000, 0)
	small = Key{Service: "llm", Model: "small", Priority: 0}
	large = Key{Service: "llm", Model: "large", Priority: 1}
)

// Guards against rates that miss refused requests: a model whose callers are refused would look
// idle, and the planner would take replicas from it.
func TestRefusedRequestsAreDemand(t *testing.T) {
	var c Counter
	for i := range 40 {
		now := t0.Add(time.Duration(i) * 25 * time.Millisecond)
		c.Arrived(small, 50*time.Millisecond, false, now)
		if i%2 == 0 {
			c.Refused(small, now)
		}
	}
	rates := c.Rates(t0.Add(975 * time.Millisecond))
	must.Len(t, 1, rates)
	must.InDelta(t, 40, rates[0].Requests, 2)
	must.InDelta(t, 20, rates[0].Refused, 2)
	must.InDelta(t, 2, rates[0].Work, 0.1)
}

// Guards against refused callers that return being taken for further demand.
func TestReturnsAreNoDemand(t *testing.T) {
	var c Counter
	c.Arrived(small, time.Second, true, t0)
	rates := c.Rates(t0.Add(window - time.Millisecond))
	must.Len(t, 1, rates)
	must.Zero(t, rates[0].Requests)
	must.Zero(t, rates[0].Work)
	must.Positive(t, rates[0].Returns)
}

// Guards against demand that is still reported after it ended.
func TestDemandEndsWithTheWindow(t *testing.T) {
	var c Counter
	c.Arrived(small, time.Second, false, t0)
	must.Len(t, 1, c.Rates(t0))
	must.Len(t, 0, c.Rates(t0.Add(window+window/slotCount)))
}

// The demand of all daemons is the sum of theirs by service, model and priority.
func TestSumAddsUpByKey(t *testing.T) {
	one := []Rate{{Key: small, Requests: 3, Work: 0.5}, {Key: large, Requests: 1, Work: 2}}
	other := []Rate{{Key: small, Requests: 4, Refused: 2, Work: 0.25}}
	must.Eq(t, []Rate{{Key: large, Requests: 1, Work: 2}, {Key: small, Requests: 7, Refused: 2, Work: 0.75}}, Sum(one, other))
	must.Eq(t, []Rate{}, Sum())
}

// Guards against late counts that erase newer ones: a request whose body was read slowly, or that was
// refused more than a window after its arrival, would hide the demand of the current slot.
func TestCountsOfOldRequestsKeepNewerOnes(t *testing.T) {
	var c Counter
	now := t0.Add(window)
	for range 10 {
		c.Arrived(small, 50*time.Millisecond, false, now)
	}
	c.Refused(small, t0)
	c.Arrived(small, 50*time.Millisecond, false, t0)
	rates := c.Rates(now)
	must.Len(t, 1, rates)
	must.Positive(t, rates[0].Requests)
	must.Zero(t, rates[0].Refused)
}

// Guards against sums that are no number, which a relay could not encode: all daemons would lose the
// loads of the others.
func TestInvalidRatesAreNotSummedUp(t *testing.T) {
	bad := []Rate{{Key: small, Requests: -1}, {Key: small, Work: math.Inf(1)}, {Key: small, Returns: math.NaN()}, {Key: small, Refused: 1e308}}
	rates := Sum(bad, []Rate{{Key: small, Requests: 3}}, bad)
	must.Eq(t, []Rate{{Key: small, Requests: 3}}, rates)
}
