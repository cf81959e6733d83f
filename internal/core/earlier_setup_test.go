package core

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cranberrymill/cranberrymill/internal/jobs"
	"github.com/cranberrymill/cranberrymill/internal/wire"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// TestTenantsOfEarlierBuild guards against keys and limits that count for nothing after an upgrade: the earlier build
// commits setups, and saves them in snapshots, without their tenants.
func TestTenantsOfEarlierBuild(t *testing.T) {
	earlier := &mill.Setup{
		Version: 3, Queues: []mill.Queue{{Name: "q", Service: "s"}}, Services: []mill.Service{{Name: "s"}},
		Document: []byte("document"),
	}
	readSetup := func([]byte) (*mill.Setup, error) {
		read := *earlier
		read.Queues = []mill.Queue{{Name: "q", Service: "s", Public: true}}
		read.Tenants = []mill.Tenant{{Name: "a", Keys: []mill.APIKey{"k"}}}

		return &read, nil
	}
	entry, err := wire.Encode(&jobs.Batch{Commands: []jobs.Command{{Setup: earlier}}})
	assert.NilError(t, err)

	before := newStateMachine(func() bool { return false }, nil)
	before.Apply(1, entry)

	snapshot, err := before.Save()
	assert.NilError(t, err)

	for name, restore := range map[string]func(m *stateMachine) error{
		"log":      func(m *stateMachine) error { m.Apply(1, entry); return nil },
		"snapshot": func(m *stateMachine) error { return m.Load(snapshot) },
	} {
		after := newStateMachine(func() bool { return false }, nil)
		after.readSetup = readSetup

		assert.NilError(t, restore(after))

		tenant, ok := after.state.SetupIndex().TenantOf("k")
		assert.Assert(t, ok && tenant.Name == "a", name)
		assert.Assert(t, after.state.Setup().Queues[0].Public, name)
	}
}
