package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"sync"

	"go.uber.org/zap"
)

// Limits on texts from upstreams' responses that are kept as labels.
const (
	// maxUpstreamLabels is the number of distinct texts; further ones count as "other".
	maxUpstreamLabels = 32
	// maxUpstreamLabelBytes is the length to which a text is truncated.
	maxUpstreamLabelBytes = 100
)

// labelSet holds a limited number of distinct texts received from upstreams, so that each can
// be logged once and used as a metric label. The zero value is empty. Safe for concurrent use.
type labelSet struct {
	mu    sync.Mutex
	texts map[string]bool
}

// add returns the label under which a text is counted, and whether the label is new.
func (s *labelSet) add(text string) (label string, first bool) {
	text = strings.ToValidUTF8(text[:min(len(text), maxUpstreamLabelBytes)], "")
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.texts[text] {
		return text, false
	}
	if len(s.texts) >= maxUpstreamLabels {
		return "other", false
	}
	if s.texts == nil {
		s.texts = map[string]bool{}
	}
	s.texts[text] = true
	return text, true
}

// countUnread counts the headers of an upstream's response that the gateway doesn't use, by
// name. The first of each name is logged with its values.
func (g *Gateway) countUnread(h http.Header) {
	for _, name := range g.Codec.UnknownHeaders(h) {
		label, first := g.unreadHeaders.add(name)
		if first {
			g.Log.Info("unknown response header from upstream", zap.String("name", label), zap.String("values", fmt.Sprintf("%.*q", maxUpstreamLabelBytes, h[name])))
		}
		g.Metrics.set.GetOrCreateCounter(fmt.Sprintf("pearlanding_upstream_headers_unread_total{name=%q}", label)).Inc()
	}
}
