package api

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"pearlanding/internal/catalog"
	"pearlanding/internal/problem"
	"pearlanding/internal/telemetry"
	"pearlanding/internal/upstream"
)

// hopByHop lists the headers that belong to one connection, and those that are meant
// for this daemon and must not be sent upstream.
var hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Authorization", "Host", "Content-Length", HeaderRepeat}

// maxAnswerBytes limits an answer that is not streamed.
const maxAnswerBytes = 16 << 20

// callService forwards a call to one instance of a plain service.
func (a *API) callService(ctx context.Context, x *exchange) *problem.Problem {
	name := x.c.Param("service")
	svc, ok := x.snap.Head.Doc.Services[name]
	if !ok || !slices.Contains(x.ws.Services, name) {
		return problem.New(http.StatusNotFound, problem.CodeServiceNotFound, "workspace %s has no service %q", x.workspace, name)
	}
	release, p := a.acquireSlot(x)
	if p != nil {
		return p
	}
	defer release()
	method := string(x.c.Method())
	k := &call{
		method: method, uri: servicePath(x, name), header: forwardHeader(x), body: x.c.Request.Body(),
		atMostOnce: slices.Contains(svc.AtMostOnceMethods, method) || string(x.c.GetHeader(HeaderRepeat)) == repeatNever,
		choose:     func(exclude []string, _ time.Time) *destination { return chooseInstance(svc, x.ws.Places, exclude) },
		prepare:    func(h http.Header, _ *destination) { h.Set(HeaderRequestID, x.id) },
		retryable:  func() bool { return isSafe(method) },
	}
	var c *claimedRequest
	if k.atMostOnce {
		if c, p = a.claim(ctx, x, k.body); c == nil {
			return p
		}
	}
	k.consume = func(resp *http.Response, d *destination) error { return a.forwardAnswer(x, resp, d, c) }
	p = a.dispatch(ctx, x, k)
	if c != nil {
		a.settleClaim(ctx, x, c, p)
	}
	telemetry.ObserveSince(x.metrics.Answer, x.start)
	return p
}

// isSafe reports whether a request with this method may be retried without a key.
func isSafe(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// servicePath returns the path and query after /services/{service}, unchanged.
func servicePath(x *exchange, service string) string {
	uri := strings.TrimPrefix(string(x.c.Request.RequestURI()), "/services/"+service)
	if !strings.HasPrefix(uri, "/") {
		uri = "/" + uri
	}
	return uri
}

// forwardHeader returns the caller's headers without those of hopByHop.
func forwardHeader(x *exchange) http.Header {
	out := http.Header{}
	x.c.Request.Header.VisitAll(func(key, value []byte) {
		name := http.CanonicalHeaderKey(string(key))
		if !slices.Contains(hopByHop, name) {
			out.Add(name, string(value))
		}
	})
	return out
}

// chooseInstance returns a permitted instance, chosen at random, or nil.
func chooseInstance(svc catalog.Service, places, exclude []string) *destination {
	var permitted []catalog.Instance
	for _, i := range svc.Instances {
		if slices.Contains(places, i.Place) && !slices.Contains(exclude, i.Address) {
			permitted = append(permitted, i)
		}
	}
	if len(permitted) == 0 {
		return nil
	}
	i := permitted[rand.IntN(len(permitted))]
	return &destination{name: i.Address, place: i.Place, address: i.Address, candidates: len(permitted)}
}

// forwardAnswer delivers a service's answer once it is complete.
func (a *API) forwardAnswer(x *exchange, resp *http.Response, d *destination, c *claimedRequest) error {
	body, err := upstream.ReadWhole(resp, maxAnswerBytes)
	if err != nil {
		return err
	}
	if c != nil {
		c.record(resp.StatusCode, resp.Header.Get("Content-Type"), body, a.Settings.Ledger.MaxBodyBytes)
	}
	for name, values := range resp.Header {
		if slices.Contains(hopByHop, name) || name == HeaderRequestID || name == "Content-Type" {
			continue
		}
		for _, v := range values {
			x.c.Response.Header.Add(name, v)
		}
	}
	x.c.Response.Header.Set(HeaderPlace, d.place)
	x.c.Data(resp.StatusCode, resp.Header.Get("Content-Type"), body)
	return nil
}
