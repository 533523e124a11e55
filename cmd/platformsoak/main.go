// Command platformsoak runs soak tests of daemons on the users' platform, one for each
// seed. It exits 1 if a run reports a violation of the system's guarantees. Its daemons run in
// processes of its own front command, which can cut them off from the engines.
package main

import (
	"cmp"
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"pearlanding/platform/launch"
	"pearlanding/platform/soak"
)

func main() {
	app := kingpin.New("platformsoak", "Run seeded soak tests of daemons on the users' platform, as separate processes.")
	addRun(app)
	addFront(app)
	kingpin.MustParse(app.Parse(os.Args[1:]))
}

// addRun adds the command that runs soaks.
func addRun(app *kingpin.Application) {
	cmd := app.Command("run", "Run soaks.").Default()
	binary := cmd.Flag("binary", "Another program whose front command runs the daemons, such as pearlanding; its daemons are not cut off from the engines.").ExistingFile()
	dir := cmd.Flag("dir", "Directory for settings and logs.").Required().ExistingDir()
	first := cmd.Flag("seed", "First seed.").Default("1").Uint64()
	seeds := cmd.Flag("seeds", "Number of seeds.").Default("1").Uint64()
	duration := cmd.Flag("duration", "Time during which faults are injected, for each seed.").Default("20s").Duration()
	daemons := cmd.Flag("daemons", "Number of daemons.").Default("4").Int()
	crashByPart := cmd.Flag("crash-by-part", "Requests that crash engines share a part of their prompts, not their whole content.").Bool()
	onlySilences := cmd.Flag("only-silences", "No faults but streams that fall silent and are reset, suspended daemons, busy processors and cut links.").Bool()
	callers := cmd.Flag("callers", "Number of callers.").Default("12").Int()
	cmd.Action(func(*kingpin.ParseContext) error {
		own, err := os.Executable()
		if err != nil {
			return err
		}
		return runSoaks(soak.Options{Binary: cmp.Or(*binary, own), CutsEngines: *binary == "", Dir: *dir, Seed: *first, Duration: *duration, Daemons: *daemons, Callers: *callers, CrashByPart: *crashByPart, OnlySilences: *onlySilences}, *seeds)
	})
}

// runSoaks runs a soak for each seed and exits 1 if any broke a promise.
func runSoaks(o soak.Options, seeds uint64) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	broken, dir := 0, o.Dir
	for end := o.Seed + seeds; o.Seed < end; o.Seed++ {
		o.Dir = filepath.Join(dir, fmt.Sprintf("seed-%d", o.Seed))
		if err := os.MkdirAll(o.Dir, 0o755); err != nil {
			return err
		}
		report, err := soak.Run(ctx, o)
		if err != nil {
			return fmt.Errorf("seed %d could not be run: %w", o.Seed, err)
		}
		fmt.Println(report)
		if len(report.Violations) > 0 {
			broken++
		}
	}
	fmt.Printf("%d of %d seeds broke a promise\n", broken, seeds)
	if broken > 0 {
		os.Exit(1)
	}
	return nil
}

// addFront adds the command that runs one daemon.
func addFront(app *kingpin.Application) {
	cmd := app.Command("front", "Run one daemon whose links to the engines a file cuts.")
	settings := cmd.Flag("settings", "Settings file.").Required().String()
	links := cmd.Flag("links", "File that holds the cut.").Required().String()
	cmd.Action(func(*kingpin.ParseContext) error {
		ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
		defer stop()
		return launch.Run(ctx, launch.Options{SettingsFile: *settings, LogLevel: "info", DialInstance: soak.NewEngineLinks(context.WithoutCancel(ctx), *links).DialContext})
	})
}
