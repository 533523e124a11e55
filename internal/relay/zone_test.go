package relay

import (
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"pearlanding/internal/backpressure"
	"pearlanding/internal/dispatch"
	"pearlanding/internal/fleet"
	"pearlanding/internal/objectapi"
)

const (
	staleAfter  = 2 * time.Second
	entriesKind = "entries"
	recordKey   = "relays/zone"
)

// zone simulates a store and the daemons of one zone step by step, on one goroutine and its own
// clock.
type zone struct {
	now           time.Time
	revision      uint64
	entries       []objectapi.Event // all changes, by revision
	config        []configChange
	record        objectapi.Object
	compactedUpTo uint64 // changes up to it are compacted
	storeDown     bool
	longestDelays bool            // random delays take their maximum, otherwise their minimum
	staleLag      uint64          // revisions that a stale read lags
	follows       map[*daemon]int // calls of Follow that reached the store
	lists         int             // listings at full cost
	staleLists    int             // stale listings
	snapshots     int             // calls for a snapshot
	writes        int
	daemons       []*daemon
	lastWait      time.Duration // wait of the last call of Follow
	// pollAnswer, if set, replaces every relay's answer to a poll.
	pollAnswer func() PollReply
}

type configChange struct {
	version uint64
	at      time.Time
}

// daemon is a Node with the state that a follower keeps beside it.
type daemon struct {
	*Node
	zone       *zone
	name       string
	dead       bool
	cutOff     bool              // from the store
	state      map[string]uint64 // versions of entries, by key
	revision   uint64            // revision
	provedAt   time.Time         // of state
	listed     bool              // false: it must list next
	listedOnce bool              // it has listed since its last restart
	planner    bool
	// Instances that are stalled for it.
	stalledInstances []string
	// What its requests share with the zone.
	spareRetries     map[string]float64
	inFlight         map[string]int
	othersInFlight   map[string]int
	stalledGroups    []fleet.GroupKey
	activeGroups     []fleet.GroupKey
	stalledForAll    map[fleet.GroupKey]bool // groups announced as stalled
	reportingDaemons int                     // daemons that reported loads
	// The configuration as confirmed by other daemons.
	configVersion  uint64
	configProvedAt time.Time
}

var errStoreDown = errors.WithType(errors.New("down"), objectapi.ErrUnavailable)

func newZone(daemons int) *zone {
	z := &zone{now: start, follows: map[*daemon]int{}}
	z.changeConfig()
	for range daemons {
		z.addDaemon()
	}
	return z
}

func (z *zone) addDaemon() *daemon {
	d := &daemon{zone: z, name: fmt.Sprint("d", len(z.daemons))}
	d.Node = z.newNode(d)
	z.daemons = append(z.daemons, d)
	return d
}

func (z *zone) newNode(d *daemon) *Node {
	d.state = map[string]uint64{}
	return NewNode(Options{Store: &daemonStore{z: z, d: d}, Kind: entriesKind, Key: recordKey, Holder: fmt.Sprint(d.name, " ", z.revision, z.now),
		Address: d.name, Peers: z, StaleAfter: func() time.Duration { return staleAfter }, MustFollowStore: func() bool { return d.planner },
		OnConfigProof:    func(version uint64, proved time.Time) { d.configVersion, d.configProvedAt = version, proved },
		StalledInstances: func(time.Time) []string { return d.stalledInstances },
		Gate:             z.gate(),
		Traffic: Traffic{
			TakeSpareRetries: func(time.Time) map[string]float64 {
				spare := d.spareRetries
				d.spareRetries = nil
				return spare
			},
			InFlight:      func() map[string]int { return d.inFlight },
			GroupProgress: func(time.Time) (stalled, active []fleet.GroupKey) { return d.stalledGroups, d.activeGroups },
			OnLoads: func(others dispatch.PeerReports, _ time.Time) {
				d.othersInFlight, d.stalledForAll, d.reportingDaemons = others.InFlight, others.StalledGroups, others.Daemons
			},
			RetryPoolRule: func() dispatch.RetryPoolRule { return dispatch.RetryPoolRule{} },
		},
		Uniform: func(low, high time.Duration) time.Duration {
			if z.longestDelays {
				return high
			}
			return low
		},
		Now: func() time.Time { return z.now }, Log: zap.NewNop()})
}

// gate returns a gate that knows of no limit.
func (z *zone) gate() *backpressure.Gate {
	shortest := func(low, _ time.Duration) time.Duration { return low }
	return backpressure.NewGate(func() int { return len(z.daemons) }, shortest, zap.NewNop())
}

// restart replaces a daemon's process by a new one.
func (d *daemon) restart() {
	d.dead, d.listed, d.listedOnce, d.revision, d.provedAt, d.configProvedAt = false, false, false, 0, time.Time{}, time.Time{}
	d.Node = d.zone.newNode(d)
}

// advance moves the clock.
func (z *zone) advance(d time.Duration) { z.now = z.now.Add(d) }

// change changes an entry.
func (z *zone) change(key string, removed bool) {
	z.revision++
	e := objectapi.Event{Object: objectapi.Object{Key: entriesKind + "/" + key, Version: z.revision, Value: []byte(`{}`)}, Removed: removed}
	z.entries = append(z.entries, e)
}

func (z *zone) changeConfig() {
	z.revision++
	z.config = append(z.config, configChange{z.revision, z.now})
}

// configAt returns the version of the configuration at a time.
func (z *zone) configAt(at time.Time) uint64 {
	version := uint64(0)
	for _, c := range z.config {
		if !c.at.After(at) {
			version = c.version
		}
	}
	return version
}

// step makes one call of a daemon's follower, or a listing where one is needed, and one read of
// the configuration for peers.
func (d *daemon) step() error {
	if d.dead {
		return nil
	}
	ctx := context.Background()
	asked := d.zone.now
	if d.isActiveRelay() && !d.zone.storeDown && !d.cutOff {
		d.NoteConfig(d.zone.configAt(asked), asked)
	}
	if !d.listed {
		list := d.ListKind
		if !d.listedOnce {
			list = d.ListStale
		}
		l, err := list(ctx, entriesKind)
		if err != nil {
			return err
		}
		d.state = map[string]uint64{}
		for _, o := range l.Objects {
			d.state[o.Key] = o.Version
		}
		d.revision, d.listed = l.Revision, true
		if d.listedOnce {
			d.provedAt = asked
		}
		d.listedOnce = true
		return nil
	}
	c, err := d.Follow(ctx, entriesKind, d.revision, time.Second)
	if errors.Is(err, objectapi.ErrCompacted) {
		d.listed = false
		return nil
	}
	if err != nil {
		return err
	}
	for _, e := range c.Events {
		applyEvent(d.state, e)
	}
	if len(c.Events) > 0 || c.ClosesGap {
		d.revision = max(d.revision, c.Revision)
	}
	if at := asked.Add(-c.Age); at.After(d.provedAt) {
		d.provedAt = at
	}
	return nil
}

// Poll implements Transport between the zone's daemons.
func (z *zone) Poll(ctx context.Context, address string, r PollRequest) (PollReply, error) {
	if z.pollAnswer != nil {
		return z.pollAnswer(), nil
	}
	for _, d := range z.daemons {
		if d.name == address && !d.dead {
			r.WaitMS = 0
			return d.answerPoll(ctx, r)
		}
	}
	return PollReply{}, errors.New("refused")
}

// Share implements Transport between the zone's daemons.
func (z *zone) Share(ctx context.Context, address string, r ShareRequest) (ShareReply, error) {
	for _, d := range z.daemons {
		if d.name == address && !d.dead {
			return d.answerShare(ctx, r)
		}
	}
	return ShareReply{}, errors.New("refused")
}

// TakeRetry implements Transport between the zone's daemons.
func (z *zone) TakeRetry(ctx context.Context, address string, r RetryRequest) (RetryReply, error) {
	for _, d := range z.daemons {
		if d.name == address && !d.dead {
			return d.answerRetry(ctx, r)
		}
	}
	return RetryReply{}, errors.New("refused")
}

// Snapshot implements Transport between the zone's daemons.
func (z *zone) Snapshot(ctx context.Context, address string, r SnapshotRequest) (SnapshotReply, error) {
	z.snapshots++
	for _, d := range z.daemons {
		if d.name == address && !d.dead {
			return d.answerSnapshot(ctx, r)
		}
	}
	return SnapshotReply{}, errors.New("refused")
}

// ZoneLoads implements Transport between the zone's daemons.
func (z *zone) ZoneLoads(ctx context.Context, address string) (LoadsReply, error) {
	for _, d := range z.daemons {
		if d.name == address && !d.dead {
			return d.answerLoads(ctx)
		}
	}
	return LoadsReply{}, errors.New("refused")
}

// SyncQuarantine implements Transport between the zone's daemons.
func (z *zone) SyncQuarantine(ctx context.Context, address string, r QuarantineRequest) (QuarantineReply, error) {
	for _, d := range z.daemons {
		if d.name == address && !d.dead {
			return d.answerQuarantine(ctx, r)
		}
	}
	return QuarantineReply{}, errors.New("refused")
}

// SyncLimits implements Transport between the zone's daemons.
func (z *zone) SyncLimits(ctx context.Context, address string, r LimitsRequest) (LimitsReply, error) {
	for _, d := range z.daemons {
		if d.name == address && !d.dead {
			return d.answerLimits(ctx, r)
		}
	}
	return LimitsReply{}, errors.New("refused")
}

// ColdPermit implements Transport between the zone's daemons.
func (z *zone) ColdPermit(ctx context.Context, address string, r ColdPermitRequest) (ColdPermitReply, error) {
	for _, d := range z.daemons {
		if d.name == address && !d.dead {
			return d.answerColdPermit(ctx, r)
		}
	}
	return ColdPermitReply{}, errors.New("refused")
}

// daemonStore is the store as one daemon reaches it.
type daemonStore struct {
	z *zone
	d *daemon
}

func (s *daemonStore) reachable() bool { return !s.z.storeDown && !s.d.cutOff }

func (s *daemonStore) Get(_ context.Context, _ string) (objectapi.Object, error) {
	switch {
	case !s.reachable():
		return objectapi.Object{}, errStoreDown
	case s.z.record.Version == 0:
		return objectapi.Object{}, objectapi.ErrNotFound
	}
	return s.z.record, nil
}

// records lists the zones' records, of which there is at most one.
func (s *daemonStore) records(ctx context.Context) (objectapi.Listing, error) {
	o, err := s.Get(ctx, "")
	if errors.Is(err, objectapi.ErrNotFound) {
		return objectapi.Listing{Revision: s.z.revision}, nil
	}
	return objectapi.Listing{Objects: []objectapi.Object{o}, Revision: s.z.revision}, err
}

func (s *daemonStore) GetStale(ctx context.Context, key string) (objectapi.Object, error) {
	return s.Get(ctx, key)
}

func (s *daemonStore) ListKind(ctx context.Context, kind string) (objectapi.Listing, error) {
	if !s.reachable() {
		return objectapi.Listing{}, errStoreDown
	}
	if kind != entriesKind {
		return s.records(ctx)
	}
	s.z.lists++
	return s.z.listing(s.z.revision), nil
}

// ListStale answers with a lag of staleLag, and the revision of the latest change that it
// shows.
func (s *daemonStore) ListStale(_ context.Context, _ string) (objectapi.Listing, error) {
	if !s.reachable() {
		return objectapi.Listing{}, errStoreDown
	}
	s.z.staleLists++
	l := s.z.listing(s.z.revision - min(s.z.staleLag, s.z.revision))
	l.Revision = 0
	for _, o := range l.Objects {
		l.Revision = max(l.Revision, o.Version)
	}
	return l, nil
}

func (z *zone) listing(revision uint64) objectapi.Listing {
	l := objectapi.Listing{Revision: revision}
	for key, version := range z.stateAt(revision) {
		l.Objects = append(l.Objects, objectapi.Object{Key: key, Version: version, Value: []byte(`{}`)})
	}
	return l
}

// state returns what the store holds now.
func (z *zone) state() map[string]uint64 { return z.stateAt(z.revision) }

// stateAt returns what the store held at a revision.
func (z *zone) stateAt(revision uint64) map[string]uint64 {
	state := map[string]uint64{}
	for _, e := range z.entries {
		if e.Object.Version <= revision {
			applyEvent(state, e)
		}
	}
	return state
}

func (s *daemonStore) Follow(_ context.Context, _ string, after uint64, wait time.Duration) (objectapi.Changes, error) {
	s.z.lastWait = wait
	if !s.reachable() {
		return objectapi.Changes{}, errStoreDown
	}
	s.z.follows[s.d]++
	if after < s.z.compactedUpTo {
		return objectapi.Changes{}, objectapi.ErrCompacted
	}
	c := objectapi.Changes{Revision: s.z.revision}
	for _, e := range s.z.entries {
		if e.Object.Version > after {
			c.Events = append(c.Events, e)
		}
	}
	return c, nil
}

func (s *daemonStore) Create(_ context.Context, _ string, value []byte) (uint64, error) {
	return s.write(0, value)
}

func (s *daemonStore) Update(_ context.Context, _ string, version uint64, value []byte) (uint64, error) {
	return s.write(version, value)
}

func (s *daemonStore) write(version uint64, value []byte) (uint64, error) {
	if !s.reachable() {
		return 0, errStoreDown
	}
	s.z.writes++
	if s.z.record.Version != version {
		return 0, objectapi.ErrConflict
	}
	s.z.revision++
	s.z.record = objectapi.Object{Key: recordKey, Version: s.z.revision, Value: value}
	return s.z.revision, nil
}
