package plan

import "time"

const (
	// learnDecay is what an older run counts against the next one: about the last hundred
	// runs of a queue count, which at ordinary traffic are those of some seconds to a minute.
	learnDecay = 0.99
	// guessRuns is how many seen runs the guesses themselves weigh as much as.
	guessRuns = 3
	// knownRuns is how many runs of a queue others are judged by.
	knownRuns = 10
	// flatShare is the spread of guesses, as a share of their square, below which
	// they are taken to be wrong by a factor.
	flatShare = 0.02
	// leastShare bounds a correction: no run is taken to be shorter than this share
	// of the queue's mean.
	leastShare = 0.1
)

// Estimates corrects the run times that submitters guess by those that were seen,
// per queue; its zero value trusts the guesses. It answers queues whose guesses say
// little: the less they have to do with the run times, the closer the corrected ones are
// to the queue's mean.
type Estimates struct {
	fits map[string]*fit
}

// fit holds the decaying sums for a line through the runs seen, in seconds.
type fit struct {
	runs, guessed, took, guessedSquare, product float64
}

// Learn takes note of a run that took a time and was guessed to take another.
func (e *Estimates) Learn(queue string, took, guessed time.Duration) {
	if took <= 0 || guessed <= 0 {
		return
	}

	if e.fits == nil {
		e.fits = make(map[string]*fit)
	}

	f, ok := e.fits[queue]
	if !ok {
		f = &fit{}
		e.fits[queue] = f
	}

	g, t := guessed.Seconds(), took.Seconds()
	f.runs = learnDecay*f.runs + 1
	f.guessed = learnDecay*f.guessed + g
	f.took = learnDecay*f.took + t
	f.guessedSquare = learnDecay*f.guessedSquare + g*g
	f.product = learnDecay*f.product + g*t
}

// Known reports whether enough runs of the queue were seen to judge others by them.
func (e *Estimates) Known(queue string) bool {
	f, ok := e.fits[queue]

	return ok && f.runs > knownRuns
}

// Correct returns what a run that is guessed to take a time will take.
func (e *Estimates) Correct(queue string, guessed time.Duration) time.Duration {
	f, ok := e.fits[queue]
	if !ok || guessed <= 0 {
		return guessed
	}

	trust := f.runs / (f.runs + guessRuns)
	seconds := trust*f.at(guessed.Seconds()) + (1-trust)*guessed.Seconds()

	return time.Duration(seconds * float64(time.Second))
}

// at returns the line's value for a guess: the regression of run times on guesses,
// drawn towards a constant factor where the guesses hardly differ.
func (f *fit) at(guess float64) float64 {
	guessed, took := f.guessed/f.runs, f.took/f.runs
	variance := max(0, f.guessedSquare/f.runs-guessed*guessed)
	covariance := f.product/f.runs - guessed*took
	flat := flatShare * guessed * guessed
	slope := max(0, (covariance+flat*took/guessed)/(variance+flat))

	return max(leastShare*took, took+slope*(guess-guessed))
}
