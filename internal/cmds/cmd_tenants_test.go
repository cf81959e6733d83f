package cmds

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cranberrymill/cranberrymill/internal/core"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// TestTenantTable checks that an operator sees who is at a limit.
func TestTenantTable(t *testing.T) {
	var text strings.Builder

	assert.NilError(t, printTenants(&text, &core.TenantList{Leading: true, Version: 7, Tenants: []core.TenantStatus{{
		Name: "a", Weight: 2.5, Keys: 2, Limit: mill.Resources{MilliCores: 4000}, Running: mill.Resources{MilliCores: 4000},
		Waiting: 3, Submissions: core.SubmissionCounts{Accepted: 9, Refused: 1},
	}}}))
	assert.Equal(t, text.String(), "setup 7, this store leads\n"+
		"TENANT  WEIGHT  KEYS  MILLICORES  MIB  ACCELERATORS  WAITING  ACCEPTED  REFUSED\n"+
		"\"a\"     2.5     2     4000/4000   0/-  0/-           3        9         1\n")
}
