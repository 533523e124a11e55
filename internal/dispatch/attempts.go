package dispatch

// maxSends bounds the tries of one request, those included that never left.
const maxSends = 4

// Attempts counts to how many instances one request of a caller was sent. The route
// bounds those that may have run it. The zero value has made none.
type Attempts struct {
	sends   int // tries, those included that never left
	reached int // instances that may have run it
}

// Try counts a send that is about to be made.
func (a *Attempts) Try() { a.sends++ }

// Reached counts that an instance may have run the request.
func (a *Attempts) Reached() { a.reached++ }

// NotRun takes back the last instance reached, which has said that it did not run the
// request. It serves requests that an instance before may have run: they can't be refused as
// not run, and would be lost where two replicas end one after the other.
func (a *Attempts) NotRun() { a.reached-- }

// Repeated tells whether another send would be a repeat.
func (a *Attempts) Repeated() bool { return a.reached > 0 }

// Spent tells whether no other send may be made; limit is the route's.
func (a *Attempts) Spent(limit int) bool { return a.reached >= limit || a.sends >= maxSends }

// Last tells whether the send under way is the last one that the route allows.
func (a *Attempts) Last(limit int) bool { return a.reached+1 >= limit }
