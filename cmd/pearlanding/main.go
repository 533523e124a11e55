// Command pearlanding is the single binary of the system: the daemon, the operators'
// commands, the stand-ins, and the embedded development system.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
)

// version is the release; see CHANGELOG.md.
const version = "0.1.0"

// Exit codes, the same for all commands.
const (
	exitOK       = 0
	exitFailed   = 1 // findings, a refusal or a failed command; nothing was changed
	exitUsage    = 2
	exitConflict = 3 // another operator changed it first
	exitUnknown  = 4 // outcome unknown; ask with "change get"
	exitPending  = 5 // written, not yet in force everywhere
)

func main() {
	app := kingpin.New("pearlanding", "Serve large models that span several VMs, in permitted places only.")
	app.Version(version)
	app.HelpFlag.Short('h')
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	code := exitOK
	run := func(f func(context.Context) int) kingpin.Action {
		return func(*kingpin.ParseContext) error {
			code = f(ctx)
			return nil
		}
	}
	app.Command("version", "Print the version.").Action(run(func(context.Context) int {
		fmt.Println("pearlanding", version)
		return exitOK
	}))
	addServe(app, run)
	addFront(app, run)
	addTrace(app, run)
	addAccount(app, run)
	addRefused(app, run)
	addCheck(app, run)
	addOperator(app, run)
	addStandin(app, run)
	addDev(app, run)
	if _, err := app.Parse(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "pearlanding:", err)
		os.Exit(exitUsage)
	}
	os.Exit(code)
}

// action returns a kingpin action that runs a command's function and keeps its exit code.
type action func(f func(context.Context) int) kingpin.Action

// fail prints the error and returns exitFailed.
func fail(err error) int {
	fmt.Fprintln(os.Stderr, err)
	return exitFailed
}
