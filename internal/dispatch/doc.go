// Package dispatch decides about requests: whether one is admitted, where it goes, when
// a silent one is moved, whether it may be repeated, and when a refused caller should
// come back. It has no sockets and writes no logs; time and chance are passed in, and
// each decision tells the inputs that it rests on. Package gateway carries them out.
//
// docs/design/decisions.md lists each decision with the load pattern that it answers,
// the reason for its limits, and the test that replays that load.
package dispatch
