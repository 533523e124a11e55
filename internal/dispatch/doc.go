// Package dispatch makes the decisions about a request: whether it is admitted, which target
// serves it, when a stalled stream is moved, whether it may be repeated, and after what time a
// refused caller should retry. It opens no sockets and writes no logs. Time and randomness are
// passed in, and each decision returns the inputs that it was based on. Package gateway carries
// the decisions out.
//
// docs/design/decisions.md lists each decision with the load pattern that it addresses, the
// reason for its limits and the test that replays that load.
package dispatch
