package jobs

import (
	"maps"
	"slices"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// Wave is the state of one maintenance wave.
type Wave struct {
	Spec mill.Wave `cbor:"1,keyasint"`
	// Settled holds the machines that need no further attention: their maintenance has begun, or they
	// no longer exist.
	Settled map[string]bool `cbor:"2,keyasint,omitempty"`
}

// Complete reports whether every machine is settled.
func (w *Wave) Complete() bool {
	return len(w.Settled) == len(w.Spec.Machines)
}

// Has reports whether the machine is part of the wave.
func (w *Wave) Has(machine string) bool {
	_, found := slices.BinarySearch(w.Spec.Machines, machine)

	return found
}

// Waves returns all waves by number. The caller must not modify the map.
func (s *State) Waves() map[int]*Wave {
	return s.stored.Waves
}

// Wave returns the wave with that number.
func (s *State) Wave(number int) (*Wave, bool) {
	wave, ok := s.stored.Waves[number]

	return wave, ok
}

// IncompleteWaves returns the incomplete waves in ascending order of their numbers.
func (s *State) IncompleteWaves() []*Wave {
	var incomplete []*Wave

	for _, number := range slices.Sorted(maps.Keys(s.stored.Waves)) {
		if wave := s.stored.Waves[number]; !wave.Complete() {
			incomplete = append(incomplete, wave)
		}
	}

	return incomplete
}

func (s *State) startWave(spec *mill.Wave) Result {
	if _, ok := s.stored.Waves[spec.Number]; ok {
		return ResultApplied
	}

	if s.stored.Waves == nil {
		s.stored.Waves = make(map[int]*Wave)
	}

	wave := &Wave{Spec: *spec, Settled: make(map[string]bool)}
	wave.Spec.Machines = slices.Compact(slices.Sorted(slices.Values(spec.Machines)))
	s.stored.Waves[spec.Number] = wave

	s.forgetCompleteWaves()

	return ResultApplied
}

// forgetCompleteWaves deletes complete waves, the lowest numbers first, while there are more than mill.MaxWaves.
func (s *State) forgetCompleteWaves() {
	for _, number := range slices.Sorted(maps.Keys(s.stored.Waves)) {
		if len(s.stored.Waves) <= mill.MaxWaves {
			return
		}

		if s.stored.Waves[number].Complete() {
			delete(s.stored.Waves, number)
		}
	}
}

func (s *State) settleMachine(settle *SettleMachine) Result {
	wave, ok := s.stored.Waves[settle.Wave]
	if !ok || !slices.Contains(wave.Spec.Machines, settle.Machine) {
		return ResultObsolete
	}

	if wave.Settled == nil {
		wave.Settled = make(map[string]bool)
	}

	wave.Settled[settle.Machine] = true

	return ResultApplied
}
