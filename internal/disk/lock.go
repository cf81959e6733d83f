package disk

import (
	"errors"
	"os"
	"path/filepath"
	"syscall"

	"github.com/ansel1/merry/v2"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

const lockFile = "lock"

// Lock is an exclusive lock on a data folder, held until it is closed.
type Lock struct {
	file *os.File
}

// AcquireLock locks the data folder or returns mill.ErrLocked.
func AcquireLock(folder string) (*Lock, error) {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return nil, merry.Prependf(err, "create data folder %s", folder)
	}

	file, err := os.OpenFile(filepath.Join(folder, lockFile), os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return nil, merry.Prependf(err, "open lock file in data folder %s", folder)
	}

	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return nil, errors.Join(merry.Prependf(mill.ErrLocked, "%s", folder), file.Close())
	}

	return &Lock{file: file}, nil
}

// Close releases the lock.
func (l *Lock) Close() error {
	return l.file.Close()
}
