package main

import (
	"errors"
	"net/http"
	"time"
)

const host = "hire.example"

// route is one route of a manifest.
func route(name, prefix, service string) map[string]any {
	return map[string]any{
		"name": name, "host": host, "path_prefix": prefix, "kind": "unsafe", "timeout_ms": 3000, "target_latency_ms": 300,
		"priority": 0, "service": service, "max_attempts": maxAttempts, "stretch": 1.5,
	}
}

// maxAttempts is that of the queue avail-check on the site.
const maxAttempts = 4

func service(name string) map[string]any {
	return map[string]any{
		"name": name, "health_path": "/health", "max_connections": 64, "protocol": "h1", "tls": false,
		"enforces_capacity": false, "spare": false,
	}
}

func manifest(version int, routes, services []map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		},
	}
}

// configure sends a manifest until it is acknowledged.
func (s *scene) configure(body map[string]any) error {
	for begun := time.Now(); time.Since(begun) < 15*time.Second; time.Sleep(200 * time.Millisecond) {
		for _, control := range s.cluster.controls(0) {
			if status, _ := call(http.MethodPut, control, "/cranberrymill/config", "", body, time.Second); status == http.StatusOK {
				s.record.line("manifest %v acknowledged", body["version"])

				return nil
			}
		}
	}

	return errors.New("no manifest was acknowledged")
}

// awaitReady waits until every front machine is ready.
func (s *scene) awaitReady() error {
	for begun := time.Now(); time.Since(begun) < 15*time.Second; time.Sleep(200 * time.Millisecond) {
		ready := 0

		for _, m := range s.cluster.fronts {
			if status, _ := call(http.MethodGet, address(m.ip, s.cluster.ready), "/cranberrymill/readiness", "", nil, time.Second); status == http.StatusOK {
				ready++
			}
		}

		if ready == len(s.cluster.fronts) {
			return nil
		}
	}

	return errors.New("the front machines are not ready")
}
