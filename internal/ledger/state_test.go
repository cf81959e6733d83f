package ledger

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cranberrymill/cranberrymill/internal/seeds"
	"github.com/cranberrymill/cranberrymill/internal/wire"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// placementModel is a simple model of the jobs of a ledger.
type placementModel struct {
	state    *State
	index    uint64
	term     uint64
	capacity map[string]mill.Resources
	jobs     map[string]mill.JobSpec
	final    map[string]mill.TaskState
}

func (m *placementModel) apply(command Command) Result {
	m.index++

	return m.state.Apply(m.index, &command)
}

// TestFuzzPlacements applies valid and invalid placements and completions of the
// current and other terms. It checks that no worker is assigned more than its
// capacity, that placements are all or nothing, and that final tasks stay final.
func TestFuzzPlacements(t *testing.T) {
	seeds.SetChecks(t, 3000)
	rapid.Check(t, func(t *rapid.T) {
		m := &placementModel{
			state:    NewState(),
			capacity: make(map[string]mill.Resources),
			jobs:     make(map[string]mill.JobSpec),
			final:    make(map[string]mill.TaskState),
		}

		t.Repeat(map[string]func(*rapid.T){
			"lead":     m.lead,
			"enroll":   m.enroll,
			"submit":   m.submit,
			"assign":   m.assign,
			"assign2":  m.assign,
			"end":      m.end,
			"cancel":   m.cancel,
			"reload":   m.reload,
			"check":    func(*rapid.T) {},
			"":         m.check,
			"oldTerms": m.staleTerm,
		})
	})
}

func (m *placementModel) lead(t *rapid.T) {
	term := m.term + uint64(rapid.IntRange(0, 2).Draw(t, "ahead"))
	result := m.apply(Command{Lead: &Lead{Holder: fmt.Sprint("s", term), Term: term}})

	if term == m.term+1 {
		assert.Equal(t, result.Status, StatusOK)

		m.term = term
	}
}

func (m *placementModel) enroll(t *rapid.T) {
	name := drawWorker(t)
	capacity := mill.Resources{
		MilliCores:   int64(rapid.IntRange(1, 4).Draw(t, "cores")),
		MemoryMiB:    int64(rapid.IntRange(1, 4).Draw(t, "memory")),
		Accelerators: int64(rapid.IntRange(0, 2).Draw(t, "accelerators")),
	}

	// A worker may shrink below its usage when the platform changes it. Here
	// capacities only grow, so that the sum can be checked at any time.
	old := m.capacity[name]
	capacity = mill.Resources{
		MilliCores:   max(old.MilliCores, capacity.MilliCores),
		MemoryMiB:    max(old.MemoryMiB, capacity.MemoryMiB),
		Accelerators: max(old.Accelerators, capacity.Accelerators),
	}

	if result := m.apply(Command{Enroll: &Enroll{Term: m.term, Worker: name, Capacity: capacity}}); result.Status == StatusOK {
		m.capacity[name] = capacity
	}
}

func (m *placementModel) submit(t *rapid.T) {
	id := fmt.Sprint("job", rapid.IntRange(1, 6).Draw(t, "job"))
	spec := mill.JobSpec{
		Kind:  rapid.SampledFrom([]mill.JobKind{mill.KindBatch, mill.KindAllAtOnce}).Draw(t, "kind"),
		Tasks: rapid.IntRange(1, 4).Draw(t, "tasks"),
		PerTask: mill.Resources{
			MilliCores:   int64(rapid.IntRange(0, 2).Draw(t, "cores")),
			MemoryMiB:    int64(rapid.IntRange(0, 2).Draw(t, "memory")),
			Accelerators: int64(rapid.IntRange(0, 1).Draw(t, "accelerators")),
		},
		MaxRetries: rapid.IntRange(0, 1).Draw(t, "retries"),
	}

	m.apply(Command{Submit: &Submit{ID: id, Spec: spec}})

	if _, ok := m.jobs[id]; !ok {
		m.jobs[id] = spec
	}
}

func (m *placementModel) assign(t *rapid.T) {
	var placements []Placement

	for range rapid.IntRange(1, 4).Draw(t, "placements") {
		ref := m.drawRef(t)
		ref.Attempt += rapid.SampledFrom([]int{1, 1, 1, 0, 2}).Draw(t, "attempt")
		placements = append(placements, Placement{TaskRef: ref, Worker: drawWorker(t)})
	}

	before := m.assignedCount()
	result := m.apply(Command{Assign: &Assign{Term: m.term, Placements: placements}})
	after := m.assignedCount()

	if result.Status == StatusOK {
		assert.Equal(t, after, before+len(placements))
	} else {
		assert.Equal(t, after, before)
	}
}

func (m *placementModel) end(t *rapid.T) {
	states := []mill.TaskState{mill.TaskDone, mill.TaskFailed, mill.TaskCanceled, mill.TaskPending}
	ref := m.drawRef(t)
	ref.Attempt += rapid.SampledFrom([]int{0, 0, 0, -1, 1}).Draw(t, "attempt")

	m.apply(Command{Complete: &Complete{Term: m.term, Completions: []Completion{{
		TaskRef: ref, State: rapid.SampledFrom(states).Draw(t, "state"),
	}}}})
}

func (m *placementModel) cancel(t *rapid.T) {
	m.apply(Command{Cancel: &Cancel{ID: fmt.Sprint("job", rapid.IntRange(1, 6).Draw(t, "job"))}})
}

// staleTerm applies commands of a scheduler that does not know that it was replaced.
func (m *placementModel) staleTerm(t *rapid.T) {
	if m.term == 0 {
		return
	}

	before := m.assignedCount()
	placement := Placement{TaskRef: m.drawRef(t), Worker: drawWorker(t)}
	placement.Attempt++

	result := m.apply(Command{Assign: &Assign{Term: m.term - 1, Placements: []Placement{placement}}})
	assert.Equal(t, result.Status, StatusStale)

	result = m.apply(Command{Complete: &Complete{Term: m.term - 1, Completions: []Completion{{
		TaskRef: m.drawRef(t), State: mill.TaskDone,
	}}}})
	assert.Equal(t, result.Status, StatusStale)
	assert.Equal(t, m.assignedCount(), before)
}

func (m *placementModel) reload(t *rapid.T) {
	data, err := m.state.Save()
	assert.NilError(t, err)

	m.state, err = LoadState(data)
	assert.NilError(t, err)

	again, err := m.state.Save()
	assert.NilError(t, err)
	assert.Equal(t, string(again), string(data))
}

func (m *placementModel) check(t *rapid.T) {
	used := make(map[string]mill.Resources)

	for id, spec := range m.jobs {
		job, ok := m.state.Find(id)
		assert.Assert(t, ok, id)

		for i := range job.Tasks {
			task := &job.Tasks[i]
			name := fmt.Sprint(id, "/", i)

			if final, ok := m.final[name]; ok {
				assert.Equal(t, task.State, final, name)
			}

			if task.State.Final() {
				m.final[name] = task.State
			}

			if task.State == mill.TaskAssigned {
				used[task.Worker] = used[task.Worker].Add(spec.PerTask)
			}
		}
	}

	for name, sum := range used {
		assert.Assert(t, sum.Fits(m.capacity[name]), "%s has capacity %+v and is assigned %+v", name, m.capacity[name], sum)
	}
}

func (m *placementModel) assignedCount() int {
	count := 0

	for id := range m.jobs {
		job, _ := m.state.Find(id)
		for i := range job.Tasks {
			if job.Tasks[i].State == mill.TaskAssigned {
				count++
			}
		}
	}

	return count
}

// drawRef returns a reference to a task's current attempt, or sometimes to a task that does not exist.
func (m *placementModel) drawRef(t *rapid.T) mill.TaskRef {
	ref := mill.TaskRef{
		Job:   fmt.Sprint("job", rapid.IntRange(1, 6).Draw(t, "job")),
		Index: rapid.IntRange(0, 4).Draw(t, "index"),
	}

	if job, ok := m.state.Find(ref.Job); ok && ref.Index < len(job.Tasks) {
		ref.Attempt = job.Tasks[ref.Index].Attempt
	}

	return ref
}

func drawWorker(t *rapid.T) string {
	return rapid.SampledFrom([]string{"w1", "w2", "w3"}).Draw(t, "worker")
}

// TestFuzzIntents applies Begin, Finish, Void and Abandon commands of several
// entry servers in any order, some of them late or duplicated. It checks that no
// two attempts at a key are both allowed to run, unless the first was voided
// before.
func TestFuzzIntents(t *testing.T) {
	seeds.SetChecks(t, 3000)
	rapid.Check(t, func(t *rapid.T) {
		state := NewState()
		index := uint64(0)
		granted := make(map[string]Attempt)
		voided := make(map[keyAttempt]bool)
		answers := make(map[string]string)

		apply := func(command Command) Result {
			index++

			return state.Apply(index, &command)
		}

		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				key, attempt := drawKey(t), drawAttempt(t)
				if voided[keyAttempt{key, attempt}] {
					return // Its owner has answered "not run" and does not send it again.
				}

				result := apply(Command{Begin: &Begin{Key: key, Digest: []byte(key), Attempt: attempt}})
				if result.Status == StatusNew {
					holder, ok := granted[key]
					assert.Assert(t, !ok || holder == attempt, "%v and %v are both allowed to run %s", holder, attempt, key)

					granted[key] = attempt
				}

				if result.Status == StatusDone {
					assert.Equal(t, string(result.Answer.Body), answers[key])
				}
			},
			"lateBegin": func(t *rapid.T) {
				key, attempt := drawKey(t), drawAttempt(t)
				result := apply(Command{Begin: &Begin{Key: key, Digest: []byte(key), Attempt: attempt}})

				if result.Status == StatusNew && !voided[keyAttempt{key, attempt}] {
					granted[key] = attempt
				}
			},
			"finish": func(t *rapid.T) {
				key := drawKey(t)
				if attempt, ok := granted[key]; ok {
					body := fmt.Sprint("answer", index)
					result := apply(Command{Finish: &Finish{Key: key, Attempt: attempt, Answer: Answer{Body: []byte(body)}}})

					if _, known := answers[key]; !known && result.Status == StatusDone {
						answers[key] = body
					}
				}
			},
			"strayFinish": func(t *rapid.T) {
				key, attempt := drawKey(t), drawAttempt(t)
				if granted[key] != attempt {
					result := apply(Command{Finish: &Finish{Key: key, Attempt: attempt, Answer: Answer{Body: []byte("stray")}}})
					assert.Assert(t, result.Status != StatusDone || answers[key] != "", result.Status)

					intent, _ := state.Intent(key)
					assert.Assert(t, intent.Answer == nil || string(intent.Answer.Body) != "stray")
				}
			},
			"void": func(t *rapid.T) {
				key := drawKey(t)
				attempt, ok := granted[key]

				if !ok || answers[key] != "" {
					return
				}

				if result := apply(Command{Void: &Void{Key: key, Attempt: attempt}}); result.Status == StatusVoided {
					delete(granted, key)

					voided[keyAttempt{key, attempt}] = true
				}
			},
			"abandon": func(t *rapid.T) {
				key := drawKey(t)
				if attempt, ok := granted[key]; ok {
					apply(Command{Abandon: &Abandon{Key: key, Attempt: attempt}})
				}
			},
			"reload": func(t *rapid.T) {
				data, err := state.Save()
				assert.NilError(t, err)

				state, err = LoadState(data)
				assert.NilError(t, err)
			},
		})
	})
}

// keyAttempt is an attempt at a key.
type keyAttempt struct {
	key     string
	attempt Attempt
}

func drawKey(t *rapid.T) string {
	return rapid.SampledFrom([]string{"k1", "k2"}).Draw(t, "key")
}

func drawAttempt(t *rapid.T) Attempt {
	return Attempt{
		Owner:       rapid.SampledFrom([]string{"e1", "e2"}).Draw(t, "owner"),
		Incarnation: 1,
		Sequence:    uint64(rapid.IntRange(1, 6).Draw(t, "sequence")),
	}
}

// TestFinishedIntentsAreBounded checks that recorded answers do not use memory or
// snapshot space beyond MaxFinishedBytes: the oldest intents are evicted first.
func TestFinishedIntentsAreBounded(t *testing.T) {
	state := NewState()
	body := make([]byte, 1<<20)

	for i := range 40 {
		key := fmt.Sprint("k", i)
		attempt := Attempt{Owner: "e", Sequence: uint64(i + 1)}

		state.Apply(uint64(2*i+1), &Command{Begin: &Begin{Key: key, Attempt: attempt}})
		state.Apply(uint64(2*i+2), &Command{Finish: &Finish{Key: key, Attempt: attempt, Answer: Answer{Body: body}}})
	}

	assert.Assert(t, state.intents.bytes <= MaxFinishedBytes)

	_, ok := state.Intent("k39")
	assert.Assert(t, ok)

	_, ok = state.Intent("k0")
	assert.Assert(t, !ok)

	data, err := state.Save()
	assert.NilError(t, err)
	assert.Assert(t, len(data) <= MaxFinishedBytes+1<<20)

	var saved snapshot

	assert.NilError(t, wire.Decode(data, &saved))
}
