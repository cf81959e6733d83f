package lead

import (
	"cmp"
	"time"
)

// loadEvent is a function to call at a time; number orders the events of one time.
type loadEvent struct {
	at     time.Time
	number int
	do     func()
}

// loadEvents is a heap of events, the earliest first.
type loadEvents []loadEvent

func (e *loadEvents) Len() int { return len(*e) }

func (e *loadEvents) Less(i, j int) bool {
	a, b := &(*e)[i], &(*e)[j]

	return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.number, b.number)) < 0
}

func (e *loadEvents) Swap(i, j int) { (*e)[i], (*e)[j] = (*e)[j], (*e)[i] }

func (e *loadEvents) Push(value any) { *e = append(*e, value.(loadEvent)) }

func (e *loadEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]

	return last
}
