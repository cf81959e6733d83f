package cmds

import (
	"bytes"
	"encoding/json"
	"io"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cranberrymill/cranberrymill/platform"
)

// TestPlatformCheck expects each kind of result to have its exit code, and JSON that can be read.
func TestPlatformCheck(t *testing.T) {
	const queue = `{"name": "a", "host": "h", "path_prefix": "/a/", "service": "s", "timeout_ms": 1, "stretch": 2}`

	folder := t.TempDir()
	file := func(name, content string) string {
		path := filepath.Join(folder, name)
		assert.NilError(t, os.WriteFile(path, []byte(content), 0o600))

		return path
	}

	fine := file("fine", `{"version": 2, "routes": [`+queue+`], "services": [{"name": "s"}]}`)
	warns := file("warns", `{"version": 2, "routes": [`+queue+`], "services": [{"name": "s"}, {"name": "t"}]}`)
	wrong := file("wrong", `{"version": 2, "routes": [`+queue+`]}`)

	for path, want := range map[string]int{
		fine: exitOK, warns: exitWarnings, wrong: exitRefused, filepath.Join(folder, "none"): exitUsage,
	} {
		assert.Equal(t, reportError(io.Discard, checkSetup(io.Discard, path, "", false)), want, path)
	}

	var output bytes.Buffer

	assert.ErrorIs(t, checkSetup(&output, fine, warns, true), errWarnings)

	var report platform.SetupReport

	assert.NilError(t, json.Unmarshal(output.Bytes(), &report))
	assert.DeepEqual(t, report.Differences, []string{`service "t": removed`})
}
