package ledger

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"pearlanding/internal/objectapi"
)

// Errors of an append.
const (
	// ErrUnavailable: the platform can't be written now; nothing was claimed
	// that will ever be dispatched.
	ErrUnavailable = errors.ConstError("ledger: unavailable")
	// ErrFull: the shard holds as many keys as it may.
	ErrFull = errors.ConstError("ledger: shard is full")
)

// Platform keys of a shard.
func logPrefix(shard int) string { return fmt.Sprintf("ledger/%03d/log/", shard) }
func logKey(shard int, seq uint64) string {
	return fmt.Sprintf("%s%012d", logPrefix(shard), seq)
}
func snapKey(shard int) string { return fmt.Sprintf("ledger/%03d/snap", shard) }

// batch is the value of one log object.
type batch struct {
	ID      string   `json:"id"` // of the write attempt, for the read back
	Records []Record `json:"records"`
}

// snapshot is the log rolled up to UpTo.
type snapshot struct {
	UpTo    uint64           `json:"up_to"`
	Entries map[string]Entry `json:"entries"`
}

// Options size a shard.
type Options struct {
	MaxEntries   int
	Retention    time.Duration
	CompactAfter int // batches in the log before they are rolled up
}

// snapshotBytes is how large a snapshot may get; bodies are dropped above.
const snapshotBytes = objectapi.MaxValueBytes * 8 / 10

// shard is one shard as seen up to seq. One goroutine owns it.
type shard struct {
	id     int
	store  objectapi.Store
	opts   Options
	now    func() time.Time
	loaded bool
	seq    uint64 // last batch folded
	upTo   uint64 // of the last snapshot known
	// good is up to where the view is surely the log's. Beyond, it was read from
	// numbers that may have been deleted and written again by a stale daemon; the
	// next confirm shows whether they can have been.
	good    uint64
	entries map[string]Entry
}

func newShard(id int, store objectapi.Store, opts Options, now func() time.Time) *shard {
	return &shard{id: id, store: store, opts: opts, now: now, entries: map[string]Entry{}}
}

// load reads the snapshot and what the list shows of the log after it. The list
// may lag: the append's conflict shows what is missing.
func (s *shard) load(ctx context.Context) error {
	snap, _, err := s.readSnapshot(ctx)
	if err != nil {
		return err
	}
	s.adopt(snap)
	objects, err := s.store.List(ctx, logPrefix(s.id))
	if err != nil {
		return nil // only slower
	}
	for _, obj := range objects {
		if strings.Compare(obj.Key, logKey(s.id, s.seq+1)) == 0 {
			if err := s.foldObject(obj); err != nil {
				return err
			}
		}
	}
	return nil
}

func (s *shard) readSnapshot(ctx context.Context) (snapshot, uint64, error) {
	snap := snapshot{Entries: map[string]Entry{}}
	obj, err := s.store.Get(ctx, snapKey(s.id))
	if errors.Is(err, objectapi.ErrNotFound) {
		return snap, 0, nil
	}
	if err != nil {
		return snap, 0, errors.WithType(err, ErrUnavailable)
	}
	return snap, obj.Version, errors.Trace(json.Unmarshal(obj.Value, &snap))
}

func (s *shard) foldObject(obj objectapi.Object) error {
	var b batch
	if err := json.Unmarshal(obj.Value, &b); err != nil {
		return errors.Annotatef(err, "ledger object %s", obj.Key)
	}
	s.foldBatch(b)
	return nil
}

func (s *shard) foldBatch(b batch) {
	s.seq++
	for _, r := range b.Records {
		fold(s.entries, r, s.seq)
	}
}

// append makes the records durable and returns the entry of each one's key as
// it stands then. On an error nothing is known to be durable, and the caller
// must not dispatch on it; a claim may still turn out to be written.
func (s *shard) append(ctx context.Context, records []Record) ([]Entry, error) {
	b := batch{ID: uuid.NewString(), Records: records}
	value, err := json.Marshal(b)
	if err != nil {
		return nil, errors.Trace(err)
	}
	for {
		if !s.loaded {
			if err := s.load(ctx); err != nil {
				return nil, err
			}
		}
		done, err := s.tryAppend(ctx, b, value)
		if err != nil {
			return nil, err
		}
		if done {
			break
		}
	}
	out := make([]Entry, len(records))
	for i, r := range records {
		out[i] = s.entries[r.Key]
	}
	return out, nil
}

// tryAppend creates the next log object. False without an error means that the
// view was behind: it has been moved on, try again.
func (s *shard) tryAppend(ctx context.Context, b batch, value []byte) (bool, error) {
	next := s.seq + 1
	_, err := s.store.Create(ctx, logKey(s.id, next), value)
	switch {
	case err == nil:
		return s.confirm(ctx, b, next)
	case errors.Is(err, objectapi.ErrConflict), errors.Is(err, objectapi.ErrUnknownOutcome):
		return s.readBack(ctx, b, next)
	}
	return false, errors.WithType(err, ErrUnavailable)
}

// readBack looks at what stands at the number: our own batch (a lost answer), or
// one that we had not seen.
func (s *shard) readBack(ctx context.Context, b batch, next uint64) (bool, error) {
	obj, err := s.store.Get(ctx, logKey(s.id, next))
	if errors.Is(err, objectapi.ErrNotFound) {
		// Rolled up meanwhile, or our write has not arrived: look again.
		s.loaded = false
		return false, errors.Trace(ctx.Err())
	}
	if err != nil {
		return false, errors.WithType(err, ErrUnavailable)
	}
	var there batch
	if err := json.Unmarshal(obj.Value, &there); err != nil {
		return false, errors.Annotatef(err, "ledger object %s", obj.Key)
	}
	if there.ID == b.ID {
		return s.confirm(ctx, b, next)
	}
	s.foldBatch(there)
	return false, nil
}

// confirm makes sure that the number just written was not one that the log had
// been rolled up past: a create there succeeds but says nothing. The snapshot
// is written before the numbers it covers are deleted, so reading it after the
// create shows this without fail. It also shows whether the view was read from
// numbers that had been rolled up: then the view is built anew, and finds our
// batch at its number.
func (s *shard) confirm(ctx context.Context, b batch, seq uint64) (bool, error) {
	snap, _, err := s.readSnapshot(ctx)
	if err != nil {
		s.loaded = false
		return false, err
	}
	if snap.UpTo >= seq {
		s.loaded = false
		return s.adoptIfCovered(snap, b)
	}
	if snap.UpTo > s.good {
		s.loaded = false
		return false, nil
	}
	s.upTo = snap.UpTo
	s.foldBatch(b)
	s.good = s.seq
	return true, nil
}

// adoptIfCovered handles a snapshot at or past our number. If it holds every
// claim of the batch under our attempts, the batch was written in time and then
// rolled up by another daemon; otherwise the number was stale.
func (s *shard) adoptIfCovered(snap snapshot, b batch) (bool, error) {
	for _, r := range b.Records {
		if e, ok := snap.Entries[r.Key]; !ok || e.Attempt != r.Attempt || (r.Kind == KindOutcome && e.Result.Status == StatusClaimed) {
			return false, nil
		}
	}
	s.adopt(snap)
	return true, nil
}

// adopt starts the view from a snapshot.
func (s *shard) adopt(snap snapshot) {
	s.seq, s.upTo, s.good, s.entries, s.loaded = snap.UpTo, snap.UpTo, snap.UpTo, snap.Entries, true
}

// full tells whether a claim of a new key must be refused.
func (s *shard) full(r Record) bool {
	if r.Kind != KindClaim || len(s.entries) < s.opts.MaxEntries {
		return false
	}
	_, known := s.entries[r.Key]
	return !known
}

// compact rolls the log up into the snapshot when it has grown long. Errors are
// of no consequence: the next append tries again.
func (s *shard) compact(ctx context.Context) {
	if s.seq-s.upTo < uint64(s.opts.CompactAfter) {
		return
	}
	old, version, err := s.readSnapshot(ctx)
	if err != nil || old.UpTo >= s.seq {
		return
	}
	s.forget()
	value, err := s.encodeSnapshot()
	if err != nil {
		return
	}
	if version == 0 {
		_, err = s.store.Create(ctx, snapKey(s.id), value)
	} else {
		_, err = s.store.Update(ctx, snapKey(s.id), version, value)
	}
	if err != nil {
		s.loaded = false // what stands is not known
		return
	}
	s.upTo = s.seq
	s.deleteLog(ctx)
}

// deleteLog removes the objects that the snapshot covers.
func (s *shard) deleteLog(ctx context.Context) {
	objects, err := s.store.List(ctx, logPrefix(s.id))
	if err != nil {
		return
	}
	last := logKey(s.id, s.upTo)
	for _, obj := range objects {
		if obj.Key <= last {
			_ = s.store.Delete(ctx, obj.Key, obj.Version)
		}
	}
}

// forget drops entries that can't matter any more: keys that are free again, and
// keys whose own time is past the retention, whose repeats are refused.
func (s *shard) forget() {
	now := s.now()
	for key, e := range s.entries {
		_, idempotencyKey, _ := strings.Cut(key, "/")
		if e.Result.Status == StatusNotRun || Expired(idempotencyKey, now, s.opts.Retention+ClockSkew) {
			delete(s.entries, key)
		}
	}
}

// encodeSnapshot drops the oldest bodies until the snapshot fits.
func (s *shard) encodeSnapshot() ([]byte, error) {
	value, err := json.Marshal(snapshot{UpTo: s.seq, Entries: s.entries})
	if err != nil || len(value) <= snapshotBytes {
		return value, errors.Trace(err)
	}
	keys := make([]string, 0, len(s.entries))
	for key := range s.entries {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b string) int { return int(s.entries[a].Order) - int(s.entries[b].Order) })
	excess := len(value) - snapshotBytes
	for _, key := range keys {
		if excess <= 0 {
			break
		}
		e := s.entries[key]
		excess -= len(e.Result.Body) * 4 / 3 // base64
		e.Result.BodyDropped = e.Result.BodyDropped || len(e.Result.Body) > 0
		e.Result.Body = nil
		s.entries[key] = e
	}
	value, err = json.Marshal(snapshot{UpTo: s.seq, Entries: s.entries})
	return value, errors.Trace(err)
}
