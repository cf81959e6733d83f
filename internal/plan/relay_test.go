package plan

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestRelayOrders(t *testing.T) {
	assert.Assert(t, !RelayOrders(48), "a small deployment's leader calls its workers itself")
	assert.Assert(t, RelayOrders(350))
	assert.Assert(t, RelayOrders(1100))
}
