package gateway

import (
	"net/http"
	"strconv"
	"time"

	"pearlanding/internal/dispatch"
)

// refuse answers with a status of our own. Unless retry is 0 the caller is told
// when to come back. It returns false for its callers' convenience.
func (x *exchange) refuse(status int, reason string, retry time.Duration) bool {
	x.note(reason)
	if x.begun {
		panicAbort(x)
		return false
	}
	x.status, x.begun = status, true
	h := x.w.Header()
	if retry > 0 {
		x.gateway.Codec.RetryAfter(h, retry)
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	text := reason + "\n"
	h.Set("Content-Length", strconv.Itoa(len(text)))
	x.w.WriteHeader(status)
	_, _ = x.w.Write([]byte(text)) // a caller that left needs no answer
	return false
}

// giveUp answers a request that no instance answered: 503 only if it surely has
// not run.
func (x *exchange) giveUp(reason string) {
	switch {
	case !x.mayRun && x.gateway.View() == nil:
		x.refuse(http.StatusServiceUnavailable, "instances_not_known", dispatch.ComeBack(dispatch.Starting))
	case !x.mayRun:
		if free := x.free(); free.In > 0 {
			x.refuse(http.StatusServiceUnavailable, "upstream_backpressure", dispatch.ComeBackAfter(free.In))
			return
		}
		x.refuse(http.StatusServiceUnavailable, reason, dispatch.ComeBack(dispatch.Busy))
	case x.gateway.Clock.Now().Before(x.deadline):
		x.refuse(http.StatusBadGateway, reason, 0)
	default:
		x.refuse(http.StatusGatewayTimeout, reason, 0)
	}
}

// panicAbort ends the caller's connection, so that a partial answer can't look
// whole. The abort itself happens after the request is logged.
func panicAbort(x *exchange) { x.status = statusAborted }

// statusAborted marks an answer that is cut short on purpose.
const statusAborted = -1

// head sends the head of an instance's answer.
func (x *exchange) head(resp *http.Response, length int) {
	h := x.w.Header()
	for name, values := range x.gateway.Codec.AnswerHeader(resp.Header) {
		h[name] = values
	}
	if length >= 0 {
		h.Set("Content-Length", strconv.Itoa(length))
	}
	if x.gateway.Stopping() {
		h.Set("Connection", "close")
	}
	x.begun, x.status = true, resp.StatusCode
	x.w.WriteHeader(resp.StatusCode)
}
