// Package fixedseed makes property tests generate the same cases in every run, so that repeated checks of a
// commit have the same result. Test files import it for its side effect. A seed on the command line
// (-rapid.seed) takes precedence.
package fixedseed

import (
	"flag"

	// The import registers the flag that init sets.
	_ "pgregory.net/rapid"
)

func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic("fixedseed: " + err.Error() + "; check the flags of the rapid version in go.mod")
	}
}
