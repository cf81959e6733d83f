package main

import (
	"fmt"
	"os"
)

// The exit codes of a case.
const (
	exitHeld = iota
	exitBroken
	exitCannotRun
)

// cases are the cases by name. Each returns what was seen to break the rule.
var cases = map[string]func(record *recorder, trouble bool) ([]string, error){
	"wave":   waveCase,
	"leave":  leaveCase,
	"return": returnCase,
	"crash":  crashCase,
	"held":   heldCase,
	"count":  countCase,
	"bytes":  bytesCase,
	"watch":  watchCase,
	"added":  addedCase,
	"serve":  servingCase,
	"cancel": cancelCase,
	"unread": unreadCase,
}

func main() {
	os.Exit(run())
}

// run plays the case that the first argument names, and writes to the file that the second one names.
func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE RECORD")

		return exitCannotRun
	}

	record, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)

		return exitCannotRun
	}

	trouble := os.Getenv("TROUBLE") != "0"
	record.logf("case %s, trouble %t", os.Args[1], trouble)

	broken, err := cases[os.Args[1]](record, trouble)

	switch {
	case err != nil:
		record.logf("RESULT the case could not run: %v", err)
		fmt.Println("could not run:", err)

		return exitCannotRun
	case len(broken) > 0:
		for _, text := range broken {
			record.logf("RESULT broken: %s", text)
			fmt.Println("broken:", text)
		}

		return exitBroken
	default:
		record.logf("RESULT the rule held")
		fmt.Println("held")

		return exitHeld
	}
}
