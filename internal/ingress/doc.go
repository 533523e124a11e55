// Package ingress accepts HTTP connections and bounds what clients that ignore the limits can take: memory
// for heads that are not parsed yet, connections, and time.
//
// A Guard is one address with its connections. It hands the head of a request to the HTTP server only once
// it is complete, within the limits, and paid for in the daemon's memory budget; before that a head takes
// its bytes and no more. When all connections are in use, a new one replaces that with the least claim: one
// that stands still in the middle of a request, then the one that has been idle longest. A connection whose
// whole request was received is never closed.
//
// The connection of an HTTP/1.0 caller is reset if its answer is cut, as nothing else may mark the end of the answer.
package ingress
