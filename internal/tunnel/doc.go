// Package tunnel lets a daemon that can't connect to an instance reach it through another daemon, a
// peer. The peer connects to the instance and copies bytes between the two connections; it sees no
// requests and decides nothing. Everything else, such as attempts, retries, limits and deadlines, stays with
// the daemon that received the request.
//
// A Dialer tries the direct path first and adds paths through peers if that fails or is late, as
// Happy Eyeballs (RFC 8305) does for addresses. A Server is the peer's side. A peer connects only to
// instances of its own view, directly, and only to a limited number at a time.
//
// A tunnel is opened by a JSON-RPC request on a connection of its own, which then carries the
// request bytes as they are and the response bytes in frames. The last frame tells how the
// instance's connection ended, so that a response that lasts until its connection ends is never
// taken for complete when the peer fails.
package tunnel

import (
	"encoding/json"

	"github.com/juju/errors"
)

// Method is the JSON-RPC method that opens a tunnel.
const Method = "tunnel.open"

// Instance is one incarnation of an instance. Each daemon connects to the address in its own view.
type Instance struct {
	ID        string `json:"instance"`
	StartedAt int64  `json:"started_at"`
}

// Errors of a dial.
const (
	// errRefused: the instance refused the peer's connection while another instance accepted one.
	errRefused = errors.ConstError("tunnel: the instance refused the peer's connection")
	// errNoAnswer: the instance did not answer the peer, which reaches other instances.
	errNoAnswer = errors.ConstError("tunnel: the instance did not answer the peer")
	// errPeerCutOff: the peer can't reach instances itself.
	errPeerCutOff = errors.ConstError("tunnel: the peer reaches no instances")
	// errPeerBusy: the peer has as many tunnels as it may.
	errPeerBusy = errors.ConstError("tunnel: the peer has no free tunnel")
	// errUnknownInstance: the peer's view does not have this incarnation.
	errUnknownInstance = errors.ConstError("tunnel: the peer does not know the instance")
	// errUnsupported: the peer is of an earlier version.
	errUnsupported = errors.ConstError("tunnel: the peer serves no tunnels")
)

// Error codes in replies, in the range that JSON-RPC leaves to applications.
const (
	codeRefused         = 1
	codeNoAnswer        = 2
	codeCutOff          = 3
	codeBusy            = 4
	codeUnknownInstance = 5
)

var errorCodes = map[errors.ConstError]int{errRefused: codeRefused, errNoAnswer: codeNoAnswer, errPeerCutOff: codeCutOff, errPeerBusy: codeBusy, errUnknownInstance: codeUnknownInstance}

// openRequest is the line that opens a tunnel.
type openRequest struct {
	Version string   `json:"jsonrpc"`
	ID      int      `json:"id"`
	Method  string   `json:"method"`
	Params  Instance `json:"params"`
}

// openReply is the answer to it. If there is no error, the connection is a tunnel from then on.
type openReply struct {
	Version string      `json:"jsonrpc"`
	ID      int         `json:"id"`
	Result  *openResult `json:"result,omitempty"`
	Error   *openError  `json:"error,omitempty"`
}

// openResult tells how busy the peer is.
type openResult struct {
	Open  int `json:"open"`  // number of the peer's tunnels, with this one
	Limit int `json:"limit"` // the most that it opens
}

type openError struct {
	Code    int    `json:"code"`
	Message string `json:"message"`
}

// encodeLine returns v as one line.
func encodeLine(v any) ([]byte, error) {
	line, err := json.Marshal(v)
	return append(line, '\n'), errors.Trace(err)
}

// err returns the error that a reply carries.
func (e *openError) err() error {
	for known, code := range errorCodes {
		if code == e.Code {
			return known
		}
	}
	return errors.Annotate(errUnsupported, e.Message)
}
