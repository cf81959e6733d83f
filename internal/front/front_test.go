package front

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cranberrymill/cranberrymill/internal/core"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// TestDoubtfulSubmissionIsNotRejected checks that a submission is not answered as rejected if an earlier attempt may have
// been accepted: the queue may have been removed since, or the process that answered may not know it yet.
func TestDoubtfulSubmissionIsNotRejected(t *testing.T) {
	for _, verdict := range []mill.Verdict{mill.VerdictRefused, mill.VerdictNoQueue} {
		reply := &core.SubmitReply{Receipt: mill.Receipt{Verdict: verdict}}

		assert.Equal(t, receiptFor(reply, true, nil).Verdict, mill.VerdictUnknown)
		assert.Equal(t, receiptFor(reply, false, nil).Verdict, verdict)
	}

	for err, verdict := range map[error]mill.Verdict{
		mill.ErrUnauthenticated: mill.VerdictUnauthenticated, mill.ErrForbidden: mill.VerdictForbidden,
	} {
		assert.Equal(t, receiptFor(nil, true, err).Verdict, mill.VerdictUnknown)
		assert.Equal(t, receiptFor(nil, false, err).Verdict, verdict)
	}
}
