package core

import (
	"sync"
	"time"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// forgetWorker is how long a silent worker stays in the table.
const forgetWorker = 30 * time.Second

// heardStatus is a status with when it came.
type heardStatus struct {
	status *mill.WorkerStatus
	at     time.Time
}

// table is what this process knows of the workers, for when it comes to lead.
type table struct {
	mu   sync.Mutex
	byID map[string]heardStatus
}

// add takes note of a status and reports whether it is newer than what was known.
func (t *table) add(status *mill.WorkerStatus, at time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()

	if t.byID == nil {
		t.byID = make(map[string]heardStatus)
	}

	known, ok := t.byID[status.ID]
	if ok && !status.NewerThan(known.status) {
		return false
	}

	t.byID[status.ID] = heardStatus{status: status, at: at}

	return true
}

// remove forgets a worker that ends.
func (t *table) remove(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()

	delete(t.byID, id)
}

// len returns the number of workers that were heard of.
func (t *table) len() int {
	t.mu.Lock()
	defer t.mu.Unlock()

	return len(t.byID)
}

// all returns the statuses that are not too old, and forgets the others.
func (t *table) all(now time.Time) []heardStatus {
	t.mu.Lock()
	defer t.mu.Unlock()

	list := make([]heardStatus, 0, len(t.byID))

	for id, known := range t.byID {
		if now.Sub(known.at) > forgetWorker {
			delete(t.byID, id)

			continue
		}

		list = append(list, known)
	}

	return list
}
