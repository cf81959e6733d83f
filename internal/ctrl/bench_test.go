package ctrl

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/cranberrymill/cranberrymill/internal/fakes"
	"github.com/cranberrymill/cranberrymill/internal/wire"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

func declarationsOf(teams int) *mill.Declarations {
	d := &mill.Declarations{Presets: []mill.Preset{{Name: "ordinary", Router: "leastWait", Placer: "pack"}}, Preset: "ordinary"}

	for i := range teams {
		d.Teams = append(d.Teams, mill.TeamDeclaration{
			Name: fmt.Sprintf("team-%03d", i), Home: fmt.Sprintf("dc-%02d", i%12),
			Quota: mill.Resources{MilliCores: 100000, MemoryMiB: 200000, Accelerators: 8},
		})
		d.Services = append(d.Services, mill.ServiceDeclaration{
			Name: fmt.Sprintf("service-%03d", i), Team: fmt.Sprintf("team-%03d", i), RingCapacity: 256,
		})
	}

	return d
}

// BenchmarkChange applies changes that replace all declarations, and measures the size of the view that
// is sent to every process for each of them.
func BenchmarkChange(b *testing.B) {
	for _, teams := range []int{4, 43, 430} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			s := NewState()
			d := declarationsOf(teams)
			version := uint64(0)

			for b.Loop() {
				data, err := wire.Encode(&Command{Change: &Change{ID: fmt.Sprint(version), Base: version, Declarations: d}})
				if err != nil {
					b.Fatal(err)
				}

				version++
				s.Apply(version, data)

				if !s.Verdict().Accepted {
					b.Fatal(s.Verdict())
				}
			}

			data, err := wire.Encode(s.View())
			if err != nil {
				b.Fatal(err)
			}

			b.ReportMetric(float64(len(data))/1024, "KiB-view")
		})
	}
}

// BenchmarkStateMemory measures the heap memory of the state after a number of changes.
func BenchmarkStateMemory(b *testing.B) {
	for _, changes := range []int{220, 2200, 16000} {
		b.Run(fmt.Sprintf("changes=%d", changes), func(b *testing.B) {
			for b.Loop() {
				before := fakes.LiveHeap()
				s := NewState()
				d := declarationsOf(4)

				for i := range changes {
					data, err := wire.Encode(&Command{Change: &Change{
						ID: fmt.Sprintf("change-%08d", i), Base: uint64(i), Who: "operator", Why: "because", Declarations: d,
					}})
					if err != nil {
						b.Fatal(err)
					}

					s.Apply(uint64(i+1), data)
				}

				b.ReportMetric(float64(fakes.LiveHeap()-before)/1024, "KiB")
				runtime.KeepAlive(s)
			}
		})
	}
}
