// Cranberrymill schedules different kinds of work on one shared cluster.
package main

import (
	_ "embed"
	"os"

	"github.com/cranberrymill/cranberrymill/internal/cmds"
)

//go:embed version.txt
var version string

func main() {
	os.Exit(cmds.Main(version, os.Args[1:]))
}
