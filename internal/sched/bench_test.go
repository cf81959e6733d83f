package sched

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/cranberrymill/cranberrymill/internal/fakes"
	"github.com/cranberrymill/cranberrymill/internal/place"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// newFullMirror returns a mirror of workers that have 16 cores and run twelve tasks each, and a job of
// pending tasks.
func newFullMirror(workers, pending int) *mirror {
	const tasksEach = 12

	m := newMirror()
	running := mill.Job{ID: "running", Spec: mill.JobSpec{Kind: mill.KindService, PerTask: mill.Resources{MilliCores: 1000}}}

	for i := range workers {
		id := fmt.Sprintf("worker-%05d", i)
		w := m.worker(id)
		w.live, w.enrolled = true, true
		w.view.Rack = fmt.Sprint("rack-", i/5)
		w.setCapacity(mill.Resources{MilliCores: 16000, MemoryMiB: 32768})

		for range tasksEach {
			running.Tasks = append(running.Tasks, mill.Task{State: mill.TaskAssigned, Attempt: 1, Worker: id})
		}
	}

	m.update(running, 1)

	waiting := mill.Job{ID: "waiting", Spec: mill.JobSpec{Kind: mill.KindBatch, PerTask: mill.Resources{MilliCores: 1000}}}
	for range pending {
		waiting.Tasks = append(waiting.Tasks, mill.Task{State: mill.TaskPending})
	}

	m.update(waiting, 1)

	return m
}

// BenchmarkPlan plans 13 pending tasks on workers that run twelve tasks each.
func BenchmarkPlan(b *testing.B) {
	const pending = 13

	for _, workers := range []int{13, 48, 367, 4400} {
		for name, placer := range map[string]mill.Placer{"pack": place.Pack{}, "spread": place.Spread{}} {
			b.Run(fmt.Sprintf("workers=%d/%s", workers, name), func(b *testing.B) {
				m := newFullMirror(workers, pending)
				placed := 0

				for b.Loop() {
					for _, plan := range m.plan(placer) {
						placed += len(plan)
					}
				}

				b.ReportMetric(float64(placed)/b.Elapsed().Seconds(), "placements/s")
			})
		}
	}
}

// BenchmarkHeartbeat answers heartbeats of workers with twelve tasks each.
func BenchmarkHeartbeat(b *testing.B) {
	for _, workers := range []int{48, 367, 4400} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			w := newWorld(b)
			s := w.schedulers[0]
			s.active, s.term, s.authorizedUntil = true, 0, w.clock.Add(time.Hour)
			s.mirror = newFullMirror(workers, 0)

			heartbeat := &mill.Heartbeat{
				ID: "worker-00007", Incarnation: 1, Capacity: mill.Resources{MilliCores: 16000, MemoryMiB: 32768},
			}
			for _, ref := range sortedRefs(s.mirror.worker(heartbeat.ID).tasks) {
				heartbeat.Reports = append(heartbeat.Reports, mill.TaskReport{TaskRef: ref, State: mill.TaskAssigned})
			}

			for b.Loop() {
				if err := s.processHeartbeat(context.Background(), heartbeat, &mill.Orders{}); err != nil {
					b.Fatal(err)
				}
			}

			data, err := json.Marshal(heartbeat)
			if err != nil {
				b.Fatal(err)
			}

			b.ReportMetric(float64(len(data)), "B/heartbeat")
		})
	}
}

// BenchmarkMirrorMemory measures the heap memory of a mirror of workers with twelve tasks each.
func BenchmarkMirrorMemory(b *testing.B) {
	for _, workers := range []int{48, 367, 4400} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			var m *mirror

			for b.Loop() {
				before := fakes.LiveHeap()
				m = newFullMirror(workers, 0)
				b.ReportMetric(float64(fakes.LiveHeap()-before)/1024, "KiB")
			}

			runtime.KeepAlive(m)
		})
	}
}
