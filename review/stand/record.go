package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run, with the time since its start.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	begun time.Time
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}

	return &recorder{file: file, begun: time.Now()}, nil
}

// logf writes one line.
func (r *recorder) logf(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()

	line := fmt.Sprintf(format, arguments...)
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.begun).Seconds(), line)
}
