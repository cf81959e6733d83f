package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	routeExecutors = 6
	routeJobs      = 30
	north, south   = "north.example", "south.example"
)

// routes adds a second route to the manifest, for another host and service, with the name of the first. It looks for tasks
// that start on executors of a service to which no manifest sends their queue.
func routes(s *scene) (int, error) {
	booking := newFleet(s.record, "booking", s.cluster.controls)
	inspection := newFleet(s.record, "inspection", s.cluster.controls)

	if err := s.cluster.start(); err != nil {
		return 0, err
	}

	stopProvider, err := serve(s.cluster.provider(), http.NotFoundHandler())
	if err != nil {
		return 0, err
	}
	defer stopProvider()

	for i := range routeExecutors {
		if err := booking.add(address(fmt.Sprintf("%s%d", s.cluster.network, 100+i), s.cluster.outside)); err != nil {
			return 0, err
		}

		if err := inspection.add(address(fmt.Sprintf("%s%d", s.cluster.network, 150+i), s.cluster.outside)); err != nil {
			return 0, err
		}
	}

	services := []map[string]any{service("booking"), service("inspection")}
	first := route("check", "/check/", "booking")
	first["host"] = north

	if err := s.configure(manifest(1, []map[string]any{first}, services)); err != nil {
		return 0, err
	}

	if err := s.awaitReady(); err != nil {
		return 0, err
	}

	second := route("check", "/check/", "inspection")
	second["host"] = south

	if !s.trouble {
		second["name"] = "check-south"
	}

	if err := s.configure(manifest(2, []map[string]any{first, second}, services)); err != nil {
		return 0, err
	}

	time.Sleep(2500*time.Millisecond + 2*beat) // config_apply_ms, and the first reports of all executors.

	hosts := map[string]string{}

	for number := range routeJobs {
		id := fmt.Sprintf("%016x", s.seed<<32+uint64(number)+1)
		name := []string{north, south}[number%2]

		if s.handIn(booking, inspection, id, name, number%zones) {
			hosts[id] = name
		}
	}

	time.Sleep(3 * time.Second)

	return s.judgeRoutes(booking, inspection, hosts), nil
}

// handIn submits a job to the route of a host, and reports whether it was accepted.
func (s *scene) handIn(booking, inspection *fleet, id, name string, front int) bool {
	for _, f := range []*fleet{booking, inspection} {
		f.mu.Lock()
		f.works[id] = taskTime
		f.mu.Unlock()
	}

	body := map[string]any{
		"spec":  "check " + id,
		"steps": []map[string]any{{"count": 2, "cpu": 1500, "mem_mb": 1600, "estimate_ms": taskTime.Milliseconds()}},
	}

	status, _ := call(http.MethodPost, address(s.cluster.fronts[front].ip, s.cluster.front), "/check/"+id, name, body, 3*time.Second)
	s.record.line("job %s is handed in at %s: %d", id, name, status)

	return status == http.StatusOK
}

// judgeRoutes applies the rule to what has started.
func (s *scene) judgeRoutes(booking, inspection *fleet, hosts map[string]string) int {
	broken := 0

	for _, side := range []struct {
		fleet *fleet
		host  string
	}{{booking, north}, {inspection, south}} {
		side.fleet.mu.Lock()

		for id := range side.fleet.startedJobs {
			if hosts[id] == side.host {
				continue
			}

			broken++
			s.record.line("ROUTE: job %s of %s has started on executors of %s, to which no manifest sends that route",
				id, hosts[id], side.fleet.service)
		}

		side.fleet.mu.Unlock()
	}

	s.record.line("jobs accepted: %d; started on a service to which no manifest sends their queue: %d", len(hosts), broken)

	switch {
	case broken > 0:
		return exitBroken
	case len(hosts) == 0:
		return exitNotRun
	default:
		return exitHeld
	}
}
