// Package cli implements the commands of the mangoweir binary. Each command has a constructor in a file
// of its own; app.commands lists the constructors. The package keeps no state between calls of Run.
package cli

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"
)

// Exit codes of all commands.
const (
	ExitDone           = 0
	ExitFailed         = 1
	ExitUsage          = 2
	ExitUnknownOutcome = 3
)

// app holds the state that the commands of one command line share.
type app struct {
	remote remoteFlags
	// argsAccepted is true once a command has accepted its arguments; earlier errors are usage errors.
	argsAccepted bool
}

// commands returns all commands in the order of the help text.
func (a *app) commands() []*cobra.Command {
	return []*cobra.Command{
		a.newServe(),
		a.newForward(),
		a.newDemo(),
		NewLoadCommand(),
		a.newCheck(),
		a.newCheckConfig(),
		a.newApply(),
		a.newGet(),
		a.newDiff(),
		a.newZone(),
		a.newStatus(),
		a.newKeys(),
		a.newPlatform(),
		a.newVersion(),
	}
}

// newRoot returns the root command. The PersistentPreRun of a subcommand would replace that of the root and
// must set argsAccepted itself.
func (a *app) newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:   "mangoweir",
		Short: "Layer-4 load balancer for small public services",
		Long: `mangoweir is a layer-4 load balancer for small public services.

Exit codes: 0 done, 1 failed, 2 usage error or invalid file, 3 outcome unknown.`,
		SilenceErrors:    true,
		SilenceUsage:     true,
		PersistentPreRun: func(*cobra.Command, []string) { a.argsAccepted = true },
	}
	root.AddCommand(a.commands()...)
	return root
}

// Run executes the command line and returns the exit code.
func Run(args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	a := &app{}
	root := a.newRoot()
	root.SetArgs(args)
	root.SetIn(stdin)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.Execute()
	if err == nil {
		return ExitDone
	}
	if !a.argsAccepted {
		err = &usageError{err}
	}
	fmt.Fprintln(stderr, err)
	return exitCode(err)
}
