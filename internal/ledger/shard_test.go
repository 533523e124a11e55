package ledger

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	_ "pearlanding/internal/fixedseed"
	"pearlanding/internal/objectapi"
	"pearlanding/internal/standin/platformfake"
)

// ledgerSim runs several daemons on one shard, with the real code over a fake platform. Before and
// after each platform call another daemon may run a complete operation, and a write may lose its
// reply, be refused, or take effect only later. The simulation records which attempts were told
// that they may be dispatched, and fails if a key is granted to two of them.
type ledgerSim struct {
	t             *rapid.T
	store         *platformfake.Store
	daemons       []*shard
	depth         int // of nested operations
	claimCount    int
	delayedWrites []func()
	// granted holds, by key, the attempt that may be dispatched and is not settled as not run.
	granted map[string]string
	// unsettled holds the granted claims without an outcome.
	unsettled []Record
}

// faultyStore is the store as one daemon sees it, with faults and interleaved operations.
type faultyStore struct {
	*platformfake.Store
	sim *ledgerSim
}

func (f *faultyStore) Get(ctx context.Context, key string) (objectapi.Object, error) {
	f.sim.interleave()
	obj, err := f.Store.Get(ctx, key)
	f.sim.interleave()
	return obj, err
}

func (f *faultyStore) Create(ctx context.Context, key string, value []byte) (uint64, error) {
	return f.write(func() (uint64, error) { return f.Store.Create(ctx, key, value) })
}

func (f *faultyStore) Update(ctx context.Context, key string, version uint64, value []byte) (uint64, error) {
	return f.write(func() (uint64, error) { return f.Store.Update(ctx, key, version, value) })
}

func (f *faultyStore) Delete(ctx context.Context, key string, version uint64) error {
	_, err := f.write(func() (uint64, error) { return 0, f.Store.Delete(ctx, key, version) })
	return err
}

func (f *faultyStore) write(apply func() (uint64, error)) (uint64, error) {
	f.sim.interleave()
	defer f.sim.interleave()
	switch rapid.SampledFrom([]string{"ok", "ok", "ok", "ok", "lost", "late", "refused"}).Draw(f.sim.t, "write") {
	case "lost":
		_, _ = apply()
		return 0, objectapi.ErrUnknownOutcome
	case "late":
		f.sim.delayedWrites = append(f.sim.delayedWrites, func() { _, _ = apply() })
		return 0, objectapi.ErrUnknownOutcome
	case "refused":
		return 0, objectapi.ErrUnavailable
	}
	return apply()
}

// interleave runs a random operation of another daemon, or none, between two platform calls.
func (s *ledgerSim) interleave() {
	if s.depth >= 2 {
		return
	}
	s.depth++
	defer func() { s.depth-- }()
	switch rapid.SampledFrom([]string{"", "", "", "claim", "settle", "arrive"}).Draw(s.t, "meanwhile") {
	case "claim":
		s.claim()
	case "settle":
		s.settle()
	case "arrive":
		s.applyDelayed()
	}
}

func (s *ledgerSim) startDaemon(i int) {
	opts := Options{MaxEntries: 50, Retention: time.Hour, CompactAfter: 2}
	s.daemons[i] = newShard(0, &faultyStore{s.store, s}, opts, time.Now)
}

func (s *ledgerSim) pickDaemon() int { return rapid.IntRange(0, len(s.daemons)-1).Draw(s.t, "daemon") }

// appendAs runs one append on a daemon, unless that daemon is already running one.
func (s *ledgerSim) appendAs(i int, r Record) (Entry, error) {
	d := s.daemons[i]
	if d == nil {
		return Entry{}, errors.New("busy")
	}
	s.daemons[i] = nil
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	entries, err := d.append(ctx, []Record{r})
	if err != nil {
		d.loaded = false
	} else {
		d.compact(ctx)
	}
	s.daemons[i] = d
	if err != nil {
		return Entry{}, err
	}
	return entries[0], nil
}

func (s *ledgerSim) claim() {
	s.claimCount++
	key := fmt.Sprintf("w/k%d", rapid.IntRange(0, 2).Draw(s.t, "key"))
	r := Record{Kind: KindClaim, Key: key, Attempt: fmt.Sprintf("a%d", s.claimCount)}
	e, err := s.appendAs(s.pickDaemon(), r)
	if err != nil || e.Attempt != r.Attempt || e.Result.Status != StatusClaimed {
		return
	}
	if other, held := s.granted[key]; held {
		s.t.Fatalf("key %s granted to %s while %s holds it", key, r.Attempt, other)
	}
	s.granted[key] = r.Attempt
	s.unsettled = append(s.unsettled, r)
}

// settle records the outcome of the oldest unsettled claim. Only StatusNotRun frees the key, from
// the moment at which another daemon may see it recorded.
func (s *ledgerSim) settle() {
	if len(s.unsettled) == 0 {
		return
	}
	r := s.unsettled[0]
	s.unsettled = s.unsettled[1:]
	status := rapid.SampledFrom([]Status{StatusDone, StatusUnknown, StatusNotRun}).Draw(s.t, "status")
	if status == StatusNotRun {
		delete(s.granted, r.Key) // never dispatched from here on
	}
	_, _ = s.appendAs(s.pickDaemon(), Record{Kind: KindOutcome, Key: r.Key, Attempt: r.Attempt, Result: Result{Status: status}})
}

func (s *ledgerSim) applyDelayed() {
	if len(s.delayedWrites) > 0 {
		f := s.delayedWrites[0]
		s.delayedWrites = s.delayedWrites[1:]
		f()
	}
}

// TestClaimIsGrantedOnce checks that a key is granted to another attempt only after the previous
// one is recorded as not run, so that a request that must not be retried runs at most once.
func TestClaimIsGrantedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &ledgerSim{t: t, store: platformfake.New(0, 0), granted: map[string]string{}, daemons: make([]*shard, 3)}
		for i := range s.daemons {
			s.startDaemon(i)
		}
		action := func(f func()) func(*rapid.T) {
			return func(t *rapid.T) { s.t = t; f() }
		}
		t.Repeat(map[string]func(*rapid.T){
			"claim":       action(s.claim),
			"claim again": action(s.claim),
			"settle":      action(s.settle),
			"arrive":      action(s.applyDelayed),
			"restart":     action(func() { s.startDaemon(s.pickDaemon()) }),
		})
	})
}

// newTestLedger returns a ledger over a store that runs until the test ends.
func newTestLedger(t *testing.T, store objectapi.Store, maxEntries int) *Ledger {
	t.Helper()
	l := New(Config{Store: store, Shards: 1, Timeout: time.Second, AppendsPerSecond: 1000,
		Options: Options{MaxEntries: maxEntries, Retention: time.Hour, CompactAfter: 4}, Now: time.Now})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); l.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return l
}

func claimRecord(key, attempt string) Record { return Record{Key: key, Attempt: attempt} }

func TestRetryGetsRecordedOutcomeThroughAnotherDaemon(t *testing.T) {
	store := platformfake.New(0, 0)
	one, two := newTestLedger(t, store, 100), newTestLedger(t, store, 100)
	ctx := context.Background()
	_, granted, err := one.Claim(ctx, claimRecord("w/k", "a"))
	must.NoError(t, err)
	must.True(t, granted)
	must.NoError(t, one.Settle(ctx, "w/k", "a", Result{Status: StatusDone, HTTPStatus: 200, Body: []byte("tug sent")}))
	e, granted, err := two.Claim(ctx, claimRecord("w/k", "b"))
	must.NoError(t, err)
	must.False(t, granted)
	must.Eq(t, "tug sent", string(e.Result.Body))
}

func TestClaimFailsAtOnceDuringAPlatformOutage(t *testing.T) {
	store := platformfake.New(0, 0)
	l := newTestLedger(t, store, 100)
	store.SetFaults(platformfake.Faults{Outage: true})
	_, granted, err := l.Claim(context.Background(), claimRecord("w/k", "a"))
	must.ErrorIs(t, err, ErrUnavailable)
	must.False(t, granted)
}

func TestFullShardRefusesNewKeysAndKeepsOldOnes(t *testing.T) {
	l := newTestLedger(t, platformfake.New(0, 0), 3)
	ctx := context.Background()
	for i := range 3 {
		_, granted, err := l.Claim(ctx, claimRecord(fmt.Sprintf("w/%d", i), "a"))
		must.NoError(t, err)
		must.True(t, granted)
	}
	_, _, err := l.Claim(ctx, claimRecord("w/new", "b"))
	must.ErrorIs(t, err, ErrFull)
	_, granted, err := l.Claim(ctx, claimRecord("w/0", "b"))
	must.NoError(t, err)
	must.False(t, granted)
}

func TestDropExpiredKeepsEntriesThatMayBeRetried(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	s := newShard(0, platformfake.New(0, 0), Options{Retention: time.Hour}, func() time.Time { return now })
	expired, recent := uuidAt(now.Add(-2*time.Hour)), uuidAt(now.Add(-62*time.Minute))
	s.entries = map[string]Entry{
		"w/" + expired: {Result: Result{Status: StatusDone}},
		"w/" + recent:  {Result: Result{Status: StatusDone}}, // within the clock skew
		"w/timeless":   {Result: Result{Status: StatusDone}},
		"w/not-run":    {Result: Result{Status: StatusNotRun}},
	}
	s.dropExpired()
	must.MapNotContainsKey(t, s.entries, "w/"+expired)
	must.MapNotContainsKey(t, s.entries, "w/not-run")
	must.MapContainsKey(t, s.entries, "w/"+recent)
	must.MapContainsKey(t, s.entries, "w/timeless")
	must.True(t, Expired(expired, now, time.Hour))
	must.True(t, Expired(recent, now, time.Hour))
	must.False(t, Expired("timeless", now, time.Hour))
}

// uuidAt returns a version 7 UUID with the given timestamp.
func uuidAt(at time.Time) string {
	ms := at.UnixMilli()
	return fmt.Sprintf("%08x-%04x-7000-8000-000000000000", ms>>16, ms&0xffff)
}

// BenchmarkAppend measures the time per batch for several numbers of claims; docs/CAPACITY.md
// uses the increase per claim.
func BenchmarkAppend(b *testing.B) {
	for _, n := range []int{1, 8, 64} {
		b.Run(fmt.Sprintf("batch=%d", n), func(b *testing.B) {
			s := newShard(0, platformfake.New(0, 0), Options{MaxEntries: 1 << 30, Retention: time.Hour, CompactAfter: 64}, time.Now)
			b.ReportAllocs()
			for i := range b.N {
				records := make([]Record, n)
				for j := range records {
					records[j] = Record{Kind: KindClaim, Key: fmt.Sprintf("w/%d-%d", i%4000, j), Attempt: "0123456789abcdef0123456789abcdef"}
				}
				if _, err := s.append(context.Background(), records); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
