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
	reach := func() { a.Try(); a.Reached() }
	reach()
	must.True(t, a.Last(limit))
	reach()
	must.True(t, a.Spent(limit))
	a.NotRun()
	must.False(t, a.Spent(limit))
	must.True(t, a.Repeated())
	reach()
	must.True(t, a.Spent(limit))
	a.NotRun()
	reach()
	a.NotRun()
	must.True(t, a.Spent(limit), must.Sprint("four sends"))
}

func TestFailedSendsAreBounded(t *testing.T) {
	var a Attempts
	for range maxSends {
		must.False(t, a.Spent(2))
		a.Try()
	}
	must.True(t, a.Spent(2))
	must.False(t, a.Repeated())
}
