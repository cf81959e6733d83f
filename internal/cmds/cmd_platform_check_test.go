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

// document returns the path of a setup as operators send it.
func document(name string) string {
	return filepath.Join("..", "..", "platform", "testdata", "check", name+".json")
}

// TestPlatformCheck expects each kind of result to have its exit code, and JSON that can be read.
func TestPlatformCheck(t *testing.T) {
	fine, warns, wrong := document("fine"), document("warns"), document("wrong")

	for path, want := range map[string]int{
		fine: exitOK, warns: exitWarnings, wrong: exitRefused, document("none"): exitUsage,
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
	before, err := os.ReadFile(document("one-key"))
	assert.NilError(t, err)

	for _, test := range []struct {
		status       int
		answer, want string
		exit         int
	}{
		{http.StatusOK, string(before), "differs: tenant \"a\": Keys 2 (not shown), was 1 (not shown)", exitOK},
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

		exit := reportError(&output, checkSetup(&output, document("two-keys"), server.Listener.Addr().String(), false))
		assert.Check(t, strings.Contains(output.String(), test.want), "%s", output.String())
		assert.Check(t, !strings.Contains(output.String(), "s3cret"), "%s", output.String())
		assert.Equal(t, exit, test.exit, "%s", output.String())
		server.Close()
	}
}
