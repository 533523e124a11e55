package dispatch

import (
	"testing"

	"github.com/shoenig/test/must"
)

// Engines are replaced one after the other, and a stream's second replica stops before it has
// run the stream. A route of two attempts allows a third send, as only one instance has run it.
// No send follows once two instances have run it, or after four sends.
func TestSendThatDidNotRunIsNotAnAttempt(t *testing.T) {
	const limit = 2
	var a Attempts
	reach := func() { a.CountSend(); a.CountReached() }
	reach()
	must.True(t, a.IsLast(limit))
	reach()
	must.True(t, a.Exhausted(limit))
	a.UncountReached()
	must.False(t, a.Exhausted(limit))
	must.True(t, a.NextIsRetry())
	reach()
	must.True(t, a.Exhausted(limit))
	a.UncountReached()
	reach()
	a.UncountReached()
	must.True(t, a.Exhausted(limit), must.Sprint("four sends"))
}

func TestFailedSendsAreBounded(t *testing.T) {
	var a Attempts
	for range maxSends {
		must.False(t, a.Exhausted(2))
		a.CountSend()
	}
	must.True(t, a.Exhausted(2))
	must.False(t, a.NextIsRetry())
}
