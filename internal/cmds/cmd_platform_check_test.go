package cmds

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
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

// TestPlatformCheckAgainstProcess expects a core process to be compared with, an error that says why it cannot be, and no
// key of a tenant in what is printed.
func TestPlatformCheckAgainstProcess(t *testing.T) {
	const (
		before = `{"version": 1, "tenants": [{"name": "a", "api_keys": ["s3cret"]}]}`
		after  = `{"version": 2, "tenants": [{"name": "a", "api_keys": ["s3cret", "s3cret2"]}]}`
	)

	file := filepath.Join(t.TempDir(), "after")
	assert.NilError(t, os.WriteFile(file, []byte(after), 0o600))

	for _, test := range []struct {
		status       int
		answer, want string
		exit         int
	}{
		{http.StatusOK, before, "differs: tenant \"a\": Keys 2 (not shown), was 1 (not shown)", exitOK},
		{http.StatusOK, `{"version": "s3cret"}`, "cannot be read, so it is not compared", exitWarnings},
		{http.StatusServiceUnavailable, `{"error": "there is no setup yet"}`, "there is no setup yet", exitUsage},
		{http.StatusServiceUnavailable, `s3cret`, "it gives no reason", exitUsage},
		{http.StatusNotFound, `s3cret`, "not the control port", exitUsage},
		{0, "", "no core process answers", exitUsage},
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			assert.Check(t, r.Method == http.MethodGet && r.URL.Path == "/cranberrymill/config")
			w.WriteHeader(test.status)
			_, _ = io.WriteString(w, test.answer)
		}))
		if test.status == 0 {
			server.Close()
		}

		var output bytes.Buffer

		exit := reportError(&output, checkSetup(&output, file, server.Listener.Addr().String(), false))
		assert.Check(t, strings.Contains(output.String(), test.want), "%s", output.String())
		assert.Check(t, !strings.Contains(output.String(), "s3cret"), "%s", output.String())
		assert.Equal(t, exit, test.exit, "%s", output.String())
		server.Close()
	}
}
