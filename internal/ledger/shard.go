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
	// ErrUnavailable means that the platform can't be written now. The claim may be written, but
	// its attempt must never be dispatched.
	ErrUnavailable = errors.ConstError("ledger: unavailable")
	// ErrFull means that the shard holds Options.MaxEntries keys.
	ErrFull = errors.ConstError("ledger: shard is full")
)

// Platform keys of a shard.
func logPrefix(shard int) string { return fmt.Sprintf("ledger/%03d/log/", shard) }
func logKey(shard int, seq uint64) string {
	return fmt.Sprintf("%s%012d", logPrefix(shard), seq)
}
func snapshotKey(shard int) string { return fmt.Sprintf("ledger/%03d/snap", shard) }

// batch is the value of one log object.
type batch struct {
	ID      string   `json:"id"` // of the write, to recognize it when it is read back
	Records []Record `json:"records"`
}

// snapshot holds the entries that result from the log objects up to number UpTo.
type snapshot struct {
	UpTo    uint64           `json:"up_to"`
	Entries map[string]Entry `json:"entries"`
}

// Options set the limits of a shard.
type Options struct {
	MaxEntries   int
	Retention    time.Duration // how long a key is kept after its timestamp
	CompactAfter int           // log objects before they are compacted into the snapshot
}

// maxSnapshotBytes is the size above which bodies are dropped from a snapshot.
const maxSnapshotBytes = objectapi.MaxValueBytes * 8 / 10

// shard is this daemon's view of one shard up to log object seq. It is not safe for concurrent
// use.
type shard struct {
	id          int
	store       objectapi.Store
	opts        Options
	now         func() time.Time
	loaded      bool   // the view is valid; otherwise it must be loaded before the next append
	seq         uint64 // number of the last log object applied
	snapshotSeq uint64 // number up to which the last known snapshot covers the log
	// verifiedSeq is the number up to which the view certainly equals the log. Objects above it
	// may have been deleted and created again by a daemon with an outdated view; the next confirm
	// shows whether that is possible.
	verifiedSeq uint64
	entries     map[string]Entry
}

func newShard(id int, store objectapi.Store, opts Options, now func() time.Time) *shard {
	return &shard{id: id, store: store, opts: opts, now: now, entries: map[string]Entry{}}
}

// load reads the snapshot and the log objects after it that the list shows. The list may lag
// behind: objects that it omits are found by the conflict of the next append.
func (s *shard) load(ctx context.Context) error {
	snap, _, err := s.readSnapshot(ctx)
	if err != nil {
		return err
	}
	s.resetToSnapshot(snap)
	objects, err := s.store.List(ctx, logPrefix(s.id))
	if err != nil {
		return nil // missing objects are found by conflicts, one at a time
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

// readSnapshot returns the stored snapshot and its version, or an empty snapshot and version 0 if
// there is none.
func (s *shard) readSnapshot(ctx context.Context) (snapshot, uint64, error) {
	snap := snapshot{Entries: map[string]Entry{}}
	obj, err := s.store.Get(ctx, snapshotKey(s.id))
	if errors.Is(err, objectapi.ErrNotFound) {
		return snap, 0, nil
	}
	if err != nil {
		return snap, 0, errors.WithType(err, ErrUnavailable)
	}
	return snap, obj.Version, errors.Trace(json.Unmarshal(obj.Value, &snap))
}

// foldObject applies the log object with the next number to the view.
func (s *shard) foldObject(obj objectapi.Object) error {
	var b batch
	if err := json.Unmarshal(obj.Value, &b); err != nil {
		return errors.Annotatef(err, "ledger object %s", obj.Key)
	}
	s.foldBatch(b)
	return nil
}

// foldBatch applies the batch with the next number to the view.
func (s *shard) foldBatch(b batch) {
	s.seq++
	for _, r := range b.Records {
		fold(s.entries, r, s.seq)
	}
}

// append makes the records durable and returns the resulting entry of each record's key. After
// an error the records may or may not be written, and the caller must not dispatch their
// attempts.
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

// tryAppend creates the next log object. False without an error means that the view was out of
// date; it has been updated or will be loaded again, and the caller must try again.
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

// readBack reads the log object with the given number, which is either this batch, if the
// create's reply was lost, or a batch of another daemon that the view does not contain yet.
func (s *shard) readBack(ctx context.Context, b batch, next uint64) (bool, error) {
	obj, err := s.store.Get(ctx, logKey(s.id, next))
	if errors.Is(err, objectapi.ErrNotFound) {
		// The object was compacted meanwhile, or this daemon's write has not taken effect yet.
		// Load the shard and try again.
		s.loaded = false
		return false, errors.Trace(ctx.Err())
	}
	if err != nil {
		return false, errors.WithType(err, ErrUnavailable)
	}
	var stored batch
	if err := json.Unmarshal(obj.Value, &stored); err != nil {
		return false, errors.Annotatef(err, "ledger object %s", obj.Key)
	}
	if stored.ID == b.ID {
		return s.confirm(ctx, b, next)
	}
	s.foldBatch(stored)
	return false, nil
}

// confirm checks that the number just written was not already compacted: creating an object with
// a compacted number succeeds but has no effect. The snapshot is written before the objects it
// covers are deleted, so reading it after the create always shows this. It also shows whether the
// view was read from compacted numbers; then the view is loaded again and finds this batch at its
// number.
func (s *shard) confirm(ctx context.Context, b batch, seq uint64) (bool, error) {
	snap, _, err := s.readSnapshot(ctx)
	if err != nil {
		s.loaded = false
		return false, err
	}
	if snap.UpTo >= seq {
		s.loaded = false
		return s.resetIfCovered(snap, b)
	}
	if snap.UpTo > s.verifiedSeq {
		s.loaded = false
		return false, nil
	}
	s.snapshotSeq = snap.UpTo
	s.foldBatch(b)
	s.verifiedSeq = s.seq
	return true, nil
}

// resetIfCovered handles a snapshot that covers the number of the batch just written. If the
// snapshot holds every record of the batch, the batch was written in time and then compacted by
// another daemon; it resets the view and returns true. Otherwise the number was stale.
func (s *shard) resetIfCovered(snap snapshot, b batch) (bool, error) {
	for _, r := range b.Records {
		if e, ok := snap.Entries[r.Key]; !ok || e.Attempt != r.Attempt || (r.Kind == KindOutcome && e.Result.Status == StatusClaimed) {
			return false, nil
		}
	}
	s.resetToSnapshot(snap)
	return true, nil
}

// resetToSnapshot replaces the view by a snapshot.
func (s *shard) resetToSnapshot(snap snapshot) {
	s.seq, s.snapshotSeq, s.verifiedSeq, s.entries, s.loaded = snap.UpTo, snap.UpTo, snap.UpTo, snap.Entries, true
}

// isFull reports whether the record claims a new key that exceeds the limit of entries.
func (s *shard) isFull(r Record) bool {
	if r.Kind != KindClaim || len(s.entries) < s.opts.MaxEntries {
		return false
	}
	_, known := s.entries[r.Key]
	return !known
}

// compact writes a new snapshot and deletes the log objects that it covers, once the log has
// Options.CompactAfter objects. Errors are ignored, because the next append tries again.
func (s *shard) compact(ctx context.Context) {
	if s.seq-s.snapshotSeq < uint64(s.opts.CompactAfter) {
		return
	}
	old, version, err := s.readSnapshot(ctx)
	if err != nil || old.UpTo >= s.seq {
		return
	}
	s.dropExpired()
	value, err := s.encodeSnapshot()
	if err != nil {
		return
	}
	if version == 0 {
		_, err = s.store.Create(ctx, snapshotKey(s.id), value)
	} else {
		_, err = s.store.Update(ctx, snapshotKey(s.id), version, value)
	}
	if err != nil {
		s.loaded = false // the stored snapshot is unknown
		return
	}
	s.snapshotSeq = s.seq
	s.deleteLog(ctx)
}

// deleteLog deletes the log objects that the snapshot covers.
func (s *shard) deleteLog(ctx context.Context) {
	objects, err := s.store.List(ctx, logPrefix(s.id))
	if err != nil {
		return
	}
	last := logKey(s.id, s.snapshotSeq)
	for _, obj := range objects {
		if obj.Key <= last {
			_ = s.store.Delete(ctx, obj.Key, obj.Version)
		}
	}
}

// dropExpired removes entries that are no longer needed: keys that are free again, and keys whose
// timestamp is past the retention, for which retries are refused.
func (s *shard) dropExpired() {
	now := s.now()
	for key, e := range s.entries {
		_, idempotencyKey, _ := strings.Cut(key, "/")
		if e.Result.Status == StatusNotRun || Expired(idempotencyKey, now, s.opts.Retention+ClockSkew) {
			delete(s.entries, key)
		}
	}
}

// encodeSnapshot returns the JSON of a snapshot of the view. It drops the bodies of the oldest
// entries until the snapshot fits into maxSnapshotBytes.
func (s *shard) encodeSnapshot() ([]byte, error) {
	value, err := json.Marshal(snapshot{UpTo: s.seq, Entries: s.entries})
	if err != nil || len(value) <= maxSnapshotBytes {
		return value, errors.Trace(err)
	}
	keys := make([]string, 0, len(s.entries))
	for key := range s.entries {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b string) int { return int(s.entries[a].Order) - int(s.entries[b].Order) })
	excess := len(value) - maxSnapshotBytes
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
