// Package upstream sends one attempt of a request to an engine or a plain service, and reports
// its outcome: a response, not run, or unknown.
//
// Client uses the standard library's HTTP client rather than the organisation's common one,
// because "not run" can only be reported if it is known whether a connection was obtained and
// if no request is ever retried implicitly; see docs/design/answers.md.
package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"regexp"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"pearlanding/internal/link"
)

// Errors of an attempt.
const (
	// ErrNotSent means that no byte was sent, so the request has not run.
	ErrNotSent = errors.ConstError("upstream: not sent")
	// ErrUnknown means that bytes may have been sent and no complete response was received.
	ErrUnknown = errors.ConstError("upstream: outcome unknown")
	// ErrForeignResponse means that the response belongs to another request. The connection is closed,
	// and the outcome of this request is unknown.
	ErrForeignResponse = errors.ConstError("upstream: response to another request")
	// ErrTooLarge means that the response exceeds the limit; the request has run.
	ErrTooLarge = errors.ConstError("upstream: response too large")
)

// Client sends single attempts of requests. Safe for concurrent use.
type Client struct {
	pooled *http.Client
	// fresh opens a new connection for each request. The transport never retries a request on a
	// new connection, whatever its headers are.
	fresh *http.Client
}

// maxIdlePerHost limits the idle connections to one upstream.
const maxIdlePerHost = 256

// New returns a client with the given connect timeout.
func New(connect time.Duration) *Client {
	dial := link.KeepErrors((&net.Dialer{Timeout: connect}).DialContext)
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{
		pooled: &http.Client{CheckRedirect: noRedirect, Transport: &http.Transport{
			DialContext: dial, MaxIdleConnsPerHost: maxIdlePerHost, IdleConnTimeout: 30 * time.Second, DisableCompression: true}},
		fresh: &http.Client{CheckRedirect: noRedirect, Transport: &http.Transport{
			DialContext: dial, DisableKeepAlives: true, DisableCompression: true}},
	}
}

// Do sends the request once and returns its response after reading the header. If once is set,
// it uses a new connection, so that the request runs at most once. The error is ErrNotSent if no
// connection was obtained, and otherwise ErrUnknown. The caller must close the body. Closing it
// before its end closes the connection, so the rest can't be read as another response.
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
		if err = checkHead(resp); err == nil {
			return resp, nil
		}
		_ = resp.Body.Close()
	}
	if connected.Load() {
		return nil, errors.WithType(err, ErrUnknown)
	}
	return nil, errors.WithType(err, ErrNotSent)
}

// ReadWhole reads a response's body to its end. The error is ErrUnknown if the body is truncated, or may be
// by CheckEnd, and ErrTooLarge if it exceeds limit bytes.
func ReadWhole(resp *http.Response, limit int) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, int64(limit)+1))
	if err != nil {
		return nil, errors.WithType(err, ErrUnknown)
	}
	if len(body) > limit {
		return nil, ErrTooLarge
	}
	return body, CheckEnd(resp, len(body))
}

// errUnmarkedEnd means that a connection ended after the head of a response with nothing to mark its end.
const errUnmarkedEnd = errors.ConstError("upstream: response ended with its connection after its head")

// CheckEnd checks a response whose body was read to its end and has a number of bytes. The error is ErrUnknown if
// the response is a success without a body whose end nothing marks: it ends like one that was cut after its head.
func CheckEnd(resp *http.Response, bodyBytes int) error {
	if bodyBytes == 0 && resp.StatusCode/100 == 2 && !EndIsMarked(resp) {
		return errors.WithType(errUnmarkedEnd, ErrUnknown)
	}
	return nil
}

// ErrInvalidStatus means that the first line of a response has no status of RFC 9110, three digits from 100 to 599:
// the bytes are no response. It also means 101, as no request asks for another protocol. Such an error is ErrUnknown,
// too.
const ErrInvalidStatus = errors.ConstError("upstream: invalid status in response")

// ErrBrokenHead means that the head of a response breaks off where another response begins, so that neither the status
// and headers nor the body are known to belong together. Such an error is ErrUnknown, too.
const ErrBrokenHead = errors.ConstError("upstream: head of response continues with another response")

// statusLine matches the start of a response inside a line. A head that broke off between two lines is refused by
// http.ReadResponse, because a status line is no header.
var statusLine = regexp.MustCompile(`HTTP/\d\.\d \d{3}( |$)`)

func containsStatusLine(text string) bool {
	return strings.Contains(text, "HTTP/") && statusLine.MatchString(text)
}

// checkHead returns ErrInvalidStatus or ErrBrokenHead unless the head of a response is one.
func checkHead(resp *http.Response) error {
	if err := checkStatus(resp); err != nil {
		return err
	}
	broken := containsStatusLine(resp.Status)
	for _, values := range resp.Header {
		broken = broken || slices.ContainsFunc(values, containsStatusLine)
	}
	if broken {
		return ErrBrokenHead
	}
	return nil
}

// checkStatus returns ErrInvalidStatus unless a response has a valid status. http.ReadResponse takes any number
// of three characters, also "000" and "+20", and none of these can be sent to a caller. http.Transport returns 101 as a
// final response.
func checkStatus(resp *http.Response) error {
	const digits = 3
	code, _, _ := strings.Cut(resp.Status, " ")
	valid := len(code) == digits && strings.Trim(code, "0123456789") == "" && resp.StatusCode >= 100 && resp.StatusCode <= 599
	if !valid || resp.StatusCode == http.StatusSwitchingProtocols {
		return errors.WithType(errors.Errorf("invalid status %q", code), ErrInvalidStatus)
	}
	return nil
}

// DetachedContext returns a context that ends after its own timeout but not with ctx, for work that
// must be finished after the caller has disconnected.
func DetachedContext(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.WithoutCancel(ctx), timeout)
}
