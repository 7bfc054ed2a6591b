// Command bench measures the figures of the design page; see docs/measurements.md.
package main

import (
	"os"

	"github.com/mangoweir/mangoweir/internal/bench"
)

func main() {
	os.Exit(bench.Run(os.Args[1:], os.Stdout, os.Stderr))
}
