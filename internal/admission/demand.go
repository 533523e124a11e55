package admission

import (
	"math"
	"slices"
	"time"
)

// demandWindow is the time over which the demand on a workspace's rate is averaged.
const demandWindow = 250 * time.Millisecond

// demand is the rate at which requests arrive, admitted or not: an exponentially weighted average.
type demand struct {
	perSecond float64
	at        time.Time
}

// add counts a request.
func (d *demand) add(now time.Time) {
	d.perSecond = d.rate(now) + 1/demandWindow.Seconds()
	d.at = now
}

// rate returns the requests per second.
func (d *demand) rate(now time.Time) float64 {
	return d.perSecond * math.Exp(-now.Sub(d.at).Seconds()/demandWindow.Seconds())
}

// rateShare returns the requests per second that this daemon may admit: what the others leave if each gets
// what it needs, up to an even share of what is left. A daemon whose demand is not known counts with its even
// share.
func (l Limits) rateShare() float64 {
	daemons := max(l.Daemons, 1)
	known := slices.Sorted(slices.Values(l.OthersDemand))
	known = known[:min(len(known), daemons-1)]
	unknown := daemons - 1 - len(known)
	left := l.RatePerSecond * float64(daemons-unknown) / float64(daemons)
	for i, needs := range known {
		even := left / float64(len(known)-i+1)
		if needs >= even {
			return even
		}
		left -= needs
	}
	return left
}
