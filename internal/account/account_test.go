package account

import (
	"bytes"
	"os"
	"testing"

	"github.com/shoenig/test/must"

	"pearlanding/internal/decisionlog"
)

// The saved lines of two daemons hold a line in time that represents 16 requests, a line for each
// of six causes, and one of a request that matched no route or key.
func TestReportOnSavedLines(t *testing.T) {
	f, err := os.Open("testdata/saved.log")
	must.NoError(t, err)
	defer f.Close()
	lines, err := decisionlog.ReadLines("saved.log", f)
	must.NoError(t, err)
	report := NewReport(lines)
	must.Eq(t, 22, report.Requests)
	var out bytes.Buffer
	must.NoError(t, report.Write(&out))
	want, err := os.ReadFile("testdata/account.txt")
	must.NoError(t, err)
	must.Eq(t, string(want), out.String())
}

func TestReportOnNoLines(t *testing.T) {
	var out bytes.Buffer
	must.NoError(t, NewReport(nil).Write(&out))
	must.StrContains(t, out.String(), "0 requests")
}
