// Command standins runs one case of the review: it starts daemons as processes, beside stand-ins of
// the platform's store, of engines and of clients in this process, and judges by what these saw. It
// exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run.
package main

import (
	"errors"
	"fmt"
	"os"
)

// Exit codes.
const (
	held   = 0
	broken = 1
	failed = 2
)

// cases are the cases by name. Each returns an exit code; an error means that it couldn't run.
var cases = map[string]func(*site) (int, error){
	"unsigned":  unsignedAnswers,
	"deadly":    deadlyRequest,
	"refused":   refusedLeave,
	"partition": partitionedMachines,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins CASE RECORD")
		return failed
	}
	record, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	s, err := newSite(record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	code, err := cases[os.Args[1]](s)
	err = errors.Join(err, s.close())
	if err != nil {
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return failed
	}
	return code
}
