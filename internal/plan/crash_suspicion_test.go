package plan

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestTaskIsNotGivenUpForOneCrash checks that no single crash gives up a task, and that three always do.
func TestTaskIsNotGivenUpForOneCrash(t *testing.T) {
	const maxCrashes = 3

	for suspects := range 20 {
		suspicion := CrashSuspicion(suspects + 1)

		assert.Assert(t, !GivesUp(suspicion), "%d suspects", suspects+1)
		assert.Assert(t, GivesUp(maxCrashes*suspicion), "%d suspects", suspects+1)
	}
}

// TestSoleSuspectIsGivenUpAfterTwoCrashes checks that one crash for which only one task can be the cause suffices as proof.
func TestSoleSuspectIsGivenUpAfterTwoCrashes(t *testing.T) {
	assert.Assert(t, GivesUp(CrashSuspicion(5)+CrashSuspicion(1)))
	assert.Assert(t, !GivesUp(CrashSuspicion(5)+CrashSuspicion(5)))
}
