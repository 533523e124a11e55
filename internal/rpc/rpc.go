// Package rpc implements JSON-RPC calls between daemons over TCP: a server on one listener,
// and a client with one connection to each peer.
package rpc

import (
	"context"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/creachadair/jrpc2"
	"github.com/creachadair/jrpc2/channel"
	"github.com/creachadair/jrpc2/handler"
	"github.com/creachadair/jrpc2/server"
	"github.com/juju/errors"

	"pearlanding/internal/link"
	"pearlanding/internal/steady"
)

// ErrRefused: the peer's address refused the connection, so no process listens there. After
// any other error of Call, the call may have been executed.
const ErrRefused = errors.ConstError("rpc: connection refused")

// errListenerClosed: the listener was closed before ctx ended.
const errListenerClosed = errors.ConstError("rpc: the peers' listener closed")

// concurrentCalls limits the calls of one connection that are executed at a time.
const concurrentCalls = 8

// minSilence is how long a call must have waited without an answer to close its connection. Other
// calls share the connection, among them one that the peer holds until there is something to tell.
const minSilence = 100 * time.Millisecond

// Serve serves methods to peers on the listener until ctx ends, then closes all connections
// and returns nil. If it ends earlier it always returns an error, so that a daemon that no
// peer can reach does not keep running. A connection that begins with an upgrade is handed to it.
func Serve(ctx context.Context, listener net.Listener, methods handler.Map, upgrades ...Upgrade) error {
	return ServeWithin(ctx, listener, methods, DefaultLimits, upgrades...)
}

// ServeWithin is Serve with limits on the connections.
func ServeWithin(ctx context.Context, listener net.Listener, methods handler.Map, limits Limits, upgrades ...Upgrade) error {
	peers := newClosingListener(listener, limits)
	defer context.AfterFunc(ctx, peers.closeAll)()
	framing := func(r io.Reader, w io.WriteCloser) channel.Channel { return newQueueLimit(channel.Line(r, w)) }
	accept := server.NetAccepter(newUpgradeListener(ctx, peers, upgrades), framing)
	// closeAll stops the loop, not ctx: a jrpc2 server that is stopped while it reads a request
	// panics.
	err := server.Loop(context.WithoutCancel(ctx), accept, server.Static(methods), &server.LoopOptions{
		ServerOptions: &jrpc2.ServerOptions{Concurrency: concurrentCalls},
	})
	if ctx.Err() != nil {
		return nil
	}
	if err == nil { // the library returns nil if the listener was closed
		err = errListenerClosed
	}
	return errors.Trace(err)
}

// Peers keeps one connection to each peer address. Safe for concurrent use.
type Peers struct {
	// Dial connects to a peer. It may be replaced before the first call.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// RunClock counts the time of calls: a process that is not scheduled reads no answers; nil: all
	// time counts. It may be set before the first call.
	RunClock *steady.RunClock
	timeout  time.Duration
	mu       sync.Mutex
	conns    map[string]*peerConn // by address
}

// peerConn is one connection to a peer. Its fields are guarded by Peers.mu.
type peerConn struct {
	client  *jrpc2.Client
	calls   int  // in progress
	retired bool // no new calls are made; the connection is closed after those in progress
}

// NewPeers returns a client without connections. Each call takes at most timeout.
func NewPeers(timeout time.Duration) *Peers {
	return &Peers{Dial: link.Dialer(0).DialContext, timeout: timeout, conns: map[string]*peerConn{}}
}

// Call makes one call to the peer at address, connecting first if necessary. It returns
// ErrRefused if the connection was refused. After a call that waited in vain for its whole time, or
// for minSilence or longer, the next call opens another connection; a shorter or canceled one leaves
// that to the others. Other calls in progress go on. A late answer is never taken for another call's.
func (p *Peers) Call(caller context.Context, address, method string, params, result any) error {
	ctx, cancel := p.RunClock.WithTimeout(caller, p.timeout)
	defer cancel()
	conn, err := p.acquire(ctx, address)
	if err != nil {
		return err
	}
	sentAt := p.now()
	err = conn.client.CallResult(ctx, method, params, result)
	p.release(address, conn, err != nil && showsDeadConnection(caller, ctx, err, p.now().Sub(sentAt)))
	if err != nil {
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return errors.Annotatef(err, "peer %s %s", address, method)
	}
	return nil
}

// showsDeadConnection reports whether a call that failed with err shows that its connection is
// broken or silent. ctx is the caller's context with the time of a call.
func showsDeadConnection(caller, ctx context.Context, err error, waited time.Duration) bool {
	switch {
	case ctx.Err() == nil:
		var rpcErr *jrpc2.Error
		return !errors.As(err, &rpcErr)
	case caller.Err() == nil:
		return true // no time of a call is longer
	}
	return errors.Is(context.Cause(caller), context.DeadlineExceeded) && waited >= minSilence
}

// now returns the time by which calls are measured.
func (p *Peers) now() time.Time {
	if p.RunClock == nil {
		return time.Now()
	}
	return p.RunClock.Now()
}

// acquire returns the connection to a peer, for one call that ends with release.
func (p *Peers) acquire(ctx context.Context, address string) (*peerConn, error) {
	if conn := p.acquireOpen(address, nil); conn != nil {
		return conn, nil
	}
	netConn, err := p.Dial(ctx, "tcp", address)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return nil, errors.WithType(err, ErrRefused)
	}
	if err != nil {
		return nil, errors.Trace(err)
	}
	return p.acquireOpen(address, jrpc2.NewClient(channel.Line(netConn, netConn), nil)), nil
}

// acquireOpen returns the open connection to a peer, or else a connection of the new client; nil if
// there is neither. It closes a new client that is not needed.
func (p *Peers) acquireOpen(address string, newClient *jrpc2.Client) *peerConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conn := p.conns[address]
	switch {
	case conn != nil && newClient != nil:
		go newClient.Close()
	case conn == nil && newClient == nil:
		return nil
	case conn == nil:
		conn = &peerConn{client: newClient}
		p.conns[address] = conn
	}
	conn.calls++
	return conn
}

// release ends a call. dead means that the connection is broken or silent; no new call uses it then.
func (p *Peers) release(address string, conn *peerConn, dead bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	conn.calls--
	conn.retired = conn.retired || dead || conn.client.IsStopped()
	if conn.retired && p.conns[address] == conn {
		delete(p.conns, address)
	}
	if conn.retired && conn.calls == 0 {
		go conn.client.Close()
	}
}

// Close closes all connections that new calls would use.
func (p *Peers) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.conns {
		go conn.client.Close()
	}
	p.conns = map[string]*peerConn{}
}
