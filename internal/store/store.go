package store

import (
	"context"
	"errors"
	"math/rand/v2"
	"path/filepath"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/phuslu/log"
	"golang.org/x/sync/errgroup"

	"github.com/cranberrymill/cranberrymill/internal/conf"
	"github.com/cranberrymill/cranberrymill/internal/ctrl"
	"github.com/cranberrymill/cranberrymill/internal/disk"
	"github.com/cranberrymill/cranberrymill/internal/httpd"
	"github.com/cranberrymill/cranberrymill/internal/ledger"
	"github.com/cranberrymill/cranberrymill/internal/raft"
	"github.com/cranberrymill/cranberrymill/internal/wire"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// Store is one process of the role.
type Store struct {
	settings *conf.Settings
	vm       conf.VM
	client   *wire.Client
	lock     *disk.Lock
	control  mill.Storage
	ledger   mill.Storage
	// batch bounds the events of the ledger that share one sync; 0 is the default.
	batch int
}

// New opens the data folder of a store that is not running yet.
func New(settings *conf.Settings) (*Store, error) {
	vm, ok := settings.ClusterMap().Find(settings.VM)
	if !ok || vm.Store == "" {
		return nil, merry.Prependf(mill.ErrInvalid, "vms.%s.store \"\": want host:port", settings.VM)
	}

	s := &Store{settings: settings, vm: vm, client: wire.NewClient(), ledger: disk.NewMemory()}
	if !vm.Durable {
		return s, nil
	}

	return s, s.openFolder()
}

// Run replicates and answers until the context ends or the disk fails.
func (s *Store) Run(ctx context.Context) error {
	defer s.close()

	listener, err := httpd.Listen(ctx, "vms."+s.vm.Name+".store", s.vm.Store)
	if err != nil {
		return err
	}

	// The duties go on until what this store leads has been handed over.
	behind, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()

	group, behind := errgroup.WithContext(behind)
	server := &wire.Server{}
	watcher := ctrl.NewWatcher(s.client, s.settings.ClusterMap().Voters(s.vm))

	handOvers := make([]func(ctx context.Context), 0, 2)

	node, err := s.openLedger(behind, watcher)
	if err != nil {
		return err
	}

	node.Register(server)

	handOvers = append(handOvers, node.TransferPrimary)

	if s.vm.Voter {
		voter, err := s.openVoter(behind)
		if err != nil {
			return err
		}

		voter.Register(server)
		group.Go(func() error { return voter.Run(behind) })

		handOvers = append(handOvers, voter.HandOver)
	}

	group.Go(func() error { return watcher.Run(behind) })
	group.Go(func() error { return node.Run(behind) })
	group.Go(func() error { return server.Serve(behind, listener) })
	group.Go(func() error { return handOver(ctx, behind, stop, handOvers) })

	log.Info().Str("vm", s.vm.Name).Str("address", s.vm.Store).Bool("voter", s.vm.Voter).
		Bool("durable", s.vm.Durable).Msg("store is serving")

	return group.Wait()
}

const handOverTime = 3 * time.Second

// handOver waits for the planned stop, passes on what the store leads, and
// stops its duties.
func handOver(ctx, behind context.Context, stop func(), handOvers []func(ctx context.Context)) error {
	defer stop()

	select {
	case <-ctx.Done():
	case <-behind.Done():
		return nil
	}

	limit, cancel := context.WithTimeout(behind, handOverTime)
	defer cancel()

	for _, pass := range handOvers {
		pass(limit)
	}

	return nil
}

// Init writes the first membership of the control log, this store alone, into
// its data folder and reports whether there was none. The other voters are
// admitted once they run.
func (s *Store) Init() (bool, error) {
	defer s.close()

	if !s.vm.Voter {
		return false, merry.Prependf(mill.ErrInvalid, "vms.%s.voter false: want a voter", s.vm.Name)
	}

	return raft.Bootstrap(s.control, s.self())
}

func (s *Store) openFolder() error {
	lock, err := disk.AcquireLock(filepath.Join(s.settings.DataFolder, "store"))
	if err != nil {
		return err
	}

	s.lock = lock

	if s.vm.Voter {
		if s.control, err = disk.Open(filepath.Join(s.settings.DataFolder, "store", "control")); err != nil {
			return err
		}
	}

	file, err := disk.Open(filepath.Join(s.settings.DataFolder, "store", "ledger"))
	if err != nil {
		return err
	}

	s.ledger = file

	return nil
}

func (s *Store) openVoter(ctx context.Context) (*ctrl.Server, error) {
	var peers []raft.Server

	for _, vm := range s.settings.ClusterMap().VMs() {
		if vm.Voter && vm.Name != s.vm.Name {
			peers = append(peers, raft.Server{VM: vm.Name, Address: vm.Store})
		}
	}

	return ctrl.Open(ctx, s.self(), peers, s.control, s.client, rand.Uint64())
}

func (s *Store) openLedger(ctx context.Context, watcher *ctrl.Watcher) (*ledger.Node, error) {
	self := mill.Member{
		VM:       s.vm.Name,
		Identity: s.ledger.Identity(),
		Address:  s.vm.Store,
		Durable:  s.ledger.Durable(),
	}

	return ledger.OpenNode(ctx, s.vm.DataCentre(), self, s.ledger, s.client, watcher, s.batch)
}

func (s *Store) self() raft.Server {
	return raft.Server{VM: s.vm.Name, Identity: s.control.Identity(), Address: s.vm.Store}
}

func (s *Store) close() {
	err := s.ledger.Close()

	if s.control != nil {
		err = errors.Join(err, s.control.Close())
	}

	if s.lock != nil {
		err = errors.Join(err, s.lock.Close())
	}

	if err != nil {
		log.Error().Err(err).Msg("close the data folder")
	}
}
