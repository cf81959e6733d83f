package seeds

import (
	"flag"
	"os"
	"strconv"
	"strings"
	"testing"
)

// Variable is the environment variable that sets another seed for a longer run.
const Variable = "MILL_FUZZ_SEED"

const (
	fixed = "20261204"
	steps = "60"
)

// Exit runs the tests of a package with the fixed seed and a number of checks,
// unless Variable or the command line set others, and ends the process with
// their exit code.
func Exit(run func() int, checks int) {
	seed := os.Getenv(Variable)
	if seed == "" {
		seed = fixed
	}

	flag.Parse()

	setDefault("rapid.seed", seed)
	setDefault("rapid.checks", strconv.Itoa(checks))
	setDefault("rapid.steps", steps)

	os.Exit(run())
}

// Checks sets another number of checks for one test.
func Checks(t testing.TB, checks int) {
	t.Helper()

	before := flag.Lookup("rapid.checks").Value.String()

	setDefault("rapid.checks", strconv.Itoa(checks))
	t.Cleanup(func() { _ = flag.Set("rapid.checks", before) })
}

// setDefault sets a flag that the command line does not name.
func setDefault(name, value string) {
	for _, argument := range os.Args {
		if strings.Contains(argument, name) {
			return
		}
	}

	_ = flag.Set(name, value)
}
