package ledger

import (
	"bytes"
	"container/list"
	"slices"
)

// The bounds of what is kept for resends of requests that have ended.
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
	// Voided holds the latest voided attempt of each entry at this key.
	Voided []Attempt `cbor:",omitempty"`
}

// intents holds the intents by key, and the ended ones in the order they ended.
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
	case free && command.Dry:
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

// reopen refuses an attempt that its owner has voided already, or one older
// than that: its message was late and its owner has answered "not run".
func (t *intents) reopen(intent *Intent, command *Begin) Result {
	next := command.Attempt

	for _, old := range intent.Voided {
		if old.sameOwner(next) && next.Sequence <= old.Sequence {
			return Result{Status: StatusVoided}
		}
	}

	return t.open(command, intent.Voided)
}

func (a Attempt) sameOwner(other Attempt) bool {
	return a.Owner == other.Owner && a.Incarnation == other.Incarnation
}

// remember notes that an attempt was voided; one for each owner is enough,
// since the attempts of an owner are numbered.
func (i *Intent) remember(attempt Attempt) {
	for at, old := range i.Voided {
		if old.sameOwner(attempt) {
			// Saved copies share the old slice, so that one stays as it is.
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

	// A late answer is better than none: it replaces "unknown".
	if intent.Status != StatusInFlight && intent.Status != StatusUnknown {
		return Result{Status: intent.Status}
	}

	answer := command.Answer
	intent.Answer = &answer
	t.end(intent, StatusDone)

	return Result{Status: StatusDone}
}

func (t *intents) void(command *Void) Result {
	intent, ok := t.byKey[command.Key]
	if !ok {
		// The Begin may still be under way, so the key must remember the void.
		intent = &Intent{Key: command.Key, Attempt: command.Attempt}
		t.byKey[command.Key] = intent
		intent.remember(command.Attempt)
		t.end(intent, StatusVoided)

		return Result{Status: StatusVoided}
	}

	if intent.Attempt != command.Attempt {
		intent.remember(command.Attempt)

		return Result{Status: StatusRefused}
	}

	if intent.Status != StatusInFlight {
		return Result{Status: intent.Status}
	}

	intent.remember(command.Attempt)
	t.end(intent, StatusVoided)

	return Result{Status: StatusVoided}
}

func (t *intents) abandon(command *Abandon) Result {
	intent, ok := t.byKey[command.Key]
	if !ok || intent.Attempt != command.Attempt {
		return Result{Status: StatusRefused}
	}

	if intent.Status == StatusInFlight {
		t.end(intent, StatusUnknown)
	}

	return Result{Status: intent.Status}
}

// end marks an intent as ended and drops the oldest beyond the limit.
func (t *intents) end(intent *Intent, status Status) {
	intent.Status = status
	t.keep(intent)

	for t.finished.Len() > MaxFinishedIntents || t.bytes > MaxFinishedBytes {
		t.dropOldest()
	}
}

// finishedIntent is an ended intent with the bytes counted for it.
type finishedIntent struct {
	intent *Intent
	bytes  int
}

func (t *intents) keep(intent *Intent) {
	ended := finishedIntent{intent: intent, bytes: intent.size()}
	t.finished.PushBack(ended)
	t.bytes += ended.bytes
}

func (t *intents) dropOldest() {
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

// save returns copies of the ended intents in order, then of those in flight.
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
			t.keep(&intent)
		}
	}
}
