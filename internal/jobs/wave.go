package jobs

import (
	"maps"
	"slices"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// Wave is the state of one wave of upkeep.
type Wave struct {
	Plan mill.Wave `cbor:"1,keyasint"`
	// Settled holds the machines that have begun their upkeep, or are gone.
	Settled map[string]bool `cbor:"2,keyasint,omitempty"`
}

// Complete reports whether every machine is settled.
func (w *Wave) Complete() bool {
	return len(w.Settled) == len(w.Plan.Machines)
}

// Has reports whether the machine is part of the wave.
func (w *Wave) Has(machine string) bool {
	_, found := slices.BinarySearch(w.Plan.Machines, machine)

	return found
}

// Waves returns all waves by number. The caller must not change the map.
func (s *State) Waves() map[int]*Wave {
	return s.content.Waves
}

// Wave returns the wave of the number.
func (s *State) Wave(number int) (*Wave, bool) {
	wave, ok := s.content.Waves[number]

	return wave, ok
}

// OpenWaves returns the waves that are not complete, the lowest number first.
func (s *State) OpenWaves() []*Wave {
	var open []*Wave

	for _, number := range slices.Sorted(maps.Keys(s.content.Waves)) {
		if wave := s.content.Waves[number]; !wave.Complete() {
			open = append(open, wave)
		}
	}

	return open
}

func (s *State) startWave(plan *mill.Wave) Result {
	if _, ok := s.content.Waves[plan.Number]; ok {
		return ResultApplied
	}

	if s.content.Waves == nil {
		s.content.Waves = make(map[int]*Wave)
	}

	wave := &Wave{Plan: *plan, Settled: make(map[string]bool)}
	wave.Plan.Machines = slices.Compact(slices.Sorted(slices.Values(plan.Machines)))
	s.content.Waves[plan.Number] = wave

	s.dropWaves()

	return ResultApplied
}

// dropWaves forgets the complete waves with the lowest numbers beyond a bound.
func (s *State) dropWaves() {
	for _, number := range slices.Sorted(maps.Keys(s.content.Waves)) {
		if len(s.content.Waves) <= mill.MaxWaves {
			return
		}

		if s.content.Waves[number].Complete() {
			delete(s.content.Waves, number)
		}
	}
}

func (s *State) settle(upkeep *Upkeep) Result {
	wave, ok := s.content.Waves[upkeep.Wave]
	if !ok || !slices.Contains(wave.Plan.Machines, upkeep.Machine) {
		return ResultObsolete
	}

	if wave.Settled == nil {
		wave.Settled = make(map[string]bool)
	}

	wave.Settled[upkeep.Machine] = true

	return ResultApplied
}
