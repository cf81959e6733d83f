package meter

import (
	"io"
	"net/http"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

const (
	reportInterval = time.Second
	// prefix begins the names of all metrics.
	prefix = "mill"
)

// Meter holds the metrics of one process.
type Meter struct {
	scope    tally.Scope
	closer   io.Closer
	handler  http.Handler
	registry *prom.Registry
	tags     map[string]string
}

// New returns the metrics of a process, tagged with its role and VM.
func New(role, vm string) *Meter {
	registry := prom.NewRegistry()
	sanitizer := tally.NewSanitizer(prometheus.DefaultSanitizerOpts)
	tags := map[string]string{"role": sanitizer.Value(role), "vm": sanitizer.Value(vm)}
	reporter := prometheus.NewReporter(prometheus.Options{
		Registerer: registry,
		Gatherer:   registry,
		OnRegisterError: func(error) {
			// Skip metrics that cannot be registered, since metrics must not stop a process.
		},
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          prefix,
		Tags:            tags,
		CachedReporter:  reporter,
		Separator:       prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
	}, reportInterval)

	return &Meter{scope: scope, closer: closer, handler: reporter.HTTPHandler(), registry: registry, tags: tags}
}

// Scope returns the scope in which to create metrics.
func (m *Meter) Scope() tally.Scope {
	return m.scope
}

// Handler returns the HTTP handler of /metrics.
func (m *Meter) Handler() http.Handler {
	return m.handler
}

// Close reports the remaining metrics.
func (m *Meter) Close() error {
	return m.closer.Close()
}
