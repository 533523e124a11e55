package dispatch

// maxSends bounds the sends of one request, including those that failed before leaving.
const maxSends = 4

// Attempts counts the sends of one request. The route limits how many instances may have run
// it. The zero value is ready to use.
type Attempts struct {
	sends   int // including those that failed before leaving
	reached int // instances that may have run the request
}

// Try counts a send that is about to be made.
func (a *Attempts) Try() { a.sends++ }

// Reached counts an instance that may have run the request.
func (a *Attempts) Reached() { a.reached++ }

// NotRun undoes the last Reached, after the instance reported that it did not run the request.
// It matters once an earlier instance may have run it: such a request can't be refused as not
// run, and would fail when two replicas stop one after the other.
func (a *Attempts) NotRun() { a.reached-- }

// Repeated reports whether another send would be a repeat.
func (a *Attempts) Repeated() bool { return a.reached > 0 }

// Spent reports whether no further send may be made; limit is that of the route.
func (a *Attempts) Spent(limit int) bool { return a.reached >= limit || a.sends >= maxSends }

// Last reports whether the current send is the last one that the route allows.
func (a *Attempts) Last(limit int) bool { return a.reached+1 >= limit }
