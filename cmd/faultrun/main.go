// Command faultrun makes long fault runs over separate processes, one for each
// seed, and exits 1 if any promise was broken.
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
	app := kingpin.New("faultrun", "Seeded fault runs over separate processes.")
	binary := app.Flag("binary", "The pearlanding binary.").Required().ExistingFile()
	dir := app.Flag("dir", "Folder for settings and logs.").Required().ExistingDir()
	first := app.Flag("seed", "First seed.").Default("1").Uint64()
	seeds := app.Flag("seeds", "How many seeds.").Default("1").Uint64()
	duration := app.Flag("duration", "How long faults are injected, for each seed.").Default("60s").Duration()
	daemons := app.Flag("daemons", "How many daemons.").Default("3").Int()
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
