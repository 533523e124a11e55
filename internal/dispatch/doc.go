// Package dispatch makes the decisions about a request: whether it is admitted, which target
// serves it, when a stalled stream is moved, whether it may be retried, and after what time a
// refused caller should retry. It opens no sockets and writes no logs. Time and randomness are
// passed in, and each decision returns the inputs that it was based on. Package gateway carries
// the decisions out.
//
// An event is one event of a streamed answer. A pass is the fixed number of steps that an engine
// runs between two events. A stream is moved by sending its request to another replica, which
// continues the answer. A retry is any send after an instance may have run the request.
//
// docs/design/decisions.md lists each decision with the load pattern that it addresses, the
// reason for its limits and the test that replays that load.
package dispatch
