package gateway

import (
	"fmt"
	"net/http"
	"sync"

	"go.uber.org/zap"
)

// maxUnreadHeaders bounds how many names get series of their own; more count as "other".
const maxUnreadHeaders = 32

// unreadHeaders are the names of headers that upstreams sent and nothing reads. The zero value
// holds none. Safe for concurrent use.
type unreadHeaders struct {
	mu    sync.Mutex
	names map[string]bool
}

// note returns the name to count a header under, and whether it came for the first time.
func (u *unreadHeaders) note(name string) (label string, first bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.names[name] {
		return name, false
	}
	if len(u.names) >= maxUnreadHeaders {
		return "other", false
	}
	if u.names == nil {
		u.names = map[string]bool{}
	}
	u.names[name] = true
	return name, true
}

// countUnread counts the headers of an upstream's answer that nothing reads. The first of each
// name is logged with its value.
func (g *Gateway) countUnread(h http.Header) {
	for _, name := range g.Codec.Unread(h) {
		label, first := g.unread.note(name)
		if first {
			g.Log.Info("upstream's header not read", zap.String("name", name), zap.Strings("values", h[name]))
		}
		g.Metrics.set.GetOrCreateCounter(fmt.Sprintf("pearlanding_upstream_headers_unread_total{name=%q}", label)).Inc()
	}
}
