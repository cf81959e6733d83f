package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// The names that the manifest gives.
const (
	serviceName = "booking"
	hostName    = "queue.example"
	prefix      = "/contracts/"
	maxAttempts = 4
)

// scene is a deployment with its stand-ins.
type scene struct {
	*cluster

	history   *history
	provider  *provider
	executors []*executor
	stops     []func()
}

// newScene starts a deployment with its platform and the manifest.
func newScene(record *recorder, fronts int) (*scene, error) {
	c, err := newCluster(record, fronts)
	if err != nil {
		return nil, err
	}

	s := &scene{cluster: c, history: &history{record: record}, provider: &provider{record: record}}

	stop, err := serve(c.provider, s.provider.handler())
	if err != nil {
		return nil, err
	}

	s.stops = append(s.stops, stop)

	if err := c.start(); err != nil {
		return s, err
	}

	return s, s.configure(7, prefix)
}

// close ends everything that the scene has started.
func (s *scene) close() {
	for _, e := range s.executors {
		e.end()
	}

	s.cluster.stop()

	for _, stop := range s.stops {
		stop()
	}
}

// configure sends a manifest with routes for the given prefixes until it is acknowledged.
func (s *scene) configure(version int, prefixes ...string) error {
	routes := make([]any, 0, len(prefixes))
	for _, path := range prefixes {
		routes = append(routes, map[string]any{
			"name": "r" + path[1:len(path)-1], "host": hostName, "path_prefix": path, "kind": "unsafe", "timeout_ms": 3000,
			"target_latency_ms": 1200, "priority": 1, "service": serviceName, "max_attempts": maxAttempts, "stretch": 4.0,
		})
	}

	manifest := map[string]any{
		"version": version,
		"routes":  routes,
		"services": []any{map[string]any{
			"name": serviceName, "health_path": "/health", "max_connections": 64, "protocol": "h1", "tls": false,
			"enforces_capacity": false, "spare": false,
		}},
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		},
	}

	return eventually(15*time.Second, "the manifest is not acknowledged", func() bool {
		for _, m := range s.cores {
			if call(http.MethodPut, s.control(m), "/cranberrymill/config", nil, manifest, time.Second).ok() {
				s.record.logf("manifest %d is acknowledged", version)

				return true
			}
		}

		return false
	})
}

// addExecutor prepares an executor that is not started yet.
func (s *scene) addExecutor(labels []string, cpu int64) *executor {
	e := newExecutor(s.record, s.history, serviceName, s.executorAddress(len(s.executors)), labels, room{CPU: cpu, Memory: 32768})
	e.controls = func() []string {
		addresses := make([]string, 0, len(s.cores))
		for _, m := range s.cores {
			addresses = append(addresses, s.control(m))
		}

		return addresses
	}
	s.executors = append(s.executors, e)

	return e
}

// job is the body that submits a job.
type job struct {
	Spec  string `json:"spec"`
	Steps []step `json:"steps"`
}

type step struct {
	Count        int    `json:"count"`
	CPU          int64  `json:"cpu"`
	Memory       int64  `json:"mem_mb"`
	Estimate     int64  `json:"estimate_ms"`
	After        []int  `json:"after,omitempty"`
	Requirements string `json:"requirements,omitempty"`
	LongRunning  bool   `json:"long_running,omitempty"`
	AntiAffinity int    `json:"anti_affinity,omitempty"`
	MayMiss      int    `json:"may_miss,omitempty"`
}

// jobWith returns a job with one task that works for the given time.
func jobWith(work time.Duration, cpu int64, label string) job {
	return job{
		Spec:  fmt.Sprintf("work_ms=%d", work.Milliseconds()),
		Steps: []step{{Count: 1, CPU: cpu, Memory: 256, Estimate: work.Milliseconds(), Requirements: label}},
	}
}

var clientHeaders = map[string]string{"Host": hostName, "X-Deadline-Ms": "3000"}

// submit hands a job in until it is accepted.
func (s *scene) submit(id string, body job) error {
	return eventually(15*time.Second, "job "+id+" is not accepted", func() bool {
		got := call(http.MethodPost, s.front(s.fronts[0]), prefix+id, clientHeaders, body, 3*time.Second)
		s.record.logf("client: POST of job %s got status %d", id, got.status)

		return got.ok()
	})
}

// state asks for a job's state; it is "" without a clear answer.
func (s *scene) state(id string) string {
	got := call(http.MethodGet, s.front(s.fronts[0]), prefix+id, clientHeaders, nil, 3*time.Second)

	var body struct {
		State string `json:"state"`
	}

	_ = json.Unmarshal(got.body, &body)
	s.record.logf("client: GET of job %s got status %d, state %q", id, got.status, body.State)

	return body.State
}

// awaitRun waits until as many runs of a job have started, and returns the executor of the latest.
func (s *scene) awaitRun(id string, runs int) (string, error) {
	err := eventually(15*time.Second, fmt.Sprintf("run %d of job %s does not start", runs, id), func() bool {
		count, _ := s.history.latest(id)

		return count >= runs
	})

	_, executor := s.history.latest(id)

	return executor, err
}

// executorOf returns the executor with that id.
func (s *scene) executorOf(id string) *executor {
	for _, e := range s.executors {
		if e.id() == id {
			return e
		}
	}

	return nil
}

// awaitStart waits until a task of a job has started, and returns its executor.
func (s *scene) awaitStart(id string) (string, error) { return s.awaitRun(id, 1) }

// jobOf returns the job of a task.
func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")

	return id
}

var errNotMet = errors.New("case cannot run")

// eventually waits until a condition holds.
func eventually(limit time.Duration, failure string, condition func() bool) error {
	for begun := time.Now(); time.Since(begun) < limit; {
		if condition() {
			return nil
		}

		time.Sleep(50 * time.Millisecond)
	}

	return fmt.Errorf("%w: %s", errNotMet, failure)
}
