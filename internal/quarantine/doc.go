// Package quarantine finds the requests that end whichever instance runs them, and keeps
// them from being sent on.
//
// Such a request harms nobody where it is seen once: its send breaks off, and the next one
// looks like any repeat. So what becomes of a content is kept beyond its exchange, by digest,
// and shared by all daemons: under which lives of instances it was in progress as they ended.
// After three such ends it is refused, everywhere, until an operator releases it.
//
// Whatever else was in progress there shares the mark. It is told apart by what follows: a
// good end anywhere clears what came before; an end that a refused request explains is no
// mark against others; ends at one moment count once; a request that brought events for a
// while before the end did not cause it.
//
// Evidence holds all that and decides; time is passed in. Watch gathers what this daemon
// sees, Keeper keeps what must outlast all processes in the store.
package quarantine
