// Package hangup prevents that SIGHUP ends a daemon before it has called signal.Notify.
//
// Until that call SIGHUP ends a Go program, and on a small VM the initialisation of all packages takes over
// 0.1 s. This package depends on little more than os/signal, so that it is initialised before most others. It
// does not cover the start of the Go runtime: for that, the parent must start the process with SIGHUP ignored.
package hangup

import (
	"os"
	"os/signal"
	"slices"
	"syscall"
)

// daemons are the commands that reload their settings on SIGHUP. Other commands end on SIGHUP, as is usual
// for programs on a terminal.
var daemons = []string{"forward"}

func init() {
	if len(os.Args) > 1 && slices.Contains(daemons, os.Args[1]) {
		// No change is missed: the daemon reads its settings after it has called signal.Notify.
		signal.Ignore(syscall.SIGHUP)
	}
}
