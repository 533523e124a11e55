// Package backpressure tracks what upstream instances report about themselves in their answers and
// decides whether a request may be sent to an instance now.
//
// The request limit of an instance applies to all daemons together. Grants, at one daemon of each
// failure domain, grants permits for a share of the limit; Gate, at every daemon, sends to a limited
// instance only with a permit. Daemons exchange known limits as Updates. Time is passed in.
// docs/design/backpressure.md gives the reasons and the calculations.
package backpressure
