// Package fixedseed makes property tests try the same cases on every run. A test
// package imports it for its effect; -rapid.seed on the command line goes before
// it, for runs by hand with other cases.
package fixedseed

import (
	"flag"

	_ "pgregory.net/rapid" // declares the flag first
)

// seed is arbitrary; it only has to stay.
const seed = "20261202"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
}
