package core

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// TestWorkBeyondTheShareIsMarked guards against a tenant whose jobs all count as owed however many it sends, and against
// refusals beside room: without a saturated service none is refused.
func TestWorkBeyondTheShareIsMarked(t *testing.T) {
	setup := &mill.Setup{Tenants: []mill.Tenant{{Name: "a", Weight: 1}}}
	found := &submission{id: "j", setup: setup, access: access{queue: &mill.Queue{Service: "s"}, tenant: "a", weight: 1}}
	now := time.Now()

	var s shares

	beyond := 0

	for range 5 {
		admitted, refused := s.admit(found, nil, now)
		assert.Assert(t, refused == nil)

		if admitted.beyondShare {
			beyond++
		}

		admitted.end(nil)
	}

	assert.Equal(t, beyond, 3, "two seconds of the share are saved up")

	first, _ := s.admit(found, nil, now.Add(time.Minute))
	first.end(mill.ErrUnavailable)
	assert.Equal(t, s.committing["j"], 1, "a job whose commit has failed may still be committed")
}
