package lead

// workerReplaced records that another worker answers at a worker's address: the worker has stopped, with all its
// runs.
func (s *Scheduler) workerReplaced(w *worker) {
	s.recordCrash(w)

	w.gone = true
}

// recordCrash records that a worker has ended while runs were active on it, unless it had announced that or its machine
// is in maintenance.
func (s *Scheduler) recordCrash(w *worker) {
	if w.gone || w.status.Draining || !w.leavingSince.IsZero() || s.mayBeDown(w) {
		return
	}

	for _, r := range w.runs {
		r.workerCrashed = r.workerCrashed || !r.startedAt.IsZero()
	}
}
