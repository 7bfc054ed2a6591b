// Command capacity measures the slopes that docs/CAPACITY.md extrapolates from.
package main

import (
	"fmt"
	"os"

	"github.com/mangoweir/mangoweir/internal/capacity"
)

func main() {
	if err := capacity.Command().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}
