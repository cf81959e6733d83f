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

// oracle is what the jobs of a ledger should come to, kept in the plainest way.
type oracle struct {
	state    *State
	index    uint64
	term     uint64
	capacity map[string]mill.Resources
	jobs     map[string]mill.JobSpec
	final    map[string]mill.TaskState
}

func (o *oracle) apply(command Command) Result {
	o.index++

	return o.state.Apply(o.index, &command)
}

// TestFuzzPlacements sends right and wrong placements and endings, of this term
// and of others, and checks that no worker is ever given more than it has, that
// placements are all or nothing, and that what has ended stays ended.
func TestFuzzPlacements(t *testing.T) {
	seeds.SetChecks(t, 3000)
	rapid.Check(t, func(t *rapid.T) {
		o := &oracle{
			state:    NewState(),
			capacity: make(map[string]mill.Resources),
			jobs:     make(map[string]mill.JobSpec),
			final:    make(map[string]mill.TaskState),
		}

		t.Repeat(map[string]func(*rapid.T){
			"lead":     o.lead,
			"enroll":   o.enroll,
			"submit":   o.submit,
			"assign":   o.assign,
			"assign2":  o.assign,
			"end":      o.end,
			"cancel":   o.cancel,
			"reload":   o.reload,
			"check":    func(*rapid.T) {},
			"":         o.check,
			"oldTerms": o.oldTerms,
		})
	})
}

func (o *oracle) lead(t *rapid.T) {
	term := o.term + uint64(rapid.IntRange(0, 2).Draw(t, "ahead"))
	result := o.apply(Command{Lead: &Lead{Holder: fmt.Sprint("s", term), Term: term}})

	if term == o.term+1 {
		assert.Equal(t, result.Status, StatusOK)

		o.term = term
	}
}

func (o *oracle) enroll(t *rapid.T) {
	name := drawWorker(t)
	capacity := mill.Resources{
		MilliCores:   int64(rapid.IntRange(1, 4).Draw(t, "cores")),
		MemoryMiB:    int64(rapid.IntRange(1, 4).Draw(t, "memory")),
		Accelerators: int64(rapid.IntRange(0, 2).Draw(t, "accelerators")),
	}

	// A worker that shrinks below what it runs is the platform's doing; here
	// capacities only grow, so that the sum can be checked at any time.
	old := o.capacity[name]
	capacity = mill.Resources{
		MilliCores:   max(old.MilliCores, capacity.MilliCores),
		MemoryMiB:    max(old.MemoryMiB, capacity.MemoryMiB),
		Accelerators: max(old.Accelerators, capacity.Accelerators),
	}

	if result := o.apply(Command{Enroll: &Enroll{Term: o.term, Worker: name, Capacity: capacity}}); result.Status == StatusOK {
		o.capacity[name] = capacity
	}
}

func (o *oracle) submit(t *rapid.T) {
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

	o.apply(Command{Submit: &Submit{ID: id, Spec: spec}})

	if _, ok := o.jobs[id]; !ok {
		o.jobs[id] = spec
	}
}

func (o *oracle) assign(t *rapid.T) {
	var placements []Placement

	for range rapid.IntRange(1, 4).Draw(t, "placements") {
		ref := o.drawRef(t)
		ref.Attempt += rapid.SampledFrom([]int{1, 1, 1, 0, 2}).Draw(t, "attempt")
		placements = append(placements, Placement{TaskRef: ref, Worker: drawWorker(t)})
	}

	before := o.assigned()
	result := o.apply(Command{Assign: &Assign{Term: o.term, Placements: placements}})
	after := o.assigned()

	if result.Status == StatusOK {
		assert.Equal(t, after, before+len(placements))
	} else {
		assert.Equal(t, after, before)
	}
}

func (o *oracle) end(t *rapid.T) {
	states := []mill.TaskState{mill.TaskDone, mill.TaskFailed, mill.TaskCanceled, mill.TaskPending}
	ref := o.drawRef(t)
	ref.Attempt += rapid.SampledFrom([]int{0, 0, 0, -1, 1}).Draw(t, "attempt")

	o.apply(Command{End: &End{Term: o.term, Endings: []Ending{{
		TaskRef: ref, State: rapid.SampledFrom(states).Draw(t, "state"),
	}}}})
}

func (o *oracle) cancel(t *rapid.T) {
	o.apply(Command{Cancel: &Cancel{ID: fmt.Sprint("job", rapid.IntRange(1, 6).Draw(t, "job"))}})
}

// oldTerms sends what a scheduler would that does not know it was replaced.
func (o *oracle) oldTerms(t *rapid.T) {
	if o.term == 0 {
		return
	}

	before := o.assigned()
	placement := Placement{TaskRef: o.drawRef(t), Worker: drawWorker(t)}
	placement.Attempt++

	result := o.apply(Command{Assign: &Assign{Term: o.term - 1, Placements: []Placement{placement}}})
	assert.Equal(t, result.Status, StatusStale)

	result = o.apply(Command{End: &End{Term: o.term - 1, Endings: []Ending{{TaskRef: o.drawRef(t), State: mill.TaskDone}}}})
	assert.Equal(t, result.Status, StatusStale)
	assert.Equal(t, o.assigned(), before)
}

func (o *oracle) reload(t *rapid.T) {
	data, err := o.state.Save()
	assert.NilError(t, err)

	o.state, err = LoadState(data)
	assert.NilError(t, err)

	again, err := o.state.Save()
	assert.NilError(t, err)
	assert.Equal(t, string(again), string(data))
}

func (o *oracle) check(t *rapid.T) {
	used := make(map[string]mill.Resources)

	for id, spec := range o.jobs {
		job, ok := o.state.Find(id)
		assert.Assert(t, ok, id)

		for i := range job.Tasks {
			task := &job.Tasks[i]
			name := fmt.Sprint(id, "/", i)

			if ended, ok := o.final[name]; ok {
				assert.Equal(t, task.State, ended, name)
			}

			if task.State.Final() {
				o.final[name] = task.State
			}

			if task.State == mill.TaskAssigned {
				used[task.Worker] = used[task.Worker].Add(spec.PerTask)
			}
		}
	}

	for name, sum := range used {
		assert.Assert(t, sum.Fits(o.capacity[name]), "%s has %+v and is given %+v", name, o.capacity[name], sum)
	}
}

func (o *oracle) assigned() int {
	count := 0

	for id := range o.jobs {
		job, _ := o.state.Find(id)
		for i := range job.Tasks {
			if job.Tasks[i].State == mill.TaskAssigned {
				count++
			}
		}
	}

	return count
}

// drawRef returns a task with its attempt, sometimes one that is not there.
func (o *oracle) drawRef(t *rapid.T) mill.TaskRef {
	ref := mill.TaskRef{
		Job:   fmt.Sprint("job", rapid.IntRange(1, 6).Draw(t, "job")),
		Index: rapid.IntRange(0, 4).Draw(t, "index"),
	}

	if job, ok := o.state.Find(ref.Job); ok && ref.Index < len(job.Tasks) {
		ref.Attempt = job.Tasks[ref.Index].Attempt
	}

	return ref
}

func drawWorker(t *rapid.T) string {
	return rapid.SampledFrom([]string{"w1", "w2", "w3"}).Draw(t, "worker")
}

// TestFuzzIntents sends begins, finishes, voids and abandons of several entries
// in any order, late and doubled, and checks that two attempts at one key are
// never both told to run, unless the first was voided before.
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
					return // Its owner has answered "not run" and sends no more of it.
				}

				result := apply(Command{Begin: &Begin{Key: key, Digest: []byte(key), Attempt: attempt}})
				if result.Status == StatusNew {
					holder, ok := granted[key]
					assert.Assert(t, !ok || holder == attempt, "%v and %v are both told to run %s", holder, attempt, key)

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
