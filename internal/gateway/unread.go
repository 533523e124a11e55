package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"sync"

	"go.uber.org/zap"
)

// Bounds of what is kept of upstreams' texts.
const (
	// maxSeenTexts is how many are told apart; more count as "other".
	maxSeenTexts = 32
	// maxTextBytes is up to where they are.
	maxTextBytes = 100
)

// seenTexts are texts that came from upstreams. The zero value holds none. Safe for concurrent
// use.
type seenTexts struct {
	mu    sync.Mutex
	texts map[string]bool
}

// note returns what to count a text under, and whether it came for the first time.
func (s *seenTexts) note(text string) (label string, first bool) {
	text = strings.ToValidUTF8(text[:min(len(text), maxTextBytes)], "")
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.texts[text] {
		return text, false
	}
	if len(s.texts) >= maxSeenTexts {
		return "other", false
	}
	if s.texts == nil {
		s.texts = map[string]bool{}
	}
	s.texts[text] = true
	return text, true
}

// countUnread counts the headers of an upstream's answer that nothing reads. The first of each
// name is logged with its value.
func (g *Gateway) countUnread(h http.Header) {
	for _, name := range g.Codec.Unread(h) {
		label, first := g.unread.note(name)
		if first {
			g.Log.Info("upstream's header not read", zap.String("name", label), zap.String("values", fmt.Sprintf("%.*q", maxTextBytes, h[name])))
		}
		g.Metrics.set.GetOrCreateCounter(fmt.Sprintf("pearlanding_upstream_headers_unread_total{name=%q}", label)).Inc()
	}
}
