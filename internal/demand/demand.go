// Package demand measures what callers ask of each model: how many requests arrive, how many of
// them are refused for lack of capacity, and how much replica time they take. Daemons exchange
// these rates with their loads, so that the planner can place models where the work is and each
// daemon can estimate how loaded replicas have become since the last report.
package demand

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Key identifies a class of requests whose demand is measured together.
type Key struct {
	Service  string `json:"service"`
	Model    string `json:"model"`
	Priority int    `json:"priority"` // of the workspace or the route; 0 is the most urgent
}

// Rate is the demand for one key, per second. Refused requests are part of Requests and Work.
type Rate struct {
	Key
	Requests float64 `json:"requests"` // first attempts of callers
	Refused  float64 `json:"refused"`  // of these, those refused because no replica had room
	Returns  float64 `json:"returns"`  // later attempts of callers; not part of Requests
	Work     float64 `json:"work"`     // seconds of one full replica that Requests take
}

// maxRate is the largest value of each figure of a valid rate. It is more than any fleet serves, and sums
// of such values remain finite.
const maxRate = 1e9

// Valid reports whether all figures are possible. Reports of other daemons may be of another version.
func (r Rate) Valid() bool {
	for _, v := range [...]float64{r.Requests, r.Refused, r.Returns, r.Work} {
		if !(v >= 0 && v <= maxRate) { // also if it is no number
			return false
		}
	}
	return true
}

// add adds the rate of the same key at another daemon.
func (r *Rate) add(other Rate) {
	r.Requests += other.Requests
	r.Refused += other.Refused
	r.Returns += other.Returns
	r.Work += other.Work
}

// Sum adds up the valid rates by key. The result is ordered by key.
func Sum(lists ...[]Rate) []Rate {
	byKey := map[Key]*Rate{}
	for _, list := range lists {
		for _, r := range list {
			if !r.Valid() {
				continue
			}
			sum := byKey[r.Key]
			if sum == nil {
				sum = &Rate{Key: r.Key}
				byKey[r.Key] = sum
			}
			sum.add(r)
		}
	}
	out := make([]Rate, 0, len(byKey))
	for _, sum := range byKey {
		out = append(out, *sum)
	}
	slices.SortFunc(out, func(a, b Rate) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Model, b.Model), cmp.Compare(a.Priority, b.Priority))
	})
	return out
}

// Parameters of the measurement.
const (
	// window is the period over which rates are measured. Each of hundreds of daemons gets a few requests
	// a second, so that a shorter one measures chance; a burst, which must be seen, lasts some seconds.
	window = time.Second
	// slotCount is the number of slots of the window; counts leave it slot by slot.
	slotCount = 8
	// maxKeys bounds the keys of one counter. Requests of further keys are not counted.
	maxKeys = 64
)

// Counter measures the demand at one daemon. The zero value is ready to use. Safe for concurrent
// use; time is passed in.
type Counter struct {
	mu    sync.Mutex
	began time.Time // of the first request
	keys  map[Key]*[slotCount]slot
}

// slot holds the counts of one part of the window.
type slot struct {
	number int64 // counted from one window before the first request
	counts Rate
}

// Arrived counts a request that takes a time of one full replica. returned reports whether the
// caller has made an attempt before.
func (c *Counter) Arrived(key Key, work time.Duration, returned bool, now time.Time) {
	if returned {
		c.count(key, Rate{Returns: 1}, now)
		return
	}
	c.count(key, Rate{Requests: 1, Work: work.Seconds()}, now)
}

// Refused counts that a first attempt, counted by Arrived, was refused for lack of capacity.
func (c *Counter) Refused(key Key, now time.Time) { c.count(key, Rate{Refused: 1}, now) }

func (c *Counter) count(key Key, counts Rate, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	slots := c.keys[key]
	if slots == nil {
		if len(c.keys) >= maxKeys {
			return
		}
		if c.keys == nil {
			c.keys, c.began = map[Key]*[slotCount]slot{}, now
		}
		slots = &[slotCount]slot{}
		c.keys[key] = slots
	}
	number := c.slotNumber(now)
	if number < 0 {
		return // older than the first request
	}
	s := &slots[number%slotCount]
	if s.number > number {
		return // older than the window
	}
	if s.number != number {
		*s = slot{number: number}
	}
	s.counts.add(counts)
}

// slotNumber returns the number of the slot of a time, by the steady clock, because the time of day may
// jump.
func (c *Counter) slotNumber(now time.Time) int64 {
	return int64(now.Sub(c.began.Add(-window)) / (window / slotCount))
}

// Rates returns the rates of the last window, ordered by key. Keys without a request in it are left
// out.
func (c *Counter) Rates(now time.Time) []Rate {
	c.mu.Lock()
	defer c.mu.Unlock()
	measured := min(max(now.Sub(c.began), window/slotCount), window).Seconds()
	number := c.slotNumber(now)
	var out []Rate
	for key, slots := range c.keys {
		sum := Rate{}
		for i := range slots {
			if slots[i].number > number-slotCount {
				sum.add(slots[i].counts)
			}
		}
		if sum.Requests+sum.Returns == 0 {
			delete(c.keys, key)
			continue
		}
		out = append(out, Rate{Key: key, Requests: sum.Requests / measured, Refused: sum.Refused / measured, Returns: sum.Returns / measured, Work: sum.Work / measured})
	}
	return Sum(out)
}
