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

// hopByHop are the headers that belong to one connection, plus those that are
// ours and must not leak upstream.
var hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Authorization", "Host", "Content-Length", HeaderRepeat}

// maxAnswerBytes bounds an answer that is delivered in one piece.
const maxAnswerBytes = 16 << 20

// callService passes a call to one instance of a plain service.
func (a *API) callService(ctx context.Context, x *exchange) *problem.Problem {
	name := x.c.Param("service")
	svc, ok := x.snap.Head.Doc.Services[name]
	if !ok || !slices.Contains(x.ws.Services, name) {
		return problem.New(http.StatusNotFound, problem.CodeNoSuchService, "workspace %s has no service %q", x.workspace, name)
	}
	leave, p := a.takePlace(x)
	if p != nil {
		return p
	}
	defer leave()
	method := string(x.c.Method())
	k := &call{
		method: method, uri: servicePath(x, name), header: forwardHeader(x), body: x.c.Request.Body(),
		once:       slices.Contains(svc.OnceMethods, method) || string(x.c.GetHeader(HeaderRepeat)) == repeatNever,
		choose:     func(exclude []string, _ time.Time) *destination { return chooseInstance(svc, x.ws.Places, exclude) },
		prepare:    func(h http.Header, _ *destination) { h.Set(HeaderRequestID, x.id) },
		repeatable: func() bool { return isSafe(method) },
	}
	var c *claimed
	if k.once {
		if c, p = a.claim(ctx, x, k.body); c == nil {
			return p
		}
	}
	k.consume = func(resp *http.Response, d *destination) error { return a.passOn(x, resp, d, c) }
	p = a.dispatch(ctx, x, k)
	if c != nil {
		a.finish(ctx, x, c, p)
	}
	telemetry.Since(x.metrics.Answer, x.start)
	return p
}

// isSafe tells whether a method may be sent again without a key.
func isSafe(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// servicePath is the path and query behind /services/{service}, as sent.
func servicePath(x *exchange, service string) string {
	uri := strings.TrimPrefix(string(x.c.Request.RequestURI()), "/services/"+service)
	if !strings.HasPrefix(uri, "/") {
		uri = "/" + uri
	}
	return uri
}

// forwardHeader copies the caller's headers but those of the connection.
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

// chooseInstance picks a permitted instance at random.
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
	return &destination{name: i.Address, place: i.Place, address: i.Address, among: len(permitted)}
}

// passOn delivers a service's answer once it is whole.
func (a *API) passOn(x *exchange, resp *http.Response, d *destination, c *claimed) error {
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
