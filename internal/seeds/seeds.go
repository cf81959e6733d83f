package seeds

import (
	"flag"
	"os"
	"strconv"
	"strings"
	"testing"
)

// SeedVariable is the environment variable that sets a different seed, for longer runs.
const SeedVariable = "MILL_FUZZ_SEED"

const (
	defaultSeed  = "20261204"
	defaultSteps = "60"
)

// RunAndExit runs the tests of a package with the default seed and the given number of
// checks, unless SeedVariable or the command line sets others, and exits with their
// exit code.
func RunAndExit(run func() int, checks int) {
	seed := os.Getenv(SeedVariable)
	if seed == "" {
		seed = defaultSeed
	}

	flag.Parse()

	setUnlessGiven("rapid.seed", seed)
	setUnlessGiven("rapid.checks", strconv.Itoa(checks))
	setUnlessGiven("rapid.steps", defaultSteps)

	os.Exit(run())
}

// SetChecks sets the number of checks for one test.
func SetChecks(t testing.TB, checks int) {
	t.Helper()

	previous := flag.Lookup("rapid.checks").Value.String()

	setUnlessGiven("rapid.checks", strconv.Itoa(checks))
	t.Cleanup(func() { _ = flag.Set("rapid.checks", previous) })
}

// setUnlessGiven sets a flag unless the command line sets it.
func setUnlessGiven(name, value string) {
	for _, argument := range os.Args {
		if strings.Contains(argument, name) {
			return
		}
	}

	_ = flag.Set(name, value)
}
