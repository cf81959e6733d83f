package core_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"github.com/cranberrymill/cranberrymill/internal/wire"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// logBuffer collects what several goroutines log.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *logBuffer) Write(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()

	return b.text.Write(data)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()

	return b.text.String()
}

// captureLogs collects the log lines of the rest of the test, until those goroutines have ended that it starts later.
func captureLogs(t *testing.T) *logBuffer {
	t.Helper()

	lines, writer := &logBuffer{}, log.DefaultLogger.Writer
	log.DefaultLogger.Writer = log.IOWriter{Writer: lines}

	t.Cleanup(func() { log.DefaultLogger.Writer = writer })

	return lines
}

// TestKeysAreNotShown guards against keys in log lines and errors: of calls with right, wrong and withdrawn keys, and of
// setups that are refused.
func TestKeysAreNotShown(t *testing.T) {
	lines := captureLogs(t)
	cluster := newTestCluster(t)
	cluster.configureTenants(1, keyA)

	cluster.expectVerdict(keyed("/q/first", keyA), mill.VerdictAccepted)
	cluster.expectVerdict(keyed("/q/first", keyB), mill.VerdictForbidden)
	cluster.expectVerdict(keyed("/q/first", "s3cret-of-nobody"), mill.VerdictUnauthenticated)
	cluster.expectAccess(keyed("/q/first", keyA), nil)

	for _, key := range []mill.APIKey{keyB, "s3cret-of-nobody"} {
		_, err := cluster.front.State(callContext(), keyed("/q/first", key))
		assert.Assert(t, err != nil && !strings.Contains(fmt.Sprintf("%+v", err), "s3cret"), err)
	}

	err := cluster.cores[0].Configure(callContext(), &mill.Setup{Version: 2, Tenants: []mill.Tenant{
		{Name: "a", Keys: []mill.APIKey{keyA}}, {Name: "b", Keys: []mill.APIKey{keyA}},
	}})
	assert.ErrorIs(t, err, mill.ErrInvalid)
	assert.Assert(t, !strings.Contains(fmt.Sprintf("%+v", err), "s3cret"), err)

	cluster.configureTenants(3)
	cluster.expectVerdict(keyed("/q/second", keyA), mill.VerdictUnauthenticated)

	assert.Assert(t, strings.Contains(lines.String(), "call denied"))
	assert.Assert(t, !strings.Contains(lines.String(), "s3cret"))
}

// TestKeyIsNotPrinted guards against keys in what is printed or logged of a value that holds one, and checks that the
// calls between processes still pass the key.
func TestKeyIsNotPrinted(t *testing.T) {
	lines := captureLogs(t)
	tenant := mill.Tenant{Name: "a", Keys: []mill.APIKey{keyA}}
	target := keyed("/q/", keyA)

	log.Info().Any("tenant", tenant).Any("target", target).Any("key", keyA).Stringer("text", keyA).
		Msgf("%v %+v %q %s", tenant, &target, keyA, tenant.Keys)

	encoded, err := json.Marshal(&tenant)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(encoded), "[redacted]"))
	assert.Assert(t, !strings.Contains(lines.String()+string(encoded), "s3cret"), lines)

	message, err := wire.Encode(&tenant)
	assert.NilError(t, err)

	var decoded mill.Tenant

	assert.NilError(t, wire.Decode(message, &decoded))
	assert.Assert(t, decoded.Keys[0] == keyA)
}
