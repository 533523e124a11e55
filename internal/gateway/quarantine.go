package gateway

import (
	"net/http"

	"go.uber.org/zap"

	"pearlanding/internal/quarantine"
)

// content returns what identifies equal requests for the quarantine.
func (x *exchange) content() quarantine.Content {
	return quarantine.Content{Workspace: x.workspace, Method: x.req.Method, Target: x.req.RequestTarget, Model: x.req.Model, Body: x.req.Body, Parts: x.req.PromptParts}
}

// reportPromptError counts a prompt whose parts can't be read, and logs the first of its kind.
func (x *exchange) reportPromptError() {
	g, err := x.gateway, x.req.PromptError
	if err == nil {
		return
	}
	g.Metrics.set.GetOrCreateCounter("pearlanding_prompts_invalid_total").Inc()
	if text, first := g.invalidPrompts.add(err.Error()); first {
		g.Log.Warn("parts of a prompt ignored", zap.String("decision", "known_by_whole_content_only"), zap.String("id", x.req.ID), zap.String("error", text))
	}
}

// reasonEndedInstances means that the request crashed the instances that ran it.
const reasonEndedInstances = "ended_instances"

// refuseQuarantined refuses a request whose content has crashed instances, and reports whether
// it did. The refusal is final: it doesn't say that the request has not run, and it carries no
// Retry-After.
func (x *exchange) refuseQuarantined() bool {
	trait, quarantined := x.gateway.Quarantine.Quarantined(x.quarantineRequest)
	if !quarantined {
		return false
	}
	x.quarantinedTrait = trait.Short()
	x.reason = reasonEndedInstances
	x.refuse(http.StatusBadGateway, reasonEndedInstances, 0)
	return true
}

// recordBrokenSend records that a send's connection ended before a complete response.
func (x *exchange) recordBrokenSend(s *send) {
	x.brokenSends++
	x.unanswered.Store(true)
	s.tracked.ConnectionLost()
}
