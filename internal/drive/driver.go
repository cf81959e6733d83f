package drive

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/cranberrymill/cranberrymill/internal/ring"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// DefaultBatch is the number of events that share one sync at most.
const DefaultBatch = 512

const ringCapacity = 4096

// Driver runs one machine on one goroutine.
type Driver[M any] struct {
	machine Machine[M]
	storage mill.Storage
	send    func(message M)
	after   func()
	stored  func(took time.Duration)
	tick    time.Duration
	batch   int
	events  *ring.Ring[func()]
}

// Config holds what a Driver needs besides its machine.
type Config[M any] struct {
	// Storage keeps the machine's records.
	Storage mill.Storage
	// Send hands a message to the transport and must not block.
	Send func(message M)
	// After runs on the driver's goroutine each time the machine has settled.
	After func()
	// Stored runs on the driver's goroutine with how long each store of records took; it may be nil.
	Stored func(took time.Duration)
	// Tick is the length of one tick.
	Tick time.Duration
	// Batch bounds the events that share one sync; 0 means DefaultBatch.
	Batch int
}

// New returns a driver for the machine.
func New[M any](machine Machine[M], config Config[M]) *Driver[M] {
	d := &Driver[M]{
		machine: machine,
		storage: config.Storage,
		send:    config.Send,
		after:   config.After,
		stored:  config.Stored,
		tick:    config.Tick,
		batch:   config.Batch,
		events:  ring.New[func()](ringCapacity),
	}

	if d.batch <= 0 {
		d.batch = DefaultBatch
	}

	return d
}

// Do runs an event on the driver's goroutine later, or returns mill.ErrFull.
func (d *Driver[M]) Do(event func()) error {
	if !d.events.Offer(event) {
		return mill.ErrFull
	}

	return nil
}

// Deliver gives the machine a message from a peer and drops it when the ring is full.
func (d *Driver[M]) Deliver(message M) {
	d.events.Offer(func() { d.machine.Step(message) })
}

// Run drives the machine until the context ends or the storage fails; a failed
// sync is never tried again, since what the disk holds is then unknown.
func (d *Driver[M]) Run(ctx context.Context) error {
	clock := time.NewTicker(d.tick)
	defer clock.Stop()

	go d.runClock(ctx, clock)

	for {
		batch, err := d.events.TakeBatch(ctx, d.batch)
		if err != nil {
			return nil
		}

		for _, event := range batch {
			event()
		}

		if err := d.settle(); err != nil {
			return err
		}
	}
}

func (d *Driver[M]) runClock(ctx context.Context, clock *time.Ticker) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-clock.C:
			d.events.Offer(d.machine.Tick)
		}
	}
}

func (d *Driver[M]) settle() error {
	for {
		output := d.machine.Take()
		if output.Empty() {
			break
		}

		if err := d.perform(&output); err != nil {
			return err
		}
	}

	if d.after != nil {
		d.after()
	}

	return nil
}

func (d *Driver[M]) perform(output *Output[M]) error {
	for _, message := range output.Early {
		d.send(message)
	}

	if err := d.save(output); err != nil {
		return merry.Prepend(err, "storage failed")
	}

	for _, message := range output.Late {
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
		began := time.Now()

		if err := d.storage.Append(output.Records...); err != nil {
			return err
		}

		if d.stored != nil {
			d.stored(time.Since(began))
		}
	}

	d.machine.Saved()

	return nil
}
