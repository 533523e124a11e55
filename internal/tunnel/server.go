package tunnel

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"

	"pearlanding/internal/steady"
)

// connectTimeout bounds a peer's connect to an instance, which takes a few milliseconds within a region.
const connectTimeout = 80 * time.Millisecond

// copyBufferBytes is the size of the buffer for the bytes of requests.
const copyBufferBytes = 4 << 10

// Server connects other daemons to instances. All exported fields must be set before use.
type Server struct {
	// AddressOf returns the address of an incarnation in this daemon's view.
	AddressOf func(in Instance) (address string, known bool)
	// Direct is this daemon's own path to instances.
	Direct *Direct
	// ReachesOther reports whether an instance at another address accepts connections from this daemon.
	ReachesOther func(ctx context.Context, address string) bool
	// MaxOpen bounds the number of tunnels.
	MaxOpen int
	// RunClock bounds connects: a process that is not scheduled can't see a connection established.
	RunClock *steady.RunClock

	mu      sync.Mutex
	open    map[*serverTunnel]struct{}
	waiting int           // tunnels whose connection to the instance is not established yet
	drained chan struct{} // closed when no tunnel is left while draining; nil: not draining
}

// serverTunnel is a tunnel at the peer.
type serverTunnel struct{ frames *frameWriter }

// Open returns the number of tunnels.
func (s *Server) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// Serve opens a tunnel for a caller that sent params on conn, and copies until either side ends. It
// closes conn. r reads what follows the request on conn.
func (s *Server) Serve(ctx context.Context, conn net.Conn, r io.Reader, params json.RawMessage) {
	defer conn.Close()
	instance, err := s.connect(ctx, params)
	if err != nil {
		s.refuse(conn, err)
		return
	}
	defer instance.Close()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	t := &serverTunnel{newFrameWriter(conn)}
	defer s.remove(t)
	if s.accept(t) != nil {
		return
	}
	go func() {
		defer instance.Close() // the caller left: the instance's work is canceled
		// Without the wrappers the copy would use splice, which needs two more descriptors.
		_, _ = io.CopyBuffer(struct{ io.Writer }{instance}, struct{ io.Reader }{r}, make([]byte, copyBufferBytes))
	}()
	_ = t.frames.copyFrom(instance) // the caller's side has ended
}

// connect connects to the instance that params name.
func (s *Server) connect(ctx context.Context, params json.RawMessage) (net.Conn, error) {
	var in Instance
	if json.Unmarshal(params, &in) != nil {
		return nil, errUnknownInstance
	}
	address, known := s.AddressOf(in)
	if !known {
		return nil, errUnknownInstance
	}
	if s.Direct.Lost() {
		return nil, errPeerCutOff
	}
	if !s.reserve() {
		return nil, errPeerBusy
	}
	defer s.release()
	ctx, cancel := s.RunClock.WithTimeout(ctx, connectTimeout)
	defer cancel()
	conn, err := s.Direct.DialContext(ctx, "tcp", address)
	switch {
	case err == nil:
		return conn, nil
	case errors.Is(err, syscall.ECONNREFUSED) && s.ReachesOther(ctx, address):
		return nil, errRefused
	case !errors.Is(err, syscall.ECONNREFUSED) && s.Direct.ReachedWithin(reachedRecently):
		return nil, errNoAnswer
	}
	return nil, errPeerCutOff
}

// refuse answers a request with an error.
func (s *Server) refuse(conn net.Conn, err error) {
	code := 0
	for known, c := range errorCodes {
		if errors.Is(err, known) {
			code = c
		}
	}
	if line, encodeErr := encodeLine(openReply{Version: "2.0", ID: 1, Error: &openError{code, err.Error()}}); encodeErr == nil {
		_, _ = conn.Write(line) // the connection is closed in any case
	}
}

// reserve counts a tunnel that is about to be opened. It returns false if there may be no more.
func (s *Server) reserve() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.drained != nil || len(s.open)+s.waiting >= s.MaxOpen {
		return false
	}
	s.waiting++
	return true
}

func (s *Server) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting--
}

// accept registers a tunnel and tells the caller that it is open.
func (s *Server) accept(t *serverTunnel) error {
	t.frames.turn <- struct{}{} // no mark is written before the reply
	s.mu.Lock()
	if s.open == nil {
		s.open = map[*serverTunnel]struct{}{}
	}
	s.open[t] = struct{}{}
	open, draining := len(s.open), s.drained != nil
	s.mu.Unlock()
	if draining {
		t.frames.retire.Store(true)
	}
	line, err := encodeLine(openReply{Version: "2.0", ID: 1, Result: &openResult{open, s.MaxOpen}})
	if err == nil {
		_, err = t.frames.w.Write(line)
	}
	<-t.frames.turn
	t.frames.writeRetire()
	return errors.Trace(err)
}

func (s *Server) remove(t *serverTunnel) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, t)
	s.signalDrained()
}

// signalDrained closes drained if no tunnel is left; s.mu is held.
func (s *Server) signalDrained() {
	if s.drained == nil || len(s.open) > 0 {
		return
	}
	select {
	case <-s.drained:
	default:
		close(s.drained)
	}
}

// Close makes the server open no more tunnels and retire the open ones.
func (s *Server) Close() {
	s.mu.Lock()
	if s.drained == nil {
		s.drained = make(chan struct{})
	}
	s.signalDrained()
	s.mu.Unlock()
	s.Retire()
}

// Drain waits after Close until the tunnels have ended or ctx ends.
func (s *Server) Drain(ctx context.Context) {
	s.mu.Lock()
	drained := s.drained
	s.mu.Unlock()
	select {
	case <-drained:
	case <-ctx.Done():
	}
}

// Retire tells callers to send no further request through the open tunnels.
func (s *Server) Retire() {
	s.mu.Lock()
	open := make([]*serverTunnel, 0, len(s.open))
	for t := range s.open {
		open = append(open, t)
	}
	s.mu.Unlock()
	for _, t := range open {
		go t.frames.Retire() // a write to a caller that does not read blocks
	}
}
