package dispatch

// maxSends bounds the sends of one request, including those that failed before anything was sent.
const maxSends = 4

// Attempts counts the sends of one request, and the instances that may have run it. The route
// limits the latter. The zero value is ready to use.
type Attempts struct {
	sends   int // including those that failed before anything was sent
	reached int // instances that may have run the request
}

// CountSend counts a send that is about to be made.
func (a *Attempts) CountSend() { a.sends++ }

// UncountSend undoes the count of the last send, which was canceled before anything was sent because
// the request does not need it any more.
func (a *Attempts) UncountSend() { a.sends-- }

// CountReached counts an instance that may have run the request.
func (a *Attempts) CountReached() { a.reached++ }

// UncountReached undoes the count of the last instance, after it reported that it did not run the
// request. This matters once an earlier instance may have run the request: such a request can't
// be refused as not run, and would fail when two replicas stop one after the other.
func (a *Attempts) UncountReached() { a.reached-- }

// NextIsRetry reports whether another send would be a retry.
func (a *Attempts) NextIsRetry() bool { return a.reached > 0 }

// Exhausted reports whether no further send may be made; limit is the number of instances that the
// route allows.
func (a *Attempts) Exhausted(limit int) bool { return a.reached >= limit || a.sends >= maxSends }

// IsLast reports whether the current send is the last that the route allows; limit is the number of
// instances that the route allows.
func (a *Attempts) IsLast(limit int) bool { return a.reached+1 >= limit }
