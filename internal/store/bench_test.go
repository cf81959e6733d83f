package store

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"github.com/cranberrymill/cranberrymill/internal/conf"
	"github.com/cranberrymill/cranberrymill/internal/ctrl"
	"github.com/cranberrymill/cranberrymill/internal/disk"
	"github.com/cranberrymill/cranberrymill/internal/ledger"
	"github.com/cranberrymill/cranberrymill/internal/wire"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

func TestMain(m *testing.M) {
	log.DefaultLogger.Level = log.ErrorLevel

	os.Exit(m.Run())
}

// cluster is two stores of one data centre on loopback, with real disks.
type cluster struct {
	client *ledger.Client
}

func newCluster(b *testing.B, batch int) *cluster {
	b.Helper()

	vms := make([]conf.VM, 2)
	for i := range vms {
		vms[i] = conf.VM{
			Name: fmt.Sprint("vm", i), HTTP: "127.0.0.1:0", Entry: "127.0.0.1:0", Store: freeAddress(b),
			Voter: i == 0, Durable: true,
		}
	}

	dataCentres := &conf.Cluster{DataCentres: []conf.DataCentre{{Name: "dc", Region: "r", VMs: vms}}}
	ctx, cancel := context.WithCancel(context.Background())
	b.Cleanup(cancel)

	for i := range vms {
		settings := conf.Default()
		settings.VM = vms[i].Name
		settings.DataFolder = filepath.Join(b.TempDir(), vms[i].Name)
		settings.SetClusterMap(dataCentres)

		if i == 0 {
			first, err := New(settings)
			assert.NilError(b, err)

			_, err = first.Init()
			assert.NilError(b, err)
		}

		s, err := New(settings)
		assert.NilError(b, err)

		s.batch = batch

		go func() { _ = s.Run(ctx) }()
	}

	client := wire.NewClient()
	watcher := ctrl.NewWatcher(client, []string{vms[0].Store})

	go func() { _ = watcher.Run(ctx) }()

	c := &cluster{client: ledger.NewClient(ctx, client, watcher, dataCentres.Stores())}

	for replicas := 0; replicas < 2; time.Sleep(10 * time.Millisecond) {
		epoch := watcher.View().Epoch("dc")
		replicas = len(epoch.Replicas)
	}

	return c
}

func freeAddress(b *testing.B) string {
	b.Helper()

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)

	defer func() { _ = listener.Close() }()

	return listener.Addr().String()
}

var sequence atomic.Uint64

func (c *cluster) begin(ctx context.Context) error {
	at := sequence.Add(1)

	result, err := c.client.Propose(ctx, "dc", ledger.Command{Begin: &ledger.Begin{
		Key: fmt.Sprint("key", at), Digest: make([]byte, 32), Attempt: ledger.Attempt{Owner: "e", Sequence: at},
	}})
	if err == nil && result.Status != ledger.StatusNew {
		err = errors.New(string(result.Status))
	}

	return err
}

func report(b *testing.B, histogram *hdrhistogram.Histogram) {
	b.Helper()
	b.ReportMetric(float64(histogram.ValueAtQuantile(50)), "p50-us")
	b.ReportMetric(float64(histogram.ValueAtQuantile(99)), "p99-us")
}

// BenchmarkBareSync appends 300 bytes to a file and syncs it.
func BenchmarkBareSync(b *testing.B) {
	histogram := hdrhistogram.New(1, 10_000_000, 3)

	file, err := os.Create(filepath.Join(b.TempDir(), "file"))
	assert.NilError(b, err)

	for b.Loop() {
		started := time.Now()
		_, err := file.Write(make([]byte, 300))
		assert.NilError(b, errors.Join(err, file.Sync()))

		_ = histogram.RecordValue(time.Since(started).Microseconds())
	}

	report(b, histogram)
}

// BenchmarkIntentCommit commits one intent after another on two durable copies.
func BenchmarkIntentCommit(b *testing.B) {
	c := newCluster(b, 0)
	histogram := hdrhistogram.New(1, 10_000_000, 3)

	for b.Loop() {
		started := time.Now()

		assert.NilError(b, c.begin(context.Background()))

		_ = histogram.RecordValue(time.Since(started).Microseconds())
	}

	report(b, histogram)
}

// BenchmarkCommits commits intents of 256 callers, with and without group commit.
func BenchmarkCommits(b *testing.B) {
	for _, batch := range []int{0, 1} {
		name := "group"
		if batch == 1 {
			name = "single"
		}

		b.Run(name, func(b *testing.B) {
			c := newCluster(b, batch)
			c.client.SetMaxBatch(batch)

			const callers = 256

			var group sync.WaitGroup

			histogram := hdrhistogram.New(1, 10_000_000, 3)

			var mu sync.Mutex

			left := atomic.Int64{}
			left.Store(int64(b.N))
			b.ResetTimer()

			for range callers {
				group.Go(func() {
					for left.Add(-1) >= 0 {
						started := time.Now()

						if err := c.begin(context.Background()); err != nil {
							b.Error(err)
						}

						mu.Lock()
						_ = histogram.RecordValue(time.Since(started).Microseconds())
						mu.Unlock()
					}
				})
			}

			group.Wait()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
			report(b, histogram)
		})
	}
}

// BenchmarkRecovery opens a ledger of a length, as a log and as a snapshot.
func BenchmarkRecovery(b *testing.B) {
	for _, count := range []int{1_000, 10_000, 100_000} {
		for _, compact := range []bool{false, true} {
			b.Run(fmt.Sprintf("entries=%d/snapshot=%t", count, compact), func(b *testing.B) {
				folder := b.TempDir()
				fill(b, folder, count, compact)

				for b.Loop() {
					file, err := disk.Open(folder)
					assert.NilError(b, err)

					_, err = ledger.Open("dc", self(file), file)
					assert.NilError(b, errors.Join(err, file.Close()))
				}
			})
		}
	}
}

// fill stores entries as a replica that leads alone does.
func fill(b *testing.B, folder string, count int, compact bool) {
	b.Helper()

	file, err := disk.Open(folder)
	assert.NilError(b, err)

	replica, err := ledger.Open("dc", self(file), file)
	assert.NilError(b, err)

	if !compact {
		replica.SetCompaction(uint64(2 * count))
	}

	replica.SetEpoch(mill.Epoch{Ledger: "dc", Number: 1, Primary: self(file), Replicas: []mill.Member{self(file)}})

	for i := range count {
		_, _, err := replica.Propose([]ledger.Command{{Begin: &ledger.Begin{
			Key: fmt.Sprint("key", i), Digest: make([]byte, 32), Attempt: ledger.Attempt{Owner: "e", Sequence: uint64(i)},
		}}})
		assert.NilError(b, err)

		if i%1000 == 999 {
			store(b, file, replica)
		}
	}

	store(b, file, replica)
	assert.NilError(b, file.Close())
}

func store(b *testing.B, file *disk.File, replica *ledger.Replica) {
	b.Helper()

	for {
		output := replica.TakeOutput()
		if output.Empty() {
			return
		}

		if output.Snapshot != nil {
			assert.NilError(b, file.Compact(output.Snapshot, output.Records...))
		} else {
			assert.NilError(b, file.Append(output.Records...))
		}

		replica.Saved()
	}
}

func self(file *disk.File) mill.Member {
	return mill.Member{VM: "vm", Identity: file.Identity(), Address: "vm", Durable: true}
}
