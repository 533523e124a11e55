package faultrun

import (
	"context"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestFixedSchedule is a short run with one seed. It guards against promises that break only
// with separate processes and injected faults.
func TestFixedSchedule(t *testing.T) {
	dir := t.TempDir()
	binary := filepath.Join(dir, "pearlanding")
	out, err := exec.Command("go", "build", "-o", binary, "pearlanding/cmd/pearlanding").CombinedOutput()
	must.NoError(t, err, must.Sprint(string(out)))
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
	defer cancel()
	report, err := Run(ctx, Options{Binary: binary, Dir: dir, Seed: 1, Duration: 20 * time.Second, Daemons: 3})
	must.NoError(t, err)
	t.Log(report)
	must.SliceEmpty(t, report.Violations)
	must.Positive(t, report.Complete)
	must.Positive(t, report.Answered)
	must.Positive(t, report.Accepted)
}
