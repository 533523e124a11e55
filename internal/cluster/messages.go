// Package cluster is how daemons keep in touch: the messages between peers
// (JSON-RPC over TCP), the table of who was heard when, and the spreading of
// duties over the live daemons. A duty is only an assignment of effort; safety
// never rests on who holds it.
package cluster

import (
	"context"
	"encoding/json"

	"github.com/creachadair/jrpc2/handler"

	"pearlanding/internal/group"
	"pearlanding/internal/ledger"
	"pearlanding/internal/revision"
)

// Methods of the peer protocol.
const (
	MethodSync   = "peer.sync"
	MethodOffer  = "peer.offer"
	MethodAppend = "ledger.append"
)

// Handler answers the calls of peers. Methods run on many goroutines.
type Handler interface {
	Sync(ctx context.Context, req SyncRequest) (SyncReply, error)
	Offer(ctx context.Context, head HeadCopy) (OfferReply, error)
	Append(ctx context.Context, req AppendRequest) (AppendReply, error)
}

// Methods returns the handler's methods by name.
func Methods(h Handler) handler.Map {
	return handler.Map{
		MethodSync:   handler.New(h.Sync),
		MethodOffer:  handler.New(h.Offer),
		MethodAppend: handler.New(h.Append),
	}
}

// SyncRequest asks a peer for what it knows; From says what the asker has, so
// that only what is newer comes back.
type SyncRequest struct {
	Slot        string            `json:"slot"`
	HeadVersion uint64            `json:"head_version"`
	Domains     map[string]uint64 `json:"domains"` // object version by domain
}

// SyncReply is what a peer knows. Ages are in milliseconds before the reply was
// made; the asker counts them from the moment it sent the request.
type SyncReply struct {
	Slot        string    `json:"slot"`
	Incarnation string    `json:"incarnation"`
	Revision    uint64    `json:"revision"` // applied by the peer
	HeadVersion uint64    `json:"head_version"`
	Head        *HeadCopy `json:"head,omitempty"`
	// HeardAges relays when the peer last heard each slot of the head, in slot
	// order, one byte each in AgeUnits of the admission lease. It counts only for
	// the same head, and lets few exchanges keep many daemons known as alive.
	HeardAges   []byte         `json:"heard_ages,omitempty"`
	PlatformAge int64          `json:"platform_age_ms"` // -1: no evidence
	Domains     []DomainReport `json:"domains,omitempty"`
	Load        DaemonLoad     `json:"load"`
}

// AgeUnits is how finely relayed hearing ages divide the admission lease.
const AgeUnits = 100

// UnknownAge in HeardAges means older than can be said, or never.
const UnknownAge = 255

// HeadCopy is a relayed head object.
type HeadCopy struct {
	Version uint64        `json:"version"`
	Head    revision.Head `json:"head"`
}

// DomainReport relays a domain object, if the asker's is older, and evidence.
type DomainReport struct {
	Name    string          `json:"name"`
	Version uint64          `json:"version"`
	Domain  json.RawMessage `json:"domain,omitempty"`
	// Packed is evidence of all groups of that version; see package control.
	Packed []byte `json:"packed,omitempty"`
	// Wrong spells out the evidence that names lost or leaving members.
	Wrong []EvidenceReport `json:"wrong,omitempty"`
}

// EvidenceReport is group evidence with its age.
type EvidenceReport struct {
	AgeMS    int64          `json:"age_ms"`
	Evidence group.Evidence `json:"evidence"`
}

// DaemonLoad is what a daemon says of its own traffic, for shared limits.
type DaemonLoad struct {
	// InUse is the number of requests in progress by workspace.
	InUse map[string]int `json:"in_use,omitempty"`
}

// OfferReply acknowledges an offered head: the peer has applied Revision.
type OfferReply struct {
	Slot        string `json:"slot"`
	Incarnation string `json:"incarnation"`
	Revision    uint64 `json:"revision"`
}

// AppendRequest asks the preferred daemon of a shard to append records.
type AppendRequest struct {
	Shard   int             `json:"shard"`
	Records []ledger.Record `json:"records"`
}

// AppendReply holds, per record of the request, the entry that stands now.
type AppendReply struct {
	Entries []ledger.Entry `json:"entries"`
	Full    bool           `json:"full,omitempty"` // ledger.ErrFull
}
