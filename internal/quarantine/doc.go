// Package quarantine detects requests that crash every instance that runs them, and keeps
// them from being sent again.
//
// Such a request is harmless where it is seen once: its send fails, and the retry looks like
// any other. So the crashes are recorded beyond a single exchange, by the digest of the
// request's content, and the records are shared by all daemons: a record lists the instance
// incarnations that crashed while the content was in progress there. After three such crashes
// the content is quarantined on all daemons until an operator releases it or one of its sends
// that is still in progress succeeds.
//
// Other requests that were in progress at a crash are suspects too. Four rules tell them
// apart: a success on any instance clears earlier crashes; a crash that a quarantined content
// explains does not count against others; simultaneous crashes count once; a request whose
// answer had brought events for 300 ms before the crash is no suspect.
//
// Evidence holds the records and decides; its callers pass in the time. Crashes are detected
// from this daemon's own sends (detect.go), and what must survive a restart of all daemons is
// saved to the store (persist.go).
package quarantine
