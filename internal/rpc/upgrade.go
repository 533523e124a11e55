package rpc

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"sync"
)

// Upgrade takes a connection over whose first request calls Method. That request must be a line of
// less than maxUpgradeBytes.
type Upgrade struct {
	Method string
	// Handle owns the connection. r reads what follows the request. ctx ends with the server.
	Handle func(ctx context.Context, conn net.Conn, r io.Reader, params json.RawMessage)
}

// maxUpgradeBytes bounds the first line of a connection that may be an upgrade. Longer first requests
// are calls.
const maxUpgradeBytes = 512

// upgradeListener hands connections whose first request is an upgrade to its handler. Accept returns
// the others.
type upgradeListener struct {
	net.Listener
	ctx      context.Context
	upgrades []Upgrade
	start    sync.Once
	calls    chan net.Conn
	ended    chan struct{} // closed after the listener's error is set
	err      error
}

func newUpgradeListener(ctx context.Context, l net.Listener, upgrades []Upgrade) *upgradeListener {
	return &upgradeListener{Listener: l, ctx: ctx, upgrades: upgrades, calls: make(chan net.Conn), ended: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *upgradeListener) Accept() (net.Conn, error) {
	l.start.Do(func() { go l.acceptAll() })
	select {
	case conn := <-l.calls:
		return conn, nil
	case <-l.ended:
		return nil, l.err
	}
}

// acceptAll accepts connections until the listener fails.
func (l *upgradeListener) acceptAll() {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			l.err = err
			close(l.ended)
			return
		}
		go l.sort(conn)
	}
}

// sort reads the first request of a connection to find out what the connection is for.
func (l *upgradeListener) sort(conn net.Conn) {
	reader := bufio.NewReaderSize(conn, maxUpgradeBytes)
	first := peekLine(reader)
	var request struct {
		Method string          `json:"method"`
		Params json.RawMessage `json:"params"`
	}
	if json.Unmarshal(first, &request) == nil {
		for _, u := range l.upgrades {
			if u.Method == request.Method {
				_, _ = reader.Discard(len(first)) // was peeked
				if accepted, ok := conn.(*acceptedConn); ok {
					accepted.passOn()
				}
				u.Handle(l.ctx, conn, reader, request.Params)
				return
			}
		}
	}
	select {
	case l.calls <- &bufferedConn{conn, reader}:
	case <-l.ended:
		_ = conn.Close() // nobody will answer
	}
}

// peekLine returns the first line, or what was read of it when the buffer was full or the connection
// ended. The reader returns it again.
func peekLine(r *bufio.Reader) []byte {
	for {
		line, _ := r.Peek(r.Buffered()) // what is buffered can be read
		if end := bytes.IndexByte(line, '\n'); end >= 0 {
			return line[:end+1]
		}
		if len(line) == maxUpgradeBytes {
			return line
		}
		if _, err := r.Peek(len(line) + 1); err != nil {
			return line
		}
	}
}

// bufferedConn is a connection the beginning of which has been read into a buffer.
type bufferedConn struct {
	net.Conn
	reader *bufio.Reader
}

func (c *bufferedConn) Read(p []byte) (int, error) { return c.reader.Read(p) }
