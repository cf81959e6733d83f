package logs

import (
	"bytes"
	"errors"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// recorder counts the writes and keeps what was written.
type recorder struct {
	mu     sync.Mutex
	writes int
	data   bytes.Buffer
	err    error
}

func (r *recorder) Write(data []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.writes++
	r.data.Write(data)

	return len(data), r.err
}

func (r *recorder) content() (string, int) {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.data.String(), r.writes
}

// TestBatches expects lines to be written together and in order, without a call of Flush, and a full batch to be
// written at once.
func TestBatches(t *testing.T) {
	r := &recorder{}
	w := NewBatchWriter(r)

	for _, line := range []string{"a\n", "b\n", "c\n"} {
		_, err := w.Write([]byte(line))
		assert.NilError(t, err)
	}

	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if content, _ := r.content(); content == "a\nb\nc\n" {
			return poll.Success()
		}

		return poll.Continue("not written yet")
	}, poll.WithTimeout(time.Minute), poll.WithDelay(time.Millisecond))

	_, before := r.content()
	_, err := w.Write(bytes.Repeat([]byte("d"), flushBytes))
	assert.NilError(t, err)

	_, after := r.content()
	assert.Equal(t, after, before+1)
}

// TestWriteError expects the error of a batch to be returned by the next write, once.
func TestWriteError(t *testing.T) {
	failure := errors.New("pipe closed")
	w := NewBatchWriter(&recorder{err: failure})

	_, err := w.Write([]byte("a\n"))
	assert.NilError(t, err)
	w.Flush()

	_, err = w.Write([]byte("b\n"))
	assert.ErrorIs(t, err, failure)

	_, err = w.Write([]byte("c\n"))
	assert.NilError(t, err)
}
