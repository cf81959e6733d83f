package plan

import "time"

// The policy on tasks that crash their workers. It answers two loads: tasks that crash each worker that starts them, at
// once, which must not take down one worker after another, and workers that crash for other reasons, several at a time and
// repeatedly, which must not fail a job.
const (
	// weakSuspicion is added by the first crash, so that the task is isolated, and sharedStrongSuspicion if workers hardly ever
	// crash otherwise. soleSuspicion and soleStrongSuspicion are added by a crash that no other run explains, weakSuspicion
	// if the run may have ended before.
	weakSuspicion         = 1
	sharedStrongSuspicion = 2
	soleSuspicion         = 2
	soleStrongSuspicion   = 3
	// maxSuspicion is the suspicion at which a task is given up: after two strong crashes or after three, of which no
	// other run explains one of two and two of three, and after more if the runs may have ended before.
	maxSuspicion = 5
	// maxCrashChance is the chance of a crash for other reasons up to which a crash counts against the only suspect: two others
	// of a pool of 30 crash at the same time. Three such crashes by chance are rarer than 1 in 1,900 even then.
	maxCrashChance = 0.08
	// strongCrashChance is that up to which a crash is strong. Two such crashes by chance are rarer than 1 in 10^6.
	strongCrashChance = 0.001
	// justBegun is how long a run may have lasted at the most when its worker crashed: 200 ms for the crash, and the 600 ms
	// after which a call is unanswered.
	justBegun = 800 * time.Millisecond
	// maxCrashPause limits the pause before a suspected task starts again, so that it starts within the 3 s that a job may
	// wait beside room for it.
	maxCrashPause = 2 * time.Second
	// initialCrashPause is the pause after the second crash; each further one is twice as long.
	initialCrashPause = 250 * time.Millisecond
	// isolatingShare is the share of a pool, one worker in this many, that may run a suspected task by itself at a
	// time: they take no other new task meanwhile.
	isolatingShare = 4
)

const (
	// CrashesTogether is how far apart crashes with one cause are noticed at the most: the time that the connections of one
	// machine or rack take to break.
	CrashesTogether = 100 * time.Millisecond
	// CrashRateSpan is the time over which crashes are counted.
	CrashRateSpan = 30 * time.Second
	// MinCrashRateSpan is the least time over which those that a new leader has noticed are counted.
	MinCrashRateSpan = 10 * time.Second
)

// CrashGroup is a group of workers that may crash for one reason: a pool, or a data centre.
type CrashGroup struct {
	// Workers is the number of other workers, and Together how many of them crashed, or fell silent, at about the same time.
	Workers  int
	Together int
}

// Add adds another worker to the group.
func (g *CrashGroup) Add(together bool) {
	g.Workers++

	if together {
		g.Together++
	}
}

func (g *CrashGroup) share() float64 {
	if g.Workers == 0 {
		return 0
	}

	return float64(g.Together) / float64(g.Workers)
}

// Crash is what is known of the crash of a worker, for one of the runs that may have caused it.
type Crash struct {
	// Suspects is the number of runs that may have caused it.
	Suspects int
	// Lifetime is how long the run had lasted at the most, and Estimate how long such runs take.
	Lifetime time.Duration
	Estimate time.Duration
	// Ending says that the run was being stopped or has lost its gang, so that it may have ended before the crash.
	Ending     bool
	Pool       CrashGroup
	DataCentre CrashGroup
	// Recent is the number of other crashes within Span among the Workers of the pool.
	Recent  int
	Workers int
	Span    time.Duration
}

// Suspicion returns how much the crash adds to the suspicion of the run's task: the first crash has it isolated, and later
// ones count if no other run and hardly chance explains them.
func (c *Crash) Suspicion(earlier int) int {
	chance := c.chance()
	strong := chance <= strongCrashChance

	switch sole := c.Suspects == 1 && chance <= maxCrashChance; {
	case !c.begun():
		return firstOnly(earlier, weakSuspicion)
	case sole && c.mayHaveEnded():
		return weakSuspicion
	case sole && strong:
		return soleStrongSuspicion
	case sole:
		return soleSuspicion
	case strong && !c.mayHaveEnded():
		return firstOnly(earlier, sharedStrongSuspicion)
	default:
		return firstOnly(earlier, weakSuspicion)
	}
}

// firstOnly returns what a crash adds that has the task isolated and says nothing more.
func firstOnly(earlier, suspicion int) int {
	if earlier > 0 {
		return 0
	}

	return suspicion
}

// begun reports whether the run had just begun, as far as is known.
func (c *Crash) begun() bool {
	return !c.Ending && c.Lifetime <= justBegun
}

// mayHaveEnded reports whether the run may have ended before the crash, and its end was not read. That takes a crash or a
// broken link at the very moment, so it is no excuse time and again.
func (c *Crash) mayHaveEnded() bool {
	return c.Lifetime >= c.Estimate
}

// chance returns the probability that the worker crashed for another reason while the run lasted: the share of the other
// workers that crashed at the same time, or that of all that crash in such a time.
func (c *Crash) chance() float64 {
	share := max(c.Pool.share(), c.DataCentre.share())
	if c.Span <= 0 || c.Workers == 0 {
		return share
	}

	return max(share, float64(c.Recent)/float64(c.Workers)*c.Lifetime.Seconds()/c.Span.Seconds())
}

// GivesUp reports whether a task is not started again because its runs have crashed their workers.
func GivesUp(suspicion int) bool {
	return suspicion >= maxSuspicion
}

// CrashPause returns the pause before a suspected task starts again after a number of crashes: it bounds how many workers
// a task takes down that cannot be given up because workers crash anyway.
func CrashPause(crashes int) time.Duration {
	pause := time.Duration(0)

	for range crashes - 1 {
		pause = min(max(initialCrashPause, 2*pause), maxCrashPause)
	}

	return pause
}

// MaxIsolatingWorkers returns how many workers of a pool may run a suspected task by itself at a time.
func MaxIsolatingWorkers(pool int) int {
	return max(1, pool/isolatingShare)
}
