// Package cluster defines the messages between daemons (JSON-RPC over TCP) and the
// assignment of duties to live daemons. A duty is a unit of background work, such as
// probing one group. Duties only divide the work: no safety property depends on a
// single daemon having a duty.
//
// A daemon registers in the configuration head under a slot, a name that it keeps over
// restarts. An incarnation identifies one process that runs under a slot.
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

// Handler answers the calls of peers. Its methods must be safe for concurrent use.
type Handler interface {
	Sync(ctx context.Context, req SyncRequest) (SyncReply, error)
	Offer(ctx context.Context, head VersionedHead) (OfferReply, error)
	Append(ctx context.Context, req AppendRequest) (AppendReply, error)
}

// Methods returns the methods of h under their names in the peer protocol.
func Methods(h Handler) handler.Map {
	return handler.Map{
		MethodSync:   handler.New(h.Sync),
		MethodOffer:  handler.New(h.Offer),
		MethodAppend: handler.New(h.Append),
	}
}

// SyncRequest asks a peer for its state. The versions say what the caller already
// has, so that the reply holds only newer objects.
type SyncRequest struct {
	Slot        string            `json:"slot"`
	HeadVersion uint64            `json:"head_version"`
	Domains     map[string]uint64 `json:"domains"` // object version by domain
}

// SyncReply is the state of a peer. Ages are relative to the time of the reply; the
// caller counts them from the time it sent the request, so that no fact appears
// younger than it is.
type SyncReply struct {
	Slot        string         `json:"slot"`
	Incarnation string         `json:"incarnation"`
	Revision    uint64         `json:"revision"` // revision that the peer has applied
	HeadVersion uint64         `json:"head_version"`
	Head        *VersionedHead `json:"head,omitempty"`
	// ContactAges holds, for each slot of the head in slot order, the time since the
	// peer's last contact with that slot, in units of the admission lease divided by
	// ContactAgeUnits. It is valid only if the caller has the same head version. Because
	// contacts are relayed, a few exchanges suffice to keep many daemons known as alive.
	ContactAges []byte         `json:"heard_ages,omitempty"`
	PlatformAge int64          `json:"platform_age_ms"` // milliseconds since the freshest known read of the head; -1: none
	Domains     []DomainReport `json:"domains,omitempty"`
	Load        DaemonLoad     `json:"load"`
}

// ContactAgeUnits is the number of units of ContactAges per admission lease.
const ContactAgeUnits = 100

// UnknownContactAge in ContactAges means no contact, or one too old to be encoded.
const UnknownContactAge = 255

// VersionedHead is a configuration head together with its object version.
type VersionedHead struct {
	Version uint64        `json:"version"`
	Head    revision.Head `json:"head"`
}

// DomainReport relays the evidence on a domain's groups, and the domain object if the
// caller's is older.
type DomainReport struct {
	Name    string          `json:"name"`
	Version uint64          `json:"version"`
	Domain  json.RawMessage `json:"domain,omitempty"`
	// Packed is the evidence on all groups of that version; package control defines
	// the encoding.
	Packed []byte `json:"packed,omitempty"`
	// Abnormal is the full evidence on groups with lost or leaving members or an
	// ended epoch.
	Abnormal []EvidenceReport `json:"wrong,omitempty"`
}

// EvidenceReport is the evidence on a group with its age.
type EvidenceReport struct {
	AgeMS    int64          `json:"age_ms"` // milliseconds since Evidence.Ready; -1: not ready
	Evidence group.Evidence `json:"evidence"`
}

// DaemonLoad is a daemon's report of its own load, for limits shared by all daemons.
type DaemonLoad struct {
	// InUse is the number of in-flight requests by workspace.
	InUse map[string]int `json:"in_use,omitempty"`
	// Demand is the requests per second by workspace with a rate limit, rejected ones included. Nil: not
	// known, from a daemon of an earlier version.
	Demand map[string]float64 `json:"demand,omitzero"`
}

// OfferReply acknowledges an offered head; Revision is the revision that the peer has
// applied.
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

// AppendReply holds, for each record of the request, the entry now in the ledger.
type AppendReply struct {
	Entries []ledger.Entry `json:"entries"`
	Full    bool           `json:"full,omitempty"` // the append failed with ledger.ErrFull
}
