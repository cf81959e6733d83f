package core

import (
	"errors"

	"github.com/uber-go/tally/v4"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// The results of contacts, as the counter names them.
const (
	contactAnswered    = "answered"
	contactNoLeader    = "noLeader"
	contactUnreachable = "unreachable"
	contactSilent      = "silent"
	contactFailed      = "failed"
)

// contactMetrics counts contacts by result.
type contactMetrics struct {
	counters map[string]tally.Counter
}

func newContactMetrics(scope tally.Scope) contactMetrics {
	if scope == nil {
		scope = tally.NoopScope
	}

	m := contactMetrics{counters: make(map[string]tally.Counter)}
	for _, result := range []string{contactAnswered, contactNoLeader, contactUnreachable, contactSilent, contactFailed} {
		m.counters[result] = scope.Tagged(map[string]string{"result": result}).Counter("contacts")
	}

	return m
}

// count counts a contact that ended with the given reply or error; silent says that its time was over.
func (m *contactMetrics) count(reply *ContactReply, err error, silent bool) {
	m.counters[contactResult(reply, err, silent)].Inc(1)
}

func contactResult(reply *ContactReply, err error, silent bool) string {
	switch {
	case err == nil && reply.Leader == "":
		return contactNoLeader
	case err == nil:
		return contactAnswered
	case errors.Is(err, mill.ErrUnreachable):
		return contactUnreachable
	case silent:
		return contactSilent
	default:
		return contactFailed
	}
}
