// Package ledger is the durable record of requests that may not be repeated.
//
// The key space is cut into shards. A shard is a log of create-if-absent platform
// objects and a snapshot that the log's head is rolled into. A claim is durable
// before the first byte of its request goes upstream. Whoever appends has seen
// every earlier record of the shard, because the create of the next number fails
// otherwise; so at most one attempt ever holds a key, whoever does the writing.
package ledger

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

// Kind tells what a record says.
type Kind string

// Kinds of records.
const (
	KindClaim   Kind = "claim"
	KindOutcome Kind = "outcome"
)

// Status is how a claimed request ended.
type Status string

// Statuses of an entry.
const (
	StatusClaimed Status = "claimed"      // no outcome recorded
	StatusDone    Status = "done"         // a whole answer was had
	StatusUnknown Status = "may_have_run" // bytes were sent, no whole answer
	StatusNotRun  Status = "not_run"      // surely not run; the key is free again
)

// Claimant names the daemon process that holds a claim.
type Claimant struct {
	Slot        string `json:"slot"`
	Incarnation string `json:"incarnation"`
}

// Result is the recorded outcome of a request.
type Result struct {
	Status      Status `json:"status"`
	HTTPStatus  int    `json:"http_status,omitempty"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// BodyDropped: the answer was whole but its body is not kept.
	BodyDropped bool `json:"body_dropped,omitempty"`
}

// Record is one line of a shard's log.
type Record struct {
	Kind     Kind     `json:"kind"`
	Key      string   `json:"key"`
	Attempt  string   `json:"attempt"`
	Claimant Claimant `json:"claimant,omitzero"`
	Digest   uint64   `json:"digest,omitempty"` // of the request, to tell a reused key
	Result   Result   `json:"result,omitzero"`
}

// Entry is what a shard knows of one key after folding its log.
type Entry struct {
	Attempt  string   `json:"attempt"`
	Claimant Claimant `json:"claimant"`
	Digest   uint64   `json:"digest,omitempty"`
	Result   Result   `json:"result"`
	Order    uint64   `json:"order"` // of the claim, to drop old bodies first
}

// fold applies one record to the entries and returns the entry that stands.
//
//   - a claim holds if the key is free: unknown, or its last attempt did not run;
//   - an outcome holds if its attempt holds the claim and has none yet.
func fold(entries map[string]Entry, r Record, order uint64) Entry {
	e, known := entries[r.Key]
	switch {
	case r.Kind == KindClaim && (!known || (e.Result.Status == StatusNotRun && e.Attempt != r.Attempt)):
		e = Entry{Attempt: r.Attempt, Claimant: r.Claimant, Digest: r.Digest, Result: Result{Status: StatusClaimed}, Order: order}
		entries[r.Key] = e
	case r.Kind == KindOutcome && known && e.Attempt == r.Attempt && e.Result.Status == StatusClaimed:
		e.Result = r.Result
		entries[r.Key] = e
	}
	return e
}

// Key is the ledger key of a caller's idempotency key.
func Key(workspace, idempotencyKey string) string { return workspace + "/" + idempotencyKey }

// ShardOf returns the shard of a key.
func ShardOf(key string, shards int) int { return int(xxhash.Sum64String(key) % uint64(shards)) }

// KeyTime returns the time that an idempotency key carries (UUIDv7), if any.
func KeyTime(idempotencyKey string) (time.Time, bool) {
	id, err := uuid.Parse(idempotencyKey)
	if err != nil || id.Version() != 7 {
		return time.Time{}, false
	}
	sec, nsec := id.Time().UnixTime()
	return time.Unix(sec, nsec), true
}

// ClockSkew is how far the clocks of callers and daemons may be apart; entries
// are forgotten that much later than repeats are refused.
const ClockSkew = 5 * time.Minute

// Expired tells whether a key carries a time so old that its entry may have been
// forgotten: a repeat must be refused as not run.
func Expired(idempotencyKey string, now time.Time, retention time.Duration) bool {
	at, ok := KeyTime(idempotencyKey)
	return ok && now.Sub(at) > retention
}
