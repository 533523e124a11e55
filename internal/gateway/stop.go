package gateway

import (
	"context"
	"sync/atomic"
	"time"
)

// Stop is a planned stop of the process, as its requests see it. A request whose last byte comes after
// EndReceiving is late: it is passed on only if its own deadline passes before the process ends, as it may be cut
// otherwise after an instance has begun to run it.
type Stop struct {
	receiving context.Context // ends with EndReceiving
	cancel    context.CancelFunc
	endsAt    atomic.Pointer[time.Time]
}

// NewStop returns a stop that has not begun.
func NewStop() *Stop {
	s := &Stop{}
	s.receiving, s.cancel = context.WithCancel(context.Background())
	return s
}

// EndReceiving makes requests late that were not received to their last byte. endsAt is when requests in progress
// are cut.
func (s *Stop) EndReceiving(endsAt time.Time) {
	s.endsAt.CompareAndSwap(nil, &endsAt)
	s.cancel()
}

// tooLate reports whether a request with a deadline that is being received, or was received just now, must not be
// passed on.
func (s *Stop) tooLate(deadline time.Time) bool {
	if s == nil || s.receiving.Err() == nil {
		return false
	}
	return deadline.After(*s.endsAt.Load())
}

// whenTooLate calls f once tooLate holds for a deadline, unless whole is called before: the request was received.
func (s *Stop) whenTooLate(deadline time.Time, f func()) (whole func()) {
	if s == nil {
		return func() {}
	}
	stop := context.AfterFunc(s.receiving, func() {
		if s.tooLate(deadline) {
			f()
		}
	})
	return func() { stop() }
}
