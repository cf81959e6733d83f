package core

import (
	"sync"
	"time"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// statusRetention is how long a worker that does not report stays in the table.
const statusRetention = 30 * time.Second

// receivedStatus is a worker status with the time of its arrival.
type receivedStatus struct {
	status     *mill.WorkerStatus
	receivedAt time.Time
}

// workerTable holds the latest status of each worker, for when this process becomes leader.
type workerTable struct {
	mu   sync.Mutex
	byID map[string]receivedStatus
}

// add records a status and reports whether it is newer than the known one.
func (t *workerTable) add(status *mill.WorkerStatus, at time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()

	if t.byID == nil {
		t.byID = make(map[string]receivedStatus)
	}

	known, ok := t.byID[status.ID]
	if ok && !status.NewerThan(known.status) {
		return false
	}

	t.byID[status.ID] = receivedStatus{status: status, receivedAt: at}

	return true
}

// remove deletes a worker that shuts down.
func (t *workerTable) remove(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()

	delete(t.byID, id)
}

// dataCentre returns the data centre of a worker, or "" if it is not known.
func (t *workerTable) dataCentre(id string) string {
	t.mu.Lock()
	defer t.mu.Unlock()

	known, ok := t.byID[id]
	if !ok {
		return ""
	}

	return known.status.DataCentre
}

// len returns the number of workers in the table.
func (t *workerTable) len() int {
	t.mu.Lock()
	defer t.mu.Unlock()

	return len(t.byID)
}

// recent returns the statuses within the retention time and deletes the others.
func (t *workerTable) recent(now time.Time) []receivedStatus {
	t.mu.Lock()
	defer t.mu.Unlock()

	list := make([]receivedStatus, 0, len(t.byID))

	for id, known := range t.byID {
		if now.Sub(known.receivedAt) > statusRetention {
			delete(t.byID, id)

			continue
		}

		list = append(list, known)
	}

	return list
}
