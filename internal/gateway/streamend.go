package gateway

import "pearlanding/internal/upstream"

// What proves that a replica's answer is complete depends on what marks the end of its response:
//
//   - A length or chunks: the end is the replica's own word. A replica at which a stream is continued may have no
//     event to add; a whole stream has at least one. A connection that ends before the mark is an error of the read.
//   - Nothing but the end of the connection: a replica that crashes ends a connection in the same way. The
//     end is taken for that of the stream only if it lies between two events, and only if this send brought an
//     event that the caller did not have. A continuation that ends without one proves nothing, whether it ended
//     after its head or after events that the caller has.
//   - A reset, or the loss of the peer through which the answer comes, is never an end.
//
// An end that proves nothing is errEndNotProved: the stream goes on at another replica, or is cut.

// endProvesComplete reports whether the end of a send's response, between two events, proves that the caller has
// the whole stream once it has the events of this send. progress is what the caller has.
func (x *exchange) endProvesComplete(s *streamSend, progress *streamProgress) bool {
	continued := progress.eventCount > 0 || x.req.LastEventID != ""
	return s.hasNewEvent || continued && upstream.EndIsMarked(s.resp)
}
