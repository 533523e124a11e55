package dispatch

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestSendsThatNeverLeftAreBounded(t *testing.T) {
	var a Attempts
	for range maxSends {
		must.False(t, a.Spent(2))
		a.Try()
	}
	must.True(t, a.Spent(2))
	must.False(t, a.Repeated())
}
