package stand

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/panjf2000/ants/v2"
	"github.com/valyala/fasthttp"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

const (
	maxCallers        = 4096
	maxTries          = 4
	maxLatencyMicros  = 120_000_000
	significantDigits = 3
	percentScale      = 100
)

// CallerConfig configures the simulated callers.
type CallerConfig struct {
	Entries      string
	Service      string
	Rate         float64
	Duration     time.Duration
	KeyedPercent int
	Deadline     time.Duration
	Seed         uint64
	IDPrefix     string
	RecordsPath  string
}

// Callers simulates callers that send at a fixed rate, however long the answers take.
type Callers struct {
	config    CallerConfig
	balancer  *balancer
	client    *fasthttp.Client
	mu        sync.Mutex
	records   []RequestRecord
	histogram *hdrhistogram.Histogram
}

// NewCallers returns callers that start to send in Run.
func NewCallers(config CallerConfig) *Callers {
	return &Callers{
		config:   config,
		balancer: newBalancer(config.Entries),
		client: &fasthttp.Client{
			MaxConnsPerHost:           maxCallers,
			MaxIdemponentCallAttempts: 1,
			RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) {
				return false, false
			},
			DisableHeaderNamesNormalizing: true,
		},
		histogram: hdrhistogram.New(1, maxLatencyMicros, significantDigits),
	}
}

// Run sends for the configured duration, waits for the answers and writes the records.
func (c *Callers) Run(ctx context.Context) error {
	pool, err := ants.NewPool(maxCallers)
	if err != nil {
		return err
	}

	defer pool.Release()

	var pending sync.WaitGroup

	random := rand.New(rand.NewPCG(c.config.Seed, c.config.Seed))
	started := time.Now()
	count := int(c.config.Rate * c.config.Duration.Seconds())

	for i := range count {
		intended := started.Add(time.Duration(float64(i) / c.config.Rate * float64(time.Second)))
		keyed := random.IntN(percentScale) < c.config.KeyedPercent

		if !sleepUntil(ctx, intended) {
			break
		}

		pending.Add(1)

		if err := pool.Submit(func() {
			defer pending.Done()
			c.sendWithRetries(i, keyed, intended)
		}); err != nil {
			return err
		}
	}

	pending.Wait()

	return writeRecords(c.config.RecordsPath, c.records)
}

// sleepUntil reports whether it reached the time before the context ended.
func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()

	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// sendWithRetries sends one request, and retries through another entry after a
// connection error: a keyed request under the same key, any other as a new
// request. The latency counts from the intended time of the first send.
func (c *Callers) sendWithRetries(index int, keyed bool, intended time.Time) {
	record := RequestRecord{Keyed: keyed, Outcome: string(mill.OutcomeUnknown)}

	for try := range maxTries {
		record.ID = fmt.Sprintf("%s-%d-%d", c.config.IDPrefix, index, try)
		if keyed {
			record.ID = fmt.Sprintf("%s-%d", c.config.IDPrefix, index)
		}

		record.Tries = try + 1

		if c.send(&record) {
			break
		}
	}

	record.Micros = time.Since(intended).Microseconds()

	c.mu.Lock()
	defer c.mu.Unlock()

	c.records = append(c.records, record)
	_ = c.histogram.RecordValue(min(record.Micros, maxLatencyMicros))
}

// send sends one attempt and reports whether an entry answered.
func (c *Callers) send(record *RequestRecord) bool {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)

	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)

	request.SetRequestURI("http://" + c.balancer.pick() + "/" + c.config.Service + "/" + record.ID)
	request.Header.Set(mill.HeaderRequestID, record.ID)
	request.Header.Set(mill.HeaderDeadline, fmt.Sprint(c.config.Deadline.Milliseconds()))

	if record.Keyed {
		request.Header.SetMethod(fasthttp.MethodPost)
		request.Header.Set(mill.HeaderIdempotencyKey, record.ID)
		request.SetBodyString(record.ID)
	}

	if err := c.client.DoTimeout(request, response, c.config.Deadline+callTimeout); err != nil {
		return false
	}

	record.Outcome = string(response.Header.Peek(mill.HeaderOutcome))
	record.Status = response.StatusCode()

	return true
}
