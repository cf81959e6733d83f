package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
)

// The exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scene is one script.
type scene struct {
	cluster *cluster
	record  *record
	seed    uint64
	trouble bool
}

func main() { os.Exit(run()) }

func run() int {
	program := flag.String("program", "", "the program of the deploy file")
	root := flag.String("root", "", "the root of the repository")
	path := flag.String("record", "record.txt", "where the record is written")
	seed := flag.Uint64("seed", 1, "selects the executors that crash")
	trouble := flag.Bool("trouble", true, "whether there is a disruption")
	flag.Parse()

	scenes := map[string]func(s *scene) (int, error){"crashes": crashes, "routes": routes, "reborn": reborn}

	play, ok := scenes[flag.Arg(0)]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown script:", flag.Arg(0))

		return exitNotRun
	}

	r, err := newRecord(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)

		return exitNotRun
	}

	defer r.close()

	absolute, err := filepath.Abs(*program)
	if err != nil {
		return exitNotRun
	}

	c, err := newCluster(absolute, *root)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)

		return exitNotRun
	}

	defer c.stop()

	code, err := play(&scene{cluster: c, record: r, seed: *seed, trouble: *trouble})
	if err != nil {
		r.line("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)

		return exitNotRun
	}

	return code
}
