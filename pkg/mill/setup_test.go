package mill_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// findByScan is the reference for SetupIndex.Find: it goes through all queues.
func findByScan(setup *mill.Setup, host, path string) (found *mill.Queue) {
	for i := range setup.Queues {
		q := &setup.Queues[i]
		if q.Host == host && strings.HasPrefix(path, q.Prefix) && (found == nil || len(q.Prefix) > len(found.Prefix)) {
			found = q
		}
	}

	return found
}

// TestIndexFindsLikeAScan guards against requests that the index gives to another queue than a scan of the setup does.
func TestIndexFindsLikeAScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		host := rapid.SampledFrom([]string{"h", "i"})
		path := rapid.StringMatching("/([ab]/?){0,4}")
		setup := &mill.Setup{}

		for i := range rapid.IntRange(0, 12).Draw(t, "queues") {
			setup.Queues = append(setup.Queues, mill.Queue{
				Name: fmt.Sprint(i % 8), Host: host.Draw(t, "host"), Prefix: path.Draw(t, "prefix"),
			})
		}

		wantedHost, wantedPath := host.Draw(t, "wanted host"), path.Draw(t, "wanted path")
		index := mill.NewSetupIndex(setup)
		want := findByScan(setup, wantedHost, wantedPath)

		got, rest, ok := index.Find(wantedHost, wantedPath)
		assert.Equal(t, ok, want != nil)
		assert.Equal(t, got, want)

		if want != nil {
			assert.Equal(t, want.Prefix+rest, wantedPath)

			route, ok := index.Route(want.Key())
			assert.Assert(t, ok)
			assert.Equal(t, route, want)
		}

		for i := range setup.Queues {
			named, ok := index.Queue(setup.Queues[i].Name)
			assert.Assert(t, ok)
			assert.Equal(t, named, &setup.Queues[i%8], "the first queue of a name counts")
			assert.Equal(t, index.SharesName(named.Name), i%8+8 < len(setup.Queues))
		}
	})
}

// TestValidateNamesTheFault checks that a setup with an undeclared service, no time limit or two queues for the same
// requests is refused.
func TestValidateNamesTheFault(t *testing.T) {
	valid := mill.Queue{Name: "q", Host: "h", Prefix: "/q/", Service: "s", Timeout: time.Second}
	services := []mill.Service{{Name: "s"}}

	assert.NilError(t, (&mill.Setup{Queues: []mill.Queue{valid}, Services: services}).Validate())

	undeclared, endless := valid, valid
	undeclared.Service, endless.Timeout = "t", 0

	for message, queues := range map[string][]mill.Queue{
		`service "t"`: {undeclared}, "timeout": {endless}, "share host": {valid, valid},
	} {
		err := (&mill.Setup{Queues: queues, Services: services}).Validate()
		assert.ErrorIs(t, err, mill.ErrInvalid)
		assert.ErrorContains(t, err, message)
	}
}

// BenchmarkValidate measures the check of a setup whose queues each have a service of their own.
func BenchmarkValidate(b *testing.B) {
	for _, count := range []int{1200, 12000} {
		setup := &mill.Setup{}

		for i := range count {
			name := fmt.Sprint(i)
			setup.Services = append(setup.Services, mill.Service{Name: name})
			setup.Queues = append(setup.Queues, mill.Queue{Name: name, Prefix: name, Service: name, Timeout: 1})
		}

		b.Run(fmt.Sprintf("queues=%d", count), func(b *testing.B) {
			for b.Loop() {
				assert.NilError(b, setup.Validate())
			}
		})
	}
}
