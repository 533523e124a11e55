//go:build !race

package front

import (
	"testing"
	"time"
)

// The cases of 71 daemons take minutes with the race detector, those of 300 more goroutines than it
// supports. As TestCallersOfDaemonsCutOffFromAllInstancesAreServed.
func TestCallersOfDaemonsCutOffInALargeFleetAreServed(t *testing.T) {
	middle := simFleetOptions{daemons: 71, zones: 3, instances: 40, callInterval: 250 * time.Millisecond}
	for how := packetsVanish; how < instanceCuts; how++ {
		for _, c := range []cutCase{{middle, 1, how, 4}, {middle, 70, how, 5}} {
			t.Run(c.String(), func(t *testing.T) {
				t.Parallel()
				c.run(t, cutServedAfter)
			})
		}
	}
	for _, c := range []cutCase{{largeFleet, 150, packetsVanish, 6}, {largeFleet, 150, connectionsEnd, 6}, {largeFleet, 150, onlyNewRefused, 6},
		{largeFleet, 3, packetsVanish, 7}, {largeFleet, 297, connectionsEnd, 9}, {largeFleet, 297, onlyNewRefused, 10}} {
		t.Run(c.String(), func(t *testing.T) {
			t.Parallel()
			c.run(t, cutServedAfter)
		})
	}
	c := cutCase{largeFleet, 297, packetsVanish, 8}
	t.Run("within the bound/"+c.String(), func(t *testing.T) {
		t.Parallel()
		c.run(t, contactBound)
	})
}

// The goal of half a second where few daemons are left to ask.
func TestCallersAreServedSoonWithFewPeersInALargeFleet(t *testing.T) {
	t.Parallel()
	cutCase{largeFleet, 297, packetsVanish, 8}.run(t, cutServedAfter)
}
