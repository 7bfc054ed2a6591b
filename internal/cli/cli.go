// Package cli holds the commands of the mangoweir binary.
package cli

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"
)

// Exit codes of all commands.
const (
	ExitDone    = 0
	ExitFailed  = 1
	ExitUsage   = 2
	ExitUnknown = 3
)

// Run executes the command line and returns the exit code.
func Run(args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	root := &cobra.Command{
		Use:           "mangoweir",
		Short:         "Layer-4 load balancer for small public services",
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	root.SetArgs(args)
	root.SetIn(stdin)
	root.SetOut(stdout)
	root.SetErr(stderr)
	if err := root.Execute(); err != nil {
		fmt.Fprintln(stderr, err)
		return ExitUsage
	}
	return ExitDone
}
