package plan

// The policy on tasks that crash their workers. It answers a load in which some tasks crash each worker that
// starts them: the other tasks on those workers lose their runs too and must not be given up for that.
const (
	// sharedSuspicion is added to a task's suspicion by a crash that several tasks may have caused, and
	// soleSuspicion by one that no other task can have caused.
	sharedSuspicion = 1
	soleSuspicion   = 2
	// maxSuspicion is the suspicion at which a task is given up: two crashes, one of which no other task can have
	// caused, or three crashes.
	maxSuspicion = 3
	// isolatingShare is the share of a pool, one worker in this many, that may run a suspected task by itself at a
	// time: they take no other new task meanwhile.
	isolatingShare = 4
)

// CrashSuspicion returns how much a worker's crash adds to the suspicion of each task that may have caused it, given
// the number of these tasks.
func CrashSuspicion(suspects int) int {
	if suspects == 1 {
		return soleSuspicion
	}

	return sharedSuspicion
}

// GivesUp reports whether a task is not started again because its runs have crashed their workers.
func GivesUp(suspicion int) bool {
	return suspicion >= maxSuspicion
}

// MaxIsolatingWorkers returns how many workers of a pool may run a suspected task by itself at a time.
func MaxIsolatingWorkers(pool int) int {
	return max(1, pool/isolatingShare)
}
