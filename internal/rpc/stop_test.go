package rpc

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/creachadair/jrpc2/handler"
	"github.com/shoenig/test/must"
)

// Guards against a panic at shutdown: a jrpc2 server that is stopped while it reads a request
// sends on a closed channel.
func TestServeEndsWhilePeersCall(t *testing.T) {
	methods := handler.Map{"echo": handler.New(func(_ context.Context, n []int) (int, error) { return len(n), nil })}
	for range 150 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error)
		go func() { ended <- Serve(ctx, listener, methods) }()
		var peers sync.WaitGroup
		for range 8 {
			p := NewPeers(time.Second)
			peers.Go(func() {
				defer p.Close()
				for {
					var n int
					if p.Call(ctx, listener.Addr().String(), "echo", []int{1, 2}, &n) != nil {
						return
					}
				}
			})
		}
		time.Sleep(2 * time.Millisecond)
		cancel()
		must.NoError(t, <-ended)
		peers.Wait()
	}
}

// Guards against a shutdown that waits for calls in progress: Serve must end although a method
// has not returned.
func TestServeEndsWhileACallIsInProgress(t *testing.T) {
	began := make(chan bool, 1)
	methods := handler.Map{"hold": handler.New(func(ctx context.Context) (bool, error) {
		began <- true
		<-ctx.Done()
		return true, nil
	})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error)
	go func() { ended <- Serve(ctx, listener, methods) }()
	p := NewPeers(10 * time.Second)
	defer p.Close()
	go func() { _ = p.Call(t.Context(), listener.Addr().String(), "hold", nil, nil) }() // ends with the server
	<-began
	cancel()
	select {
	case err := <-ended:
		must.NoError(t, err)
	case <-time.After(5 * time.Second):
		t.Fatal("Serve waits for the call in progress")
	}
}
