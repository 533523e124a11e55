// Command platformsoak runs soak tests of daemons on the users' platform, one for each
// seed. It exits 1 if a run reports a violation of the system's guarantees.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"

	"github.com/alecthomas/kingpin/v2"

	"pearlanding/platform/soak"
)

func main() {
	app := kingpin.New("platformsoak", "Run seeded soak tests of daemons on the users' platform, as separate processes.")
	binary := app.Flag("binary", "The pearlanding binary.").Required().ExistingFile()
	dir := app.Flag("dir", "Directory for settings and logs.").Required().ExistingDir()
	first := app.Flag("seed", "First seed.").Default("1").Uint64()
	seeds := app.Flag("seeds", "Number of seeds.").Default("1").Uint64()
	duration := app.Flag("duration", "Time during which faults are injected, for each seed.").Default("20s").Duration()
	daemons := app.Flag("daemons", "Number of daemons.").Default("4").Int()
	callers := app.Flag("callers", "Number of callers.").Default("12").Int()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	broken := 0
	for seed := *first; seed < *first+*seeds; seed++ {
		out := filepath.Join(*dir, fmt.Sprintf("seed-%d", seed))
		if err := os.MkdirAll(out, 0o755); err != nil {
			kingpin.Fatalf("%v", err)
		}
		report, err := soak.Run(ctx, soak.Options{Binary: *binary, Dir: out, Seed: seed, Duration: *duration, Daemons: *daemons, Callers: *callers})
		if err != nil {
			kingpin.Fatalf("seed %d could not be run: %v", seed, err)
		}
		fmt.Println(report)
		if len(report.Violations) > 0 {
			broken++
		}
	}
	fmt.Printf("%d of %d seeds broke a promise\n", broken, *seeds)
	if broken > 0 {
		os.Exit(1)
	}
}
