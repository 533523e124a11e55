package ingress

import (
	"context"
	"io"
	"net"
	"net/http"

	"pearlanding/internal/link"
)

// maxHeadBytes is the HTTP server's own limit on a head, above those that a guard enforces.
const maxHeadBytes = 16 << 20

// connKey is the key of a request's connection in its context.
type connKey struct{}

// Protect prepares an HTTP server for connections of the guard's Listener. The guard's limits replace the
// server's own on heads and idle connections.
func (g *Guard) Protect(server *http.Server) {
	server.MaxHeaderBytes, server.ReadHeaderTimeout, server.IdleTimeout = maxHeadBytes, 0, 0
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
	server.ConnState = func(c net.Conn, s http.ConnState) {
		if guarded, ok := c.(*conn); ok && s == http.StateIdle {
			guarded.idle()
		}
	}
	handler := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if !ok {
			handler.ServeHTTP(w, r)
			return
		}
		c.beginRequest(r)
		defer c.endRequest()
		handler.ServeHTTP(w, c.watchBody(r))
		c.noteAnswered()
	})
}

// watchBody returns a request whose body tells the connection when it was received.
func (c *conn) watchBody(r *http.Request) *http.Request {
	if r.ContentLength >= 0 {
		return r // readBody counts
	}
	watched := *r
	watched.Body = &watchedBody{r.Body, c}
	return &watched
}

// watchedBody is a body in chunks.
type watchedBody struct {
	io.ReadCloser
	conn *conn
}

// Read implements io.Reader.
func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.conn.bodyReceived()
	}
	return n, err
}

// ReceiveWindow is how many bytes the kernel may hold of what a client sent and the process has not read.
const ReceiveWindow = 32 << 10

// Listen opens an address for clients. The kernel holds little of what they send.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{Control: link.SetReceiveBuffer(ReceiveWindow / 2)}
	return config.Listen(ctx, "tcp", address)
}
