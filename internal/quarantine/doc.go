// Package quarantine detects requests that crash every instance that runs them, and keeps
// them from being sent again.
//
// Such a request is harmless where it is seen once: its send fails, and the retry looks like
// any other. So the crashes are recorded beyond a single exchange, by the traits of the requests
// that were in progress: the digest of the whole content, and the parts that the prompt shares with
// other requests, as one such part may crash instances whatever else a request holds. The records are
// shared by all daemons: a record lists the instance incarnations that crashed while requests with the
// trait were in progress there. After three such crashes the trait is quarantined on all daemons until an
// operator releases it or a request with it runs well.
//
// Other requests that were in progress at a crash are suspects too, and a culprit's requests have
// harmless traits in common. These rules tell them apart:
//
//   - A success on any instance clears earlier crashes of the request's traits.
//   - A crash that a quarantined trait explains does not count against others. A trait all of whose
//     crashes others explain is released.
//   - Simultaneous crashes count once.
//   - A request whose answer had brought events for 300 ms before the crash is no suspect.
//   - Traits that always came together and of which none ran well alone are quarantined together: only
//     requests with all of them are refused, so that others go on and clear the harmless ones.
//   - A part that ran well before its first crash needs more crashes, and so does one that two narrower
//     suspects account for.
//
// Evidence holds the records and decides; its callers pass in the time. Crashes are detected
// from this daemon's own sends (detect.go), and what must survive a restart of all daemons is
// saved to the store (persist.go).
package quarantine
