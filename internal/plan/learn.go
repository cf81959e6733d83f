package plan

import "time"

// learnWeight is the share of the newest run in the learned ratio: about the last
// twenty runs of a queue count, so that it follows a change within a second of ordinary traffic.
const learnWeight = 0.05

// Estimates corrects the run times that submitters guess by those that were seen,
// per queue; its zero value trusts the guesses.
type Estimates struct {
	ratios map[string]float64
}

// Learn takes note of a run that took a time and was guessed to take another.
func (e *Estimates) Learn(queue string, took, guessed time.Duration) {
	if took <= 0 || guessed <= 0 {
		return
	}

	if e.ratios == nil {
		e.ratios = make(map[string]float64)
	}

	seen := float64(took) / float64(guessed)

	old, ok := e.ratios[queue]
	if !ok {
		old = 1
	}

	e.ratios[queue] = old + learnWeight*(seen-old)
}

// Correct returns what a run that is guessed to take a time will take.
func (e *Estimates) Correct(queue string, guessed time.Duration) time.Duration {
	ratio, ok := e.ratios[queue]
	if !ok {
		return guessed
	}

	return time.Duration(float64(guessed) * ratio)
}
