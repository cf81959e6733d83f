package conns

import (
	"errors"
	"net"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func openPipe() (net.Conn, error) {
	client, server := net.Pipe()

	return client, server.Close()
}

// TestBudget opens and closes connections in any order, some of them twice and some dials in vain, and expects
// that no more are open than the budget allows, and that none is refused below that.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reclaims := 0
		b := NewBudget(reservedDescriptors+2*rapid.IntRange(1, 5).Draw(t, "limit"), func() { reclaims++ })

		var open []net.Conn

		t.Repeat(map[string]func(*rapid.T){
			"dial": func(t *rapid.T) {
				opened, err := b.Dial(openPipe)
				if int64(len(open)) == b.max() {
					assert.ErrorIs(t, err, ErrExhausted)
					assert.Equal(t, reclaims, 1, "idle connections are reclaimed at most once a second")

					return
				}

				assert.NilError(t, err)

				open = append(open, opened)
			},
			"fail": func(t *rapid.T) {
				_, err := b.Dial(func() (net.Conn, error) { return nil, net.ErrClosed })
				assert.Assert(t, errors.Is(err, net.ErrClosed) || errors.Is(err, ErrExhausted))
			},
			"close": func(t *rapid.T) {
				if len(open) == 0 {
					t.Skip("none is open")
				}

				at := rapid.IntRange(0, len(open)-1).Draw(t, "at")
				_, _ = open[at].Close(), open[at].Close()
				open = append(open[:at], open[at+1:]...)
			},
			"": func(t *rapid.T) { assert.Equal(t, b.Open(), int64(len(open))) },
		})
	})
}
