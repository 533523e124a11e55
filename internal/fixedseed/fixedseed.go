// Package fixedseed makes property tests generate the same cases on every run. A test package
// imports it for its side effect. The flag -rapid.seed on the command line overrides it.
package fixedseed

import (
	"flag"

	_ "pgregory.net/rapid" // its init declares the flag, and runs first
)

// seed is arbitrary but must not change, so that every run tries the same cases.
const seed = "20261202"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
}
