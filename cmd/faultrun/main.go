// Command faultrun runs the system as separate processes under injected faults, once for
// each seed. It exits 1 if a run reports a violation of the system's guarantees.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"

	"github.com/alecthomas/kingpin/v2"

	"pearlanding/internal/faultrun"
)

func main() {
	app := kingpin.New("faultrun", "Run the system as separate processes under a seeded schedule of faults.")
	binary := app.Flag("binary", "The pearlanding binary.").Required().ExistingFile()
	dir := app.Flag("dir", "Directory for settings and logs.").Required().ExistingDir()
	first := app.Flag("seed", "First seed.").Default("1").Uint64()
	seeds := app.Flag("seeds", "Number of seeds.").Default("1").Uint64()
	duration := app.Flag("duration", "Time during which faults are injected, for each seed.").Default("60s").Duration()
	daemons := app.Flag("daemons", "Number of daemons.").Default("3").Int()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	broken := false
	for seed := *first; seed < *first+*seeds; seed++ {
		out := filepath.Join(*dir, fmt.Sprintf("seed-%d", seed))
		if err := os.MkdirAll(out, 0o755); err != nil {
			kingpin.Fatalf("%v", err)
		}
		report, err := faultrun.Run(ctx, faultrun.Options{Binary: *binary, Dir: out, Seed: seed, Duration: *duration, Daemons: *daemons})
		if err != nil {
			kingpin.Fatalf("seed %d could not be run: %v", seed, err)
		}
		fmt.Println(report)
		broken = broken || len(report.Violations) > 0
	}
	if broken {
		os.Exit(1)
	}
}
