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

// Store is one store process.
type Store struct {
	settings       *conf.Settings
	vm             conf.VM
	client         *wire.Client
	lock           *disk.Lock
	controlStorage mill.Storage
	ledgerStorage  mill.Storage
	// maxBatch is the maximum number of ledger events that share one sync; 0 means the default.
	maxBatch int
}

// New returns a store, which Run starts. It locks and opens the data folder of a durable one.
func New(settings *conf.Settings) (*Store, error) {
	vm, ok := settings.ClusterMap().Find(settings.VM)
	if !ok || vm.Store == "" {
		return nil, merry.Prependf(mill.ErrInvalid, "vms.%s.store \"\": want host:port", settings.VM)
	}

	s := &Store{settings: settings, vm: vm, client: wire.NewClient(), ledgerStorage: disk.NewMemory()}
	if !vm.Durable {
		return s, nil
	}

	return s, s.openDataFolder()
}

// Run replicates and serves requests until the context ends or the disk fails.
func (s *Store) Run(ctx context.Context) error {
	defer s.close()

	listener, err := httpd.Listen(ctx, "vms."+s.vm.Name+".store", s.vm.Store)
	if err != nil {
		return err
	}

	// The components keep running after ctx ends until their leadership has been transferred.
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()

	group, runCtx := errgroup.WithContext(runCtx)
	server := &wire.Server{}
	watcher := ctrl.NewWatcher(s.client, s.settings.ClusterMap().Voters(s.vm))

	transfers := make([]func(ctx context.Context), 0, 2)

	node, err := s.openLedger(runCtx, watcher)
	if err != nil {
		return err
	}

	node.Register(server)

	transfers = append(transfers, node.TransferPrimary)

	if s.vm.Voter {
		voter, err := s.openVoter(runCtx)
		if err != nil {
			return err
		}

		voter.Register(server)
		group.Go(func() error { return voter.Run(runCtx) })

		transfers = append(transfers, voter.TransferLeadership)
	}

	group.Go(func() error { return watcher.Run(runCtx) })
	group.Go(func() error { return node.Run(runCtx) })
	group.Go(func() error { return server.Serve(runCtx, listener) })
	group.Go(func() error { return transferOnStop(ctx, runCtx, stop, transfers) })

	log.Info().Str("vm", s.vm.Name).Str("address", s.vm.Store).Bool("voter", s.vm.Voter).
		Bool("durable", s.vm.Durable).Msg("store started")

	return group.Wait()
}

const transferTimeout = 3 * time.Second

// transferOnStop waits until ctx ends for a planned stop, transfers the leadership that the store holds,
// and then stops its components.
func transferOnStop(ctx, runCtx context.Context, stop func(), transfers []func(ctx context.Context)) error {
	defer stop()

	select {
	case <-ctx.Done():
	case <-runCtx.Done():
		return nil
	}

	limit, cancel := context.WithTimeout(runCtx, transferTimeout)
	defer cancel()

	for _, transfer := range transfers {
		transfer(limit)
	}

	return nil
}

// Init writes the first membership of the control log, which is this store alone, to its data folder,
// and reports whether there was none before. The other voters are admitted once they run.
func (s *Store) Init() (bool, error) {
	defer s.close()

	if !s.vm.Voter {
		return false, merry.Prependf(mill.ErrInvalid, "vms.%s.voter false: want a voter", s.vm.Name)
	}

	return raft.Bootstrap(s.controlStorage, s.self())
}

func (s *Store) openDataFolder() error {
	lock, err := disk.AcquireLock(filepath.Join(s.settings.DataFolder, "store"))
	if err != nil {
		return err
	}

	s.lock = lock

	if s.vm.Voter {
		if s.controlStorage, err = disk.Open(filepath.Join(s.settings.DataFolder, "store", "control")); err != nil {
			return err
		}
	}

	file, err := disk.Open(filepath.Join(s.settings.DataFolder, "store", "ledger"))
	if err != nil {
		return err
	}

	s.ledgerStorage = file

	return nil
}

func (s *Store) openVoter(ctx context.Context) (*ctrl.Server, error) {
	var peers []raft.Server

	for _, vm := range s.settings.ClusterMap().VMs() {
		if vm.Voter && vm.Name != s.vm.Name {
			peers = append(peers, raft.Server{VM: vm.Name, Address: vm.Store})
		}
	}

	return ctrl.Open(ctx, s.self(), peers, s.controlStorage, s.client, rand.Uint64())
}

func (s *Store) openLedger(ctx context.Context, watcher *ctrl.Watcher) (*ledger.Node, error) {
	self := mill.Member{
		VM:       s.vm.Name,
		Identity: s.ledgerStorage.Identity(),
		Address:  s.vm.Store,
		Durable:  s.ledgerStorage.Durable(),
	}

	return ledger.OpenNode(ctx, s.vm.DataCentre(), self, s.ledgerStorage, s.client, watcher, s.maxBatch)
}

func (s *Store) self() raft.Server {
	return raft.Server{VM: s.vm.Name, Identity: s.controlStorage.Identity(), Address: s.vm.Store}
}

func (s *Store) close() {
	err := s.ledgerStorage.Close()

	if s.controlStorage != nil {
		err = errors.Join(err, s.controlStorage.Close())
	}

	if s.lock != nil {
		err = errors.Join(err, s.lock.Close())
	}

	if err != nil {
		log.Error().Err(err).Msg("cannot close the data folder")
	}
}
