package rpc

import (
	"bufio"
	"context"
	"io"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/creachadair/jrpc2/handler"
	"github.com/juju/errors"
	"github.com/shoenig/test/must"

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
	for name, c := range map[string]struct {
		memory *membudget.Budget
		most   int // bytes that may be taken
	}{
		"by its length": {nil, 64 << 20},
		"by the budget": {membudget.New(256 << 10), maxCallBytes / 2},
	} {
		t.Run(name, func(t *testing.T) {
			address, _ := serveWithin(t, Limits{MaxConns: 10, Memory: c.memory})
			most, memory := c.most, c.memory
			c := dialPeer(t, address)
			var err error
			sent := 0
			for block := strings.Repeat("x", 64<<10); err == nil && sent < most; sent += len(block) {
				_, err = io.WriteString(c, block)
			}
			if err == nil { // the rest is on its way
				_, err = c.Read(make([]byte, 1))
			}
			must.Error(t, err)
			must.False(t, errors.Is(err, os.ErrDeadlineExceeded), must.Sprint("all was taken"))
			must.Zero(t, memory.Usage().Bodies)
			echoes(t, address)
		})
	}
}

// With all connections in use, those that have sent no call are replaced first.
func TestConnectionWithoutCallsIsReplaced(t *testing.T) {
	address, _ := serveWithin(t, Limits{MaxConns: 3})
	caller := dialPeer(t, address)
	answers := bufio.NewReader(caller)
	echo := func() {
		_, err := io.WriteString(caller, `{"jsonrpc":"2.0","id":1,"method":"echo","params":["x"]}`+"\n")
		must.NoError(t, err)
		_, err = answers.ReadString('\n')
		must.NoError(t, err)
	}
	echo()
	for range 20 {
		dialPeer(t, address)
	}
	echoes(t, address)
	echo()
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
