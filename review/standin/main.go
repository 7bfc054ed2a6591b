//go:build review

// Command standin runs the scripts of the review: it starts the program of the deploy file between stand-ins for the
// store, the routers, the hosts and the clients, and checks the rules by what clients and hosts see.
//
// Exit codes: 0 when the rule held, 1 when it was broken, 2 when the case could not run.
package main

import (
	"fmt"
	"os"
)

// scenario runs a case. trouble is false when the disruption is left out. An error means that the case could not run.
type scenario func(rec *record, trouble bool) (broken bool, err error)

var scenarios = map[string]scenario{"alias": runAlias, "stuck": runStuck, "foreign": runForeign}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin SCENARIO RECORD-FILE")
		return 2
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("scenario %s, trouble: %v", os.Args[1], trouble)
	broken, err := scenarios[os.Args[1]](rec, trouble)
	switch {
	case broken:
		rec.add("RESULT: the rule was broken")
		return 1
	case err != nil:
		rec.add("RESULT: the case could not run: %v", err)
		return 2
	}
	rec.add("RESULT: the rule held")
	return 0
}
