// Package gateway is a reverse proxy for callers' HTTP requests, whose bodies it doesn't
// interpret. It matches a route, checks the key, chooses an instance or a group of engines,
// sends the request and passes the response on. Requests that must not be retried run at most
// once. An event stream that breaks or stalls continues at another replica within the same
// response. A request that can't be served is refused at once.
package gateway

import (
	"net/http"
	"time"

	"pearlanding/internal/backpressure"
	"pearlanding/internal/dispatch"
)

// Request is the part of a caller's request that the gateway uses.
type Request struct {
	ID                   string // of this attempt by the caller
	Method               string
	Host                 string
	Path                 string // for matching the route
	RequestTarget        string // verbatim from the request line
	Header               http.Header
	Body                 []byte
	CallerTimeout        time.Duration // how long the caller waits; 0 if not stated
	Key                  string        // empty if there is none
	Model                string        // empty if the request names none
	PromptTokens         int
	PromptParts          []string // ids of the parts of the prompt that other requests may share, without duplicates
	PromptError          error    // why the parts of the prompt are not known; nil if they are, or if the request names none
	MaxOutputTokens      int      // maximum number of output tokens
	ExpectedOutputTokens int      // estimated number of output tokens; 0 if there is none
	LastEventID          string   // Last-Event-ID header
	ArrivedAt            time.Time
}

// SendOptions is what the gateway adds to a request for the instance that receives it.
type SendOptions struct {
	Instance    string        // ID of the instance for which the request is meant
	Remaining   time.Duration // until the deadline
	Workspace   string
	LastEventID string           // ID of the last event that the caller has; empty if none
	Urgency     dispatch.Urgency // among the requests queued at the instance
	// PriorityRank is the number of more urgent priorities among the configured Priorities.
	PriorityRank, Priorities int
}

// Codec translates between HTTP headers and the gateway's types.
type Codec interface {
	// Request reads the request line and headers of a caller's request.
	Request(r *http.Request) *Request
	// UpstreamHeader returns the headers of the request to an instance.
	UpstreamHeader(req *Request, s SendOptions) http.Header
	// IsResponseTo reports whether a response belongs to the request with this ID.
	IsResponseTo(id string, status int, h http.Header) bool
	// SaysNotRun reports whether a response says that the request has not run and will not run.
	SaysNotRun(status int, h http.Header) bool
	// Signed reports whether a response carries the signature of an instance.
	Signed(h http.Header) bool
	// Signals reads the signals about its instance that a response carries. A signal that
	// can't be parsed is reported in the error and left out of the result.
	Signals(status int, h http.Header) (backpressure.Signals, error)
	// UnknownHeaders returns the canonical names of a response's headers that the gateway doesn't use.
	UnknownHeaders(h http.Header) []string
	// CallerHeader returns the headers of a response that are passed on to the caller.
	CallerHeader(h http.Header) http.Header
	// SetRetryAfter sets the headers that tell a caller when to retry.
	SetRetryAfter(h http.Header, d time.Duration)
}
