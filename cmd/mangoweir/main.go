// Command mangoweir is a layer-4 load balancer; see README.md.
package main

import (
	"os"

	"github.com/mangoweir/mangoweir/internal/cli"
)

func main() {
	os.Exit(cli.Run(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
