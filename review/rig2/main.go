// Command rig2 plays the cases of the second review: it starts daemons, as the deploy file does, with
// stand-ins of the platform's store, of servers and of clients, all on loopback addresses.
package main

import (
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0 // the rule held
	exitBroken = 1
	exitNotRun = 2 // the case couldn't run
)

// maxTime is the longest time of a case.
const maxTime = 110 * time.Second

func main() {
	cases := map[string]func(*rig) (broken []string, err error){
		"empty-resumption":  emptyResumption,
		"key-after-restore": keyAfterRestore,
		"foreign-entry":     foreignEntry,
		"last-tenant":       lastTenant,
	}
	if len(os.Args) >= 2 && os.Args[1] == "server" {
		runServer(os.Args[2:])
		return
	}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE BINARY RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2], os.Args[3]))
}

// play plays one case and returns the exit code.
func play(f func(*rig) ([]string, error), binary, record string) int {
	r, err := newRig(binary, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	time.AfterFunc(maxTime, func() {
		r.say("the case took too long")
		r.close()
		os.Exit(exitNotRun)
	})
	broken, err := f(r)
	for _, line := range broken {
		r.note("BROKEN %s", line)
	}
	switch {
	case err != nil:
		r.say("the case couldn't run: %v", err)
		return exitNotRun
	case len(broken) > 0:
		r.say("the rule was broken %d times; the first: %s", len(broken), broken[0])
		return exitBroken
	}
	r.say("the rule held")
	return exitHeld
}
