package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// hosted is a machine of the provider with its executor.
type hosted struct {
	id       string
	executor *executor
	state    string
	boots    int
	// upkeeps holds the waves whose upkeep the machine has had.
	upkeeps map[int]bool
	fence   uint64
}

// provider is a stand-in for the provider's API.
type provider struct {
	record   *recorder
	mu       sync.Mutex
	machines []*hosted
	// limit is the wave's max_count.
	limit int
	// broken lists the rules that were seen to be broken.
	broken []string
}

func (p *provider) add(id string, e *executor) error {
	p.mu.Lock()
	p.machines = append(p.machines, &hosted{id: id, executor: e, state: "up", upkeeps: make(map[int]bool)})
	p.mu.Unlock()

	return e.begin("i-" + id + "-0")
}

func (p *provider) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /cranberrymill/machines", p.list)
	mux.HandleFunc("POST /cranberrymill/machine-upkeep", p.upkeep)

	return mux
}

func (p *provider) list(writer http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()

	rows := make([]map[string]any, 0, len(p.machines))
	for _, m := range p.machines {
		rows = append(rows, map[string]any{
			"machine": m.id, "pool": m.executor.service, "state": m.state, "zone": "zone", "labels": m.executor.labels,
			"room": m.executor.room, "id": m.executor.id(),
		})
	}

	reply(writer, http.StatusOK, map[string]any{"machines": rows, "next_token": nil})
}

func (p *provider) upkeep(writer http.ResponseWriter, request *http.Request) {
	var body struct {
		Machine string `json:"machine"`
		Wave    int    `json:"wave"`
	}

	if err := json.NewDecoder(request.Body).Decode(&body); err != nil {
		writer.WriteHeader(http.StatusBadRequest)

		return
	}

	holder := request.Header.Get("X-Duty-Holder")
	fence, _ := strconv.ParseUint(request.Header.Get("X-Fencing-Token"), 10, 64)

	p.mu.Lock()
	defer p.mu.Unlock()

	var (
		target *hosted
		down   []string
	)

	for _, m := range p.machines {
		if m.id == body.Machine {
			target = m
		} else if m.state == "upkeep" {
			down = append(down, m.id)
		}
	}

	p.record.logf("provider: %s with fence number %d orders the upkeep of %s for wave %d; down for upkeep beside it: %v",
		holder, fence, body.Machine, body.Wave, down)

	if target == nil {
		writer.WriteHeader(http.StatusBadRequest)

		return
	}

	if fence < target.fence {
		p.breach("ONE: %s gets an order with fence number %d after one with %d", target.id, fence, target.fence)
	}

	target.fence = max(target.fence, fence)

	switch {
	case target.upkeeps[body.Wave]:
		reply(writer, http.StatusOK, map[string]any{})

		return
	case target.state != "up":
		reply(writer, http.StatusConflict, map[string]any{"reason": "busy"})

		return
	default:
	}

	if len(down) >= p.limit {
		p.breach("LIMIT: the upkeep of %s begins while %v are down, max_count is %d", target.id, down, p.limit)
	}

	target.upkeeps[body.Wave] = true
	target.state = "upkeep"
	target.boots++
	target.executor.end()

	time.AfterFunc(upkeepTime, func() { p.back(target) })
	reply(writer, http.StatusOK, map[string]any{})
}

// back brings a machine up again after its upkeep, with a new executor.
func (p *provider) back(m *hosted) {
	p.mu.Lock()
	defer p.mu.Unlock()

	m.state = "up"

	if err := m.executor.begin(fmt.Sprintf("i-%s-%d", m.id, m.boots)); err != nil {
		p.record.logf("provider: %s does not start: %v", m.id, err)
	}
}

// hasHad reports whether a machine has begun its upkeep for a wave.
func (p *provider) hasHad(machine string, wave int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	for _, m := range p.machines {
		if m.id == machine {
			return m.upkeeps[wave]
		}
	}

	return false
}

// breach records that a rule was broken. The caller holds the lock.
func (p *provider) breach(format string, arguments ...any) {
	text := fmt.Sprintf(format, arguments...)
	p.broken = append(p.broken, text)
	p.record.logf("BROKEN %s", text)
}

func (p *provider) breaches() []string {
	p.mu.Lock()
	defer p.mu.Unlock()

	return append([]string(nil), p.broken...)
}
