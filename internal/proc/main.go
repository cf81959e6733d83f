package proc

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// Main builds the program, runs a package's tests and returns their exit code. The tests find the program's path in program.
// It is called from a folder two levels below the root of the module.
func Main(m *testing.M, program *string) int {
	folder, err := os.MkdirTemp("", "cranberrymill")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)

		return 1
	}

	defer func() { _ = os.RemoveAll(folder) }()

	*program = filepath.Join(folder, "cranberrymill")

	build := exec.CommandContext(context.Background(), "go", "install", "../..")
	build.Env = append(os.Environ(), "GOBIN="+folder)
	build.Stderr = os.Stderr

	if err := build.Run(); err != nil {
		return 1
	}

	return m.Run()
}
