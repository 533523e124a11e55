package gateway

import (
	"io"
	"time"

	"pearlanding/internal/steady"
	"pearlanding/internal/upstream"
)

// What proves that a replica's answer is complete depends on what marks the end of its response:
//
//   - A length or chunks: the end is the replica's own word. A replica at which a stream is continued may have no
//     event to add; a whole stream has at least one, and comments are none. A connection that ends before the mark is
//     an error of the read.
//   - Nothing but the end of the connection: a replica that crashes ends a connection in the same way. The
//     end is taken for that of the stream only if it lies between two events, and only if this send brought an
//     event that the caller did not have. A continuation that ends without one proves nothing, whether it ended
//     after its head or after events that the caller has.
//   - A reset, or the loss of the peer through which the answer comes, is never an end.
//   - A replica that repeats events and ends before the last one that the caller has proves nothing either.
//   - A part of an event shows that there is a further one. A replica that has none after it proves nothing.
//
// An end that proves nothing is errEndNotProved: the stream goes on at another replica, or is cut.
//
// A replica stops its work at the deadline that it is handed, which is never before that of the request, and may end its
// response in any of these ways then. An end that is received at the deadline or later, by a clock that counts
// suspensions, is errEndAtDeadline: it proves nothing, and nothing against the replica. A length is received with the
// head. What was received in time is complete also if it is passed on late. An end without an event is received in time
// only if the replica still had time for one: a replica may stop at once if it has too little.

// endOf returns io.EOF if the end of a send's response, between two events, proves that the caller has the whole stream
// once it has the events of this send, and otherwise errEndNotProved or errEndAtDeadline. progress is what the caller
// has.
func (x *exchange) endOf(s *streamSend, progress *streamProgress) error {
	continued := progress.hasEvent || x.req.LastEventID != ""
	timeLeft := x.deadline.Sub(s.endKnownAt())
	switch {
	case timeLeft <= 0:
		return errEndAtDeadline
	case s.hasNewEvent:
		return io.EOF
	case !continued || x.begunEvent.Load() || !upstream.EndIsMarked(s.resp):
		return errEndNotProved
	case s.repeatedTo != 0 && s.repeatedTo < progress.lastEventID:
		return errEndNotProved
	case timeLeft < s.timeouts.First:
		return errEndAtDeadline
	}
	return io.EOF
}

// endKnownAt returns when the mark that ends a send's response was received, at the latest.
func (s *streamSend) endKnownAt() time.Time {
	if s.resp.ContentLength >= 0 {
		return s.headAt
	}
	return s.body.endedAt
}

// timedBody records when the end of a response's body was received.
type timedBody struct {
	io.Reader
	clock   *steady.Clock
	endedAt time.Time // zero before the end
}

// Read implements io.Reader.
func (b *timedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err != nil && b.endedAt.IsZero() {
		b.endedAt = b.clock.Now()
	}
	return n, err
}
