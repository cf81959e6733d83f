package core

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cranberrymill/cranberrymill/internal/jobs"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// TestOwnerAfterCommit guards against a submission that is answered as accepted though another tenant's job of the same id
// was committed between its check and its own commit.
func TestOwnerAfterCommit(t *testing.T) {
	c := &Core{stateMachine: newStateMachine(func() bool { return true }, nil)}
	queue := mill.Queue{Name: "q", Service: "s"}
	c.stateMachine.execute([]jobs.Command{
		{Setup: &mill.Setup{Version: 1, Queues: []mill.Queue{queue}, Services: []mill.Service{{Name: "s"}}}},
		{Submit: &jobs.Submit{Job: "id", Queue: "q", Work: mill.Workload{Steps: []mill.Step{{Count: 1}}}, Tenant: "a"}},
	})

	for tenant, want := range map[string]error{"a": nil, "b": mill.ErrForbidden} {
		assert.ErrorIs(t, c.checkOwner(&submission{id: "id", access: access{queue: &queue, tenant: tenant}}), want)
	}
}
