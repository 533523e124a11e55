package gateway

import (
	"fmt"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against series without end when upstreams send ever new header names.
func TestUnreadHeaderNamesAreBounded(t *testing.T) {
	var u seenTexts
	label, first := u.note("X-Load")
	must.Eq(t, "X-Load", label)
	must.True(t, first)
	_, first = u.note("X-Load")
	must.False(t, first)
	for i := range 2 * maxSeenTexts {
		u.note(fmt.Sprint("X-", i))
	}
	must.MapLen(t, maxSeenTexts, u.texts)
	label, _ = (&seenTexts{}).note(strings.Repeat("ä", maxTextBytes))
	must.Eq(t, maxTextBytes, len(label), must.Sprint("bytes of a long text"))
	label, first = u.note("X-New")
	must.Eq(t, "other", label)
	must.False(t, first)
}
