// Package ledger is the durable record of requests that must not be retried.
//
// The key space is divided into shards. A shard is a log of platform objects, each created only
// if its number is unused, and a snapshot into which the oldest objects are compacted. A claim is
// durable before the first byte of its request is sent upstream. A daemon that appends a record
// has seen all earlier records of the shard, because otherwise creating the object with the next
// number fails. Therefore at most one attempt ever holds a key, whichever daemon writes.
package ledger

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

// Kind is the kind of a record.
type Kind string

// Kinds of records.
const (
	KindClaim   Kind = "claim"
	KindOutcome Kind = "outcome"
)

// Status is the outcome of a claimed request.
type Status string

// Statuses of an entry.
const (
	StatusClaimed Status = "claimed"      // no outcome recorded
	StatusDone    Status = "done"         // a complete response was received
	StatusUnknown Status = "may_have_run" // bytes were sent, but no complete response was received
	StatusNotRun  Status = "not_run"      // certainly not run; the key is free again
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
	// BodyDropped means that the response was complete but its body is not stored.
	BodyDropped bool `json:"body_dropped,omitempty"`
}

// Record is one line of a shard's log.
type Record struct {
	Kind     Kind     `json:"kind"`
	Key      string   `json:"key"`
	Attempt  string   `json:"attempt"`
	Claimant Claimant `json:"claimant,omitzero"`
	Digest   uint64   `json:"digest,omitempty"` // of the request, to detect a key reused for another one
	Result   Result   `json:"result,omitzero"`
}

// Entry is the state of one key after all records of its shard's log are applied.
type Entry struct {
	Attempt  string   `json:"attempt"`
	Claimant Claimant `json:"claimant"`
	Digest   uint64   `json:"digest,omitempty"`
	Result   Result   `json:"result"`
	Order    uint64   `json:"order"` // number of the claim's log object; bodies are dropped in this order
}

// fold applies one record to the entries and returns the resulting entry of its key.
//
//   - A claim takes effect if the key is free: unknown, or its last attempt did not run.
//   - An outcome takes effect if its attempt holds the claim and has no outcome yet.
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

// Key returns the ledger key of a workspace's idempotency key.
func Key(workspace, idempotencyKey string) string { return workspace + "/" + idempotencyKey }

// ShardOf returns the shard of a key.
func ShardOf(key string, shards int) int { return int(xxhash.Sum64String(key) % uint64(shards)) }

// KeyTime returns the timestamp of an idempotency key that is a UUIDv7; false if it is none.
func KeyTime(idempotencyKey string) (time.Time, bool) {
	id, err := uuid.Parse(idempotencyKey)
	if err != nil || id.Version() != 7 {
		return time.Time{}, false
	}
	sec, nsec := id.Time().UnixTime()
	return time.Unix(sec, nsec), true
}

// ClockSkew is the maximum difference between the clocks of callers and daemons. Entries are
// dropped that much later than retries are refused.
const ClockSkew = 5 * time.Minute

// Expired reports whether the timestamp of a key is so old that its entry may have been dropped.
// A retry must then be refused as not run.
func Expired(idempotencyKey string, now time.Time, retention time.Duration) bool {
	at, ok := KeyTime(idempotencyKey)
	return ok && now.Sub(at) > retention
}
