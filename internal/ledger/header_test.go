package ledger

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cranberrymill/cranberrymill/internal/wire"
)

// TestFuzzAnswersAreReadable guards against an answer that cannot be recorded because a header of the upstream is not UTF-8:
// the request had run, and a resent one could not be given its answer.
func TestFuzzAnswersAreReadable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		value := rapid.OneOf(rapid.String(), rapid.Map(rapid.SliceOf(rapid.Byte()), func(b []byte) string { return string(b) }))
		sent := &Command{Finish: &Finish{Key: "k", Answer: Answer{
			Status:  200,
			Headers: []Header{{Name: "Content-Disposition", Value: value.Draw(t, "value")}, {Name: "Server", Value: ""}},
		}}}

		data, err := wire.Encode(sent)
		assert.NilError(t, err)

		var received Command

		assert.NilError(t, wire.Decode(data, &received))
		assert.DeepEqual(t, &received, sent)
	})
}

// TestEarlierHeadersAreReadable checks that headers are decoded that were stored before their values could be byte strings.
func TestEarlierHeadersAreReadable(t *testing.T) {
	data, err := wire.Encode(&struct{ Name, Value string }{"Server", "upstream"})
	assert.NilError(t, err)

	var header Header

	assert.NilError(t, wire.Decode(data, &header))
	assert.Equal(t, header, Header{Name: "Server", Value: "upstream"})
}
