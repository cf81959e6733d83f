package seeds

import (
	"flag"
	"os"
	"strings"
)

// Variable is the environment variable that sets another seed for a longer run.
const Variable = "MILL_FUZZ_SEED"

const (
	fixed  = "20261204"
	checks = "20000"
	steps  = "60"
)

// Exit runs the tests of a package with the fixed seed, unless Variable or the
// command line set another, and ends the process with their exit code.
func Exit(run func() int) {
	seed := os.Getenv(Variable)
	if seed == "" {
		seed = fixed
	}

	flag.Parse()

	setDefault("rapid.seed", seed)
	setDefault("rapid.checks", checks)
	setDefault("rapid.steps", steps)

	os.Exit(run())
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
