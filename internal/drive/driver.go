package drive

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/cranberrymill/cranberrymill/internal/ring"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// DefaultMaxBatch is the default maximum number of events that share one sync.
const DefaultMaxBatch = 512

const ringCapacity = 4096

// Driver runs one state machine on one goroutine.
type Driver[M any] struct {
	stateMachine StateMachine[M]
	storage      mill.Storage
	send         func(message M)
	afterBatch   func()
	onAppend     func(took time.Duration)
	onTick       func(at time.Time)
	tick         time.Duration
	maxBatch     int
	events       *ring.Ring[func()]
}

// Config configures a Driver.
type Config[M any] struct {
	// Storage stores the state machine's records.
	Storage mill.Storage
	// Send passes a message to the transport and must not block.
	Send func(message M)
	// AfterBatch runs on the driver's goroutine after each batch of events, once the
	// state machine has no more output.
	AfterBatch func()
	// OnAppend runs on the driver's goroutine with the duration of each append to the storage; it may be nil.
	OnAppend func(took time.Duration)
	// OnTick runs on the driver's goroutine before each tick, with the time at which the tick was due; it may be nil. All
	// events that are processed after it were queued later than that.
	OnTick func(at time.Time)
	// Tick is the duration of one tick.
	Tick time.Duration
	// MaxBatch is the maximum number of events that share one sync; 0 means DefaultMaxBatch.
	MaxBatch int
}

// New returns a driver for the state machine.
func New[M any](stateMachine StateMachine[M], config Config[M]) *Driver[M] {
	d := &Driver[M]{
		stateMachine: stateMachine,
		storage:      config.Storage,
		send:         config.Send,
		afterBatch:   config.AfterBatch,
		onAppend:     config.OnAppend,
		onTick:       config.OnTick,
		tick:         config.Tick,
		maxBatch:     config.MaxBatch,
		events:       ring.New[func()](ringCapacity),
	}

	if d.maxBatch <= 0 {
		d.maxBatch = DefaultMaxBatch
	}

	return d
}

// Enqueue queues a function to run on the driver's goroutine, or returns mill.ErrFull.
func (d *Driver[M]) Enqueue(event func()) error {
	if !d.events.Offer(event) {
		return mill.ErrFull
	}

	return nil
}

// Deliver queues a message from a peer for the state machine and drops it when the queue is full.
func (d *Driver[M]) Deliver(message M) {
	d.events.Offer(func() { d.stateMachine.Step(message) })
}

// Run drives the state machine until the context ends or the storage fails. It
// never retries a failed sync, since the content of the disk is unknown after it.
func (d *Driver[M]) Run(ctx context.Context) error {
	ticker := time.NewTicker(d.tick)
	defer ticker.Stop()

	go d.runTicker(ctx, ticker)

	for {
		batch, err := d.events.TakeBatch(ctx, d.maxBatch)
		if err != nil {
			return nil
		}

		for _, event := range batch {
			event()
		}

		if err := d.processOutput(); err != nil {
			return err
		}
	}
}

func (d *Driver[M]) runTicker(ctx context.Context, ticker *time.Ticker) {
	for {
		select {
		case <-ctx.Done():
			return
		case at := <-ticker.C:
			d.events.Offer(func() { d.handleTick(at) })
		}
	}
}

func (d *Driver[M]) handleTick(at time.Time) {
	if d.onTick != nil {
		d.onTick(at)
	}

	d.stateMachine.Tick()
}

func (d *Driver[M]) processOutput() error {
	for {
		output := d.stateMachine.TakeOutput()
		if output.Empty() {
			break
		}

		if err := d.execute(&output); err != nil {
			return err
		}
	}

	if d.afterBatch != nil {
		d.afterBatch()
	}

	return nil
}

func (d *Driver[M]) execute(output *Output[M]) error {
	for _, message := range output.BeforeSave {
		d.send(message)
	}

	if err := d.save(output); err != nil {
		return merry.Prepend(err, "storage failed")
	}

	for _, message := range output.AfterSave {
		d.send(message)
	}

	return nil
}

func (d *Driver[M]) save(output *Output[M]) error {
	if output.Snapshot != nil {
		if err := d.storage.Compact(output.Snapshot, output.Records...); err != nil {
			return err
		}
	} else if len(output.Records) > 0 {
		start := time.Now()

		if err := d.storage.Append(output.Records...); err != nil {
			return err
		}

		if d.onAppend != nil {
			d.onAppend(time.Since(start))
		}
	}

	d.stateMachine.Saved()

	return nil
}
