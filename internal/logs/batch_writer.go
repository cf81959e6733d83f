package logs

import (
	"io"
	"sync"
	"time"
)

const (
	// flushDelay is the longest time for which a line is held back.
	flushDelay = 50 * time.Millisecond
	// flushBytes is the size from which a batch is written without waiting: what a pipe takes as a whole.
	flushBytes = 4 << 10
)

// BatchWriter collects what is written to it, and writes it to another writer in batches. It is safe for
// concurrent use.
type BatchWriter struct {
	writer io.Writer

	mu     sync.Mutex
	buffer []byte
	err    error
}

// NewBatchWriter returns a writer of batches to another writer.
func NewBatchWriter(writer io.Writer) *BatchWriter {
	return &BatchWriter{writer: writer}
}

// Write adds data to the batch. It returns the error of an earlier batch that could not be written.
func (w *BatchWriter) Write(data []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()

	if len(w.buffer) == 0 {
		time.AfterFunc(flushDelay, w.Flush)
	}

	w.buffer = append(w.buffer, data...)
	if len(w.buffer) >= flushBytes {
		w.flush()
	}

	err := w.err
	w.err = nil

	return len(data), err
}

// Flush writes the batch.
func (w *BatchWriter) Flush() {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.flush()
}

func (w *BatchWriter) flush() {
	if len(w.buffer) == 0 {
		return
	}

	_, w.err = w.writer.Write(w.buffer)
	w.buffer = w.buffer[:0]
}
