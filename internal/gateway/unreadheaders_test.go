package gateway

import (
	"fmt"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against an unlimited number of series when upstreams keep sending new header names.
func TestUnreadHeaderNamesAreBounded(t *testing.T) {
	var labels labelSet
	label, first := labels.add("X-Load")
	must.Eq(t, "X-Load", label)
	must.True(t, first)
	_, first = labels.add("X-Load")
	must.False(t, first)
	for i := range 2 * maxUpstreamLabels {
		labels.add(fmt.Sprint("X-", i))
	}
	must.MapLen(t, maxUpstreamLabels, labels.texts)
	label, _ = (&labelSet{}).add(strings.Repeat("ä", maxUpstreamLabelBytes))
	must.Eq(t, maxUpstreamLabelBytes, len(label), must.Sprint("length in bytes of a long text"))
	label, first = labels.add("X-New")
	must.Eq(t, "other", label)
	must.False(t, first)
}
