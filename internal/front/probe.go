package front

import (
	"context"
	"time"

	"pearlanding/internal/fleet"
	"pearlanding/internal/objectapi"
)

// probeEvery is the time between two probes of a store that is away. Each is sent
// whatever became of the ones before, which may hang.
const probeEvery = 700 * time.Millisecond

// storeProbe asks a store that is away for one small object until it is back. All other
// calls rest meanwhile: so its return is known soon, by few calls.
type storeProbe struct {
	feed    objectapi.Feed
	contact *fleet.Contact
}

// Run probes until ctx ends.
func (p *storeProbe) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.contact.Absent():
			p.untilBack(ctx)
		}
	}
}

func (p *storeProbe) untilBack(ctx context.Context) {
	tick := time.NewTicker(probeEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if !p.contact.Lost() {
			return
		}
		go func() { _, _ = p.feed.Get(ctx, leaseKey) }() // the contact notes how it ends
	}
}
