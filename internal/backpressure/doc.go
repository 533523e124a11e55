// Package backpressure keeps what upstream instances say of themselves in their answers, and
// decides by it whether a request may be sent to one now.
//
// A limit that an instance names holds for all daemons together. Grants, at one daemon of each
// failure domain, hands permits out at a part of the limit; Gate, at every daemon, sends to a
// limited instance only with a permit. What is known is exchanged as Updates. Time is passed in;
// docs/design/backpressure.md gives the reasons and the sums.
package backpressure
