package upstream

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against replicas preferred for connections that are in use, or too old to be used.
func TestHasIdleTellsWhichConnectionsCanBeUsed(t *testing.T) {
	url, _ := startServer(t, func(_ int64, c net.Conn) { _, _ = io.WriteString(c, ownResponse) })
	p, a := newTestPool(), address(url)
	must.False(t, p.HasIdle(a))
	_, err := readResponse(t, p, newGetCall(a))
	must.NoError(t, err)
	must.True(t, p.HasIdle(a))
	c := p.popIdle(a)
	must.False(t, p.HasIdle(a))
	p.keepIdle(c, time.Nanosecond)
	must.False(t, p.HasIdle(a))
}
