package gateway

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"pearlanding/internal/evacuation"
	"pearlanding/internal/fleet"
	"pearlanding/internal/quarantine"
	"pearlanding/internal/routes"
)

// newEvacuationExchange returns a request for a plain service with instance a in zone-a and b in zone-b.
func newEvacuationExchange(known *evacuation.Known) (*exchange, *httptest.ResponseRecorder) {
	x, w := newLimitedExchange(newGate())
	view := fleet.BuildView(1, time.Now(), map[string]*fleet.Instance{
		"a": {ID: "a", Service: "s", Zone: "zone-a"}, "b": {ID: "b", Service: "s", Zone: "zone-b"}}, nil, nil)
	x.gateway.View, x.gateway.Evacuated = func() *fleet.View { return view }, known.Zones
	return x, w
}

// evacuate makes the given zones the evacuated ones.
func evacuate(known *evacuation.Known, revision uint64, zones ...string) {
	known.Apply(evacuation.NewState(zones, revision, time.Now()), evacuation.FromListing)
}

// Guards against a cached list of targets that holds those of a zone evacuated since, and against targets
// that stay left out.
func TestTargetsFollowEvacuations(t *testing.T) {
	known := &evacuation.Known{}
	x, _ := newEvacuationExchange(known)
	must.Len(t, 2, x.targets())
	evacuate(known, 1, "zone-a")
	must.Len(t, 1, x.targets())
	must.Eq(t, "b", x.nextTarget(t.Context()).Instance)
	evacuate(known, 2, "zone-a", "unknown")
	must.Len(t, 1, x.targets())
	evacuate(known, 3)
	must.Len(t, 2, x.targets())
}

// Guards against requests to a group in an evacuated zone: a group is where its head is.
func TestGroupsAreEvacuatedByTheZoneOfTheirHead(t *testing.T) {
	known := &evacuation.Known{}
	x, _ := newEvacuationExchange(known)
	group := func(id, zone string, rank int, state fleet.GroupState) *fleet.Instance {
		return &fleet.Instance{ID: id, Service: "s", Zone: zone, Models: []string{"m"}, Group: fleet.Membership{Name: "g", Epoch: 1, Rank: rank, State: state}}
	}
	view := fleet.BuildView(1, time.Now(), map[string]*fleet.Instance{
		"head": group("head", "zone-a", 0, fleet.Open), "member": group("member", "zone-b", 1, fleet.Ready)}, nil, func(string, string) int { return 2 })
	x.gateway.View = func() *fleet.View { return view }
	x.service = &routes.Service{Name: "s", Engine: &routes.Engine{Models: []routes.Model{{Name: "m", ReplicaSize: 2}}}}
	x.req.Model = "m"
	must.Len(t, 1, x.targets())
	evacuate(known, 1, "zone-b")
	must.Len(t, 1, x.targets())
	evacuate(known, 2, "zone-a")
	must.SliceEmpty(t, x.targets())
	must.True(t, x.allEvacuated())
}

// Guards against a request that is written after its zone was evacuated, because it was waiting for a
// connection at that moment.
func TestRequestIsWithheldWhenItsZoneIsEvacuatedAfterTheChoice(t *testing.T) {
	known := &evacuation.Known{}
	x, _ := newEvacuationExchange(known)
	target := x.nextTarget(t.Context())
	withheld := x.withholdFunc(target)
	must.False(t, withheld())
	evacuate(known, 1, target.Zone)
	must.True(t, withheld())
}

// Guards against callers that get another reason, or none, where all zones are evacuated, and
// against this answer after a request may have run.
func TestRequestIsRefusedWhenAllZonesAreEvacuated(t *testing.T) {
	known := &evacuation.Known{}
	x, w := newEvacuationExchange(known)
	must.False(t, x.refuseEvacuated())
	evacuate(known, 1, "zone-a", "zone-b")
	must.True(t, x.refuseEvacuated())
	must.Eq(t, http.StatusServiceUnavailable, w.Code)
	must.Eq(t, "zones_evacuated", x.reason)

	evacuate(known, 2)
	x, w = newEvacuationExchange(known)
	x.quarantineRequest = quarantine.NewRequest(x.content())
	target := x.nextTarget(t.Context())
	evacuate(known, 3, "zone-a", "zone-b")
	must.True(t, x.withholdFunc(target)())
	x.servePlain(t.Context())
	must.Eq(t, http.StatusServiceUnavailable, w.Code)
	must.Eq(t, "zones_evacuated", x.reason)

	x, w = newEvacuationExchange(known)
	x.mayHaveRun = true
	x.failUnanswered("no_replica")
	must.Eq(t, http.StatusBadGateway, w.Code)
}
