package rpc

import (
	"context"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/creachadair/jrpc2/handler"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"pearlanding/internal/membudget"
)

// serveWithin serves a method that echoes and one that waits, and returns the address and the number of calls
// that wait.
func serveWithin(t *testing.T, limits Limits) (address string, waiting *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	served, waiting := make(chan error, 1), &atomic.Int64{}
	methods := handler.Map{
		"echo": handler.New(func(_ context.Context, s []string) (string, error) { return s[0], nil }),
		"wait": handler.New(func(ctx context.Context) (bool, error) { waiting.Add(1); <-ctx.Done(); return true, nil }),
	}
	go func() { served <- ServeWithin(ctx, l, methods, limits) }()
	t.Cleanup(func() {
		stop()
		must.NoError(t, <-served)
	})
	return l.Addr().String(), waiting
}

func dialPeer(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	must.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	must.NoError(t, c.SetDeadline(time.Now().Add(time.Minute)))
	return c
}

// echoes checks that a call on a new connection is answered.
func echoes(t *testing.T, address string) {
	t.Helper()
	p := NewPeers(time.Minute)
	defer p.Close()
	var out string
	must.NoError(t, p.Call(t.Context(), address, "echo", []string{"x"}, &out))
	must.Eq(t, "x", out)
}

// Guards against a daemon that is killed for its memory by a line without end.
func TestCallWithoutEndIsCut(t *testing.T) {
	for name, limits := range map[string]Limits{"by its length": {MaxConns: 10}, "by the budget": {MaxConns: 10, Memory: membudget.New(1 << 20)}} {
		t.Run(name, func(t *testing.T) {
			address, _ := serveWithin(t, limits)
			c := dialPeer(t, address)
			var err error
			sent := 0
			for block := strings.Repeat("x", 64<<10); err == nil && sent < 64<<20; sent += len(block) {
				_, err = io.WriteString(c, block)
			}
			must.Error(t, err, must.Sprint("64 MB were taken"))
			must.Zero(t, limits.Memory.Usage().Bodies)
			echoes(t, address)
		})
	}
}

// With all connections in use, those that have sent no call are replaced first.
func TestConnectionWithoutCallsIsReplaced(t *testing.T) {
	address, _ := serveWithin(t, Limits{MaxConns: 3})
	p := NewPeers(time.Minute)
	defer p.Close()
	var out string
	must.NoError(t, p.Call(t.Context(), address, "echo", []string{"x"}, &out))
	first := dialPeer(t, address)
	dialPeer(t, address)
	must.Wait(t, wait.InitialSuccess(wait.ErrorFunc(func() error {
		dialPeer(t, address)
		_ = first.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
		if _, err := first.Read(make([]byte, 1)); err == nil || strings.Contains(err.Error(), "timeout") {
			return io.ErrNoProgress
		}
		return nil
	}), wait.Timeout(time.Minute)))
	must.NoError(t, p.Call(t.Context(), address, "echo", []string{"x"}, &out), must.Sprint("a connection with calls stays"))
	echoes(t, address)
}

// Guards against memory for calls that wait behind others on one connection.
func TestCallsOfAConnectionAreLimited(t *testing.T) {
	address, waiting := serveWithin(t, Limits{MaxConns: 10})
	c := dialPeer(t, address)
	must.NoError(t, c.SetDeadline(time.Now().Add(2*time.Second)))
	call := `{"jsonrpc":"2.0","id":1,"method":"wait","x":"` + strings.Repeat("x", 100<<10) + `"}` + "\n"
	var err error
	sent := 0
	for ; err == nil && sent < 1000; sent++ {
		_, err = io.WriteString(c, strings.Replace(call, `"id":1`, `"id":`+strings.Repeat("1", 1+sent%18), 1))
	}
	must.Error(t, err, must.Sprint("100 MB of calls were taken"))
	must.LessEq(t, concurrentCalls, waiting.Load())
	echoes(t, address)
}
