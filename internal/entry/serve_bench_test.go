package entry

import (
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/cranberrymill/cranberrymill/internal/fakes"
	"github.com/cranberrymill/cranberrymill/internal/route"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// BenchmarkServe sends requests through an entry to an upstream that answers at
// once, both in this process; processor time is that of all three.
func BenchmarkServe(b *testing.B) {
	for _, method := range []string{fasthttp.MethodGet, fasthttp.MethodPost} {
		b.Run(method, func(b *testing.B) {
			w, err := newWorld(make([]behavior, b.N), nil)
			if err != nil {
				b.Fatal(err)
			}

			defer w.close()

			w.upstream.delay = 0
			before := processorTime()
			b.ResetTimer()

			for i := range b.N {
				r := w.send(i, planned{method: method, key: keyFor(method, i)})
				if r.outcome != mill.OutcomeRan {
					b.Fatalf("%+v", r)
				}
			}

			b.ReportMetric(float64((processorTime()-before).Microseconds())/float64(b.N), "cpu-us/op")
		})
	}
}

func keyFor(method string, at int) string {
	if method == fasthttp.MethodGet {
		return ""
	}

	return fmt.Sprint("key", at)
}

func processorTime() time.Duration {
	var usage syscall.Rusage

	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}

	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkTableMemory measures what a table of upstreams holds.
func BenchmarkTableMemory(b *testing.B) {
	for _, upstreams := range []int{48, 367, 4400} {
		b.Run(fmt.Sprintf("upstreams=%d", upstreams), func(b *testing.B) {
			for b.Loop() {
				before := fakes.LiveHeap()
				t := newTable(0, 1, func() mill.Router { return &route.LeastWait{} }, func(string) int { return 8 })

				for i := range upstreams {
					t.announce(mill.Announcement{
						ID: fmt.Sprintf("executor-%04d", i), Incarnation: 1, Service: "booking", Rack: "rack",
						Address: "10.0.0.1:8080", Slots: 8, Connections: 64,
					}, 0, time.Now())
				}

				b.ReportMetric(float64(fakes.LiveHeap()-before)/1024, "KiB")
				runtime.KeepAlive(t)
			}
		})
	}
}
