// Package hangup keeps a daemon alive that gets SIGHUP before it has asked for signals.
//
// A Go program ends by SIGHUP until it calls signal.Notify, and on a small VM the initialisation of all
// packages takes over 0.1 s. This package depends on os/signal alone, so that it is initialised before most
// others. What remains is the start of the Go runtime, in which only a parent that starts the process with
// SIGHUP ignored can help.
package hangup

import (
	"os"
	"os/signal"
	"slices"
	"syscall"
)

// daemons are the commands that take SIGHUP for a change of their settings. Others end by it, as
// programs on a terminal do.
var daemons = []string{"forward"}

func init() {
	if len(os.Args) > 1 && slices.Contains(daemons, os.Args[1]) {
		// Nothing is lost: settings are read after the daemon has called signal.Notify.
		signal.Ignore(syscall.SIGHUP)
	}
}
