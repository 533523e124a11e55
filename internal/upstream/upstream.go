// Package upstream sends one attempt of a request to an engine or a plain
// service, and tells truthfully what became of it: an answer, surely not run, or
// unknown.
//
// It uses the standard library's HTTP client rather than the house's, because
// the promise "not run" rests on knowing when a connection was had and on no
// request ever being replayed behind our back; see docs/design/answers.md.
package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

// Errors of an attempt.
const (
	// ErrNotSent: no connection was had; not a byte left. The request was not run.
	ErrNotSent = errors.ConstError("upstream: not sent")
	// ErrUnknown: bytes may have been sent and no whole answer came.
	ErrUnknown = errors.ConstError("upstream: outcome unknown")
	// ErrCrossed: the answer was for another request; the connection is closed.
	// What became of our own request is unknown.
	ErrCrossed = errors.ConstError("upstream: answer to another request")
	// ErrTooLarge: the answer exceeds the limit; the request has run.
	ErrTooLarge = errors.ConstError("upstream: answer too large")
)

// Client sends attempts. Safe for concurrent use.
type Client struct {
	pooled *http.Client
	// fresh opens a connection for each request. On a fresh connection the
	// transport never replays a request, whatever its headers.
	fresh *http.Client
}

// idlePerHost is how many idle connections are kept to one upstream.
const idlePerHost = 256

// New returns a client; connect bounds how long a connection may take.
func New(connect time.Duration) *Client {
	dial := (&net.Dialer{Timeout: connect}).DialContext
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{
		pooled: &http.Client{CheckRedirect: noRedirect, Transport: &http.Transport{
			DialContext: dial, MaxIdleConnsPerHost: idlePerHost, IdleConnTimeout: 30 * time.Second, DisableCompression: true}},
		fresh: &http.Client{CheckRedirect: noRedirect, Transport: &http.Transport{
			DialContext: dial, DisableKeepAlives: true, DisableCompression: true}},
	}
}

// Do sends the request once and returns the head of the answer. once selects a
// fresh connection. The caller closes the body; closing it before its end closes
// the connection, so an answer still owed is never read as another's.
func (c *Client) Do(req *http.Request, once bool) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
	client := c.pooled
	if once {
		client = c.fresh
		req.GetBody = nil
	}
	resp, err := client.Do(req)
	if err == nil {
		return resp, nil
	}
	if connected.Load() {
		return nil, errors.WithType(err, ErrUnknown)
	}
	return nil, errors.WithType(err, ErrNotSent)
}

// ReadWhole reads an answer's body to its end, up to limit bytes. A body cut
// short is ErrUnknown, never a short answer.
func ReadWhole(resp *http.Response, limit int) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, int64(limit)+1))
	if err != nil {
		return nil, errors.WithType(err, ErrUnknown)
	}
	if len(body) > limit {
		return nil, ErrTooLarge
	}
	return body, nil
}

// Detached returns a context that ends with its own timeout but not with ctx,
// for work that must be finished after a caller left.
func Detached(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.WithoutCancel(ctx), timeout)
}
