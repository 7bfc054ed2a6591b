// Package fixedseed makes property tests draw the same cases in every run, so that a check of a
// commit gives the same verdict each time. Test files import it for its effect. A seed on the command
// line (-rapid.seed) takes precedence.
package fixedseed

import (
	"flag"

	// The import registers the flag that is set here.
	_ "pgregory.net/rapid"
)

func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic("fixedseed: " + err.Error() + "; check the flags of the rapid version in go.mod")
	}
}
