package ledger

import (
	"bytes"
	"container/list"
	"slices"
)

// The limits on the finished intents kept for requests that are resent.
const (
	MaxFinishedIntents = 1 << 17
	MaxFinishedBytes   = 16 << 20
)

// Intent is the record of one keyed request.
type Intent struct {
	Key     string
	Digest  []byte
	Attempt Attempt
	Status  Status
	Answer  *Answer
	// Voided holds the latest voided attempt of each entry server.
	Voided []Attempt `cbor:",omitempty"`
}

// intents holds the intents by key, and the finished ones also in the order in
// which they finished.
type intents struct {
	byKey    map[string]*Intent
	finished *list.List
	bytes    int
}

func newIntents() *intents {
	return &intents{
		byKey:    make(map[string]*Intent),
		finished: list.New(),
	}
}

func (t *intents) begin(command *Begin) Result {
	intent, ok := t.byKey[command.Key]
	free := !ok || intent.Status == StatusVoided

	switch {
	case free && command.DryRun:
		return Result{Status: StatusNotSynced}
	case !ok:
		return t.open(command, nil)
	case free:
		return t.reopen(intent, command)
	}

	if !bytes.Equal(intent.Digest, command.Digest) {
		return Result{Status: StatusMismatch}
	}

	if intent.Status == StatusInFlight && intent.Attempt == command.Attempt {
		return Result{Status: StatusNew}
	}

	owner := intent.Attempt

	return Result{Status: intent.Status, Owner: &owner, Answer: intent.Answer}
}

func (t *intents) open(command *Begin, voided []Attempt) Result {
	t.byKey[command.Key] = &Intent{
		Key:     command.Key,
		Digest:  command.Digest,
		Attempt: command.Attempt,
		Status:  StatusInFlight,
		Voided:  voided,
	}

	return Result{Status: StatusNew}
}

// reopen opens a voided intent for a new attempt. It rejects an attempt that its
// owner has voided, and any earlier one of that owner: the command arrived late
// and the owner has already answered "not run".
func (t *intents) reopen(intent *Intent, command *Begin) Result {
	attempt := command.Attempt

	for _, old := range intent.Voided {
		if old.sameOwner(attempt) && attempt.Sequence <= old.Sequence {
			return Result{Status: StatusVoided}
		}
	}

	return t.open(command, intent.Voided)
}

func (a Attempt) sameOwner(other Attempt) bool {
	return a.Owner == other.Owner && a.Incarnation == other.Incarnation
}

// recordVoided records a voided attempt. The latest of each owner is enough,
// since an owner numbers its attempts in order.
func (i *Intent) recordVoided(attempt Attempt) {
	for at, old := range i.Voided {
		if old.sameOwner(attempt) {
			// Copies returned by save share the old slice, so it must not change.
			i.Voided = slices.Clone(i.Voided)
			i.Voided[at].Sequence = max(attempt.Sequence, old.Sequence)

			return
		}
	}

	i.Voided = append(slices.Clone(i.Voided), attempt)
}

func (t *intents) finish(command *Finish) Result {
	intent, ok := t.byKey[command.Key]
	if !ok || intent.Attempt != command.Attempt {
		return Result{Status: StatusRefused}
	}

	// A late answer is better than none, so it replaces the status "unknown".
	if intent.Status != StatusInFlight && intent.Status != StatusUnknown {
		return Result{Status: intent.Status}
	}

	answer := command.Answer
	intent.Answer = &answer
	t.markFinished(intent, StatusDone)

	return Result{Status: StatusDone}
}

func (t *intents) void(command *Void) Result {
	intent, ok := t.byKey[command.Key]
	if !ok {
		// The Begin may still be in flight, so the void must be recorded for the key.
		intent = &Intent{Key: command.Key, Attempt: command.Attempt}
		t.byKey[command.Key] = intent
		intent.recordVoided(command.Attempt)
		t.markFinished(intent, StatusVoided)

		return Result{Status: StatusVoided}
	}

	if intent.Attempt != command.Attempt {
		intent.recordVoided(command.Attempt)

		return Result{Status: StatusRefused}
	}

	if intent.Status != StatusInFlight {
		return Result{Status: intent.Status}
	}

	intent.recordVoided(command.Attempt)
	t.markFinished(intent, StatusVoided)

	return Result{Status: StatusVoided}
}

func (t *intents) abandon(command *Abandon) Result {
	intent, ok := t.byKey[command.Key]
	if !ok || intent.Attempt != command.Attempt {
		return Result{Status: StatusRefused}
	}

	if intent.Status == StatusInFlight {
		t.markFinished(intent, StatusUnknown)
	}

	return Result{Status: intent.Status}
}

// markFinished sets the final status of an intent and evicts the oldest finished
// ones beyond the limits.
func (t *intents) markFinished(intent *Intent, status Status) {
	intent.Status = status
	t.addFinished(intent)

	for t.finished.Len() > MaxFinishedIntents || t.bytes > MaxFinishedBytes {
		t.evictOldest()
	}
}

// finishedIntent is a finished intent with the size counted for it.
type finishedIntent struct {
	intent *Intent
	bytes  int
}

func (t *intents) addFinished(intent *Intent) {
	finished := finishedIntent{intent: intent, bytes: intent.size()}
	t.finished.PushBack(finished)
	t.bytes += finished.bytes
}

func (t *intents) evictOldest() {
	oldest := t.finished.Remove(t.finished.Front()).(finishedIntent)
	t.bytes -= oldest.bytes

	if t.byKey[oldest.intent.Key] == oldest.intent {
		delete(t.byKey, oldest.intent.Key)
	}
}

func (i *Intent) size() int {
	size := len(i.Key) + len(i.Digest)

	if i.Answer == nil {
		return size
	}

	for _, header := range i.Answer.Headers {
		size += len(header.Name) + len(header.Value)
	}

	return size + len(i.Answer.Body)
}

// save returns copies of the finished intents in order, then of those in flight.
func (t *intents) save() []Intent {
	saved := make([]Intent, 0, len(t.byKey))

	for element := t.finished.Front(); element != nil; element = element.Next() {
		intent := element.Value.(finishedIntent).intent
		if t.byKey[intent.Key] == intent {
			saved = append(saved, *intent)
		}
	}

	for _, intent := range t.byKey {
		if intent.Status == StatusInFlight {
			saved = append(saved, *intent)
		}
	}

	return saved
}

func (t *intents) load(saved []Intent) {
	for i := range saved {
		intent := saved[i]
		t.byKey[intent.Key] = &intent

		if intent.Status != StatusInFlight {
			t.addFinished(&intent)
		}
	}
}
