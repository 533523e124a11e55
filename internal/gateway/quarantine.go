package gateway

import (
	"net/http"

	"pearlanding/internal/quarantine"
)

// content is what makes the request the same as another one.
func (x *exchange) content() quarantine.Content {
	return quarantine.Content{Workspace: x.workspace, Method: x.req.Method, Target: x.req.Target, Model: x.req.Model, Body: x.req.Body}
}

// reasonEnded: the request ended the instances that ran it.
const reasonEnded = "ended_instances"

// quarantined answers a request that ended the instances that ran it; true: it was one. The
// answer is final: no promise that it has not run, and no time to come back.
func (x *exchange) quarantined() bool {
	if !x.gateway.Watch.Refuses(x.digest) {
		return false
	}
	x.reason = reasonEnded
	x.refuse(http.StatusBadGateway, reasonEnded, 0)
	return true
}

// sendDone ends the last send.
func (x *exchange) sendDone() { x.sending.Done() }

// sendBroke notes that the last send's connection ended before a whole answer.
func (x *exchange) sendBroke() {
	x.broken++
	x.sending.Broke()
}
