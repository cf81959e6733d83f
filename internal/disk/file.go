package disk

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"github.com/ansel1/merry/v2"
	"github.com/phuslu/log"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

const (
	identityFile = "identity"
	snapshotFile = "snapshot"
	recordsFile  = "records"
	// pendingFile is the temporary file that writeAtomic renames to its target.
	pendingFile = "pending"
	// snapshotRecordCount is the number of records in a snapshot file: the generation and the state.
	snapshotRecordCount = 2
	folderMode          = 0o750
	fileMode            = 0o640
)

// File is a mill.Storage in one folder.
//
// The folder holds the identity, a snapshot, and the records after it. The
// snapshot file starts with the generation of the records file that belongs to
// it, so that renaming a new snapshot into place replaces both atomically.
type File struct {
	folder        string
	identity      string
	records       *os.File
	snapshot      []byte
	loadedRecords [][]byte
}

var _ mill.Storage = (*File)(nil)

// Open opens the storage in folder and creates it, with a new identity, if the folder is empty.
func Open(folder string) (*File, error) {
	return OpenWithIdentity(folder, "")
}

// OpenWithIdentity is like Open but assigns the given identity to an empty folder, unless it is "".
func OpenWithIdentity(folder, identity string) (*File, error) {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return nil, merry.Prependf(err, "create data folder %s", folder)
	}

	f := &File{folder: folder}

	if err := f.loadOrCreateIdentity(identity); err != nil {
		return nil, err
	}

	if err := f.loadContent(); err != nil {
		return nil, err
	}

	return f, nil
}

// Load returns the snapshot and the records found when the storage was opened.
func (f *File) Load() ([]byte, [][]byte, error) {
	records := f.loadedRecords
	f.loadedRecords = nil

	return f.snapshot, records, nil
}

// Append writes records with one sync. After an error the storage must not be used again.
func (f *File) Append(records ...[]byte) error {
	if _, err := f.records.Write(encodeFrame(records...)); err != nil {
		return merry.Prependf(err, "append to %s", f.records.Name())
	}

	if err := f.records.Sync(); err != nil {
		return merry.Prependf(err, "sync %s", f.records.Name())
	}

	return nil
}

// Compact writes a snapshot and a new records file, and switches to both with one rename.
func (f *File) Compact(snapshot []byte, records ...[]byte) error {
	next := nextGeneration(f.records.Name())

	file, err := f.createRecords(next, records)
	if err != nil {
		return err
	}

	if err := f.replaceSnapshot(next, snapshot); err != nil {
		return errors.Join(err, file.Close())
	}

	old := f.records
	f.records = file
	f.snapshot = nil

	if err := old.Close(); err != nil {
		return merry.Prependf(err, "close %s", old.Name())
	}

	return os.Remove(old.Name())
}

// Durable returns true.
func (f *File) Durable() bool {
	return true
}

// Identity returns the identity stored in the folder.
func (f *File) Identity() string {
	return f.identity
}

// Close closes the records file.
func (f *File) Close() error {
	return f.records.Close()
}

func (f *File) loadOrCreateIdentity(initial string) error {
	path := filepath.Join(f.folder, identityFile)

	data, err := os.ReadFile(path)
	if err == nil && len(strings.TrimSpace(string(data))) > 0 {
		f.identity = strings.TrimSpace(string(data))

		return nil
	}

	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return merry.Prependf(err, "read %s", path)
	}

	if err := f.rejectRecordsWithoutIdentity(); err != nil {
		return err
	}

	f.identity = initial
	if f.identity == "" {
		f.identity = newIdentity()
	}

	return f.writeAtomic(identityFile, []byte(f.identity+"\n"))
}

// rejectRecordsWithoutIdentity prevents a folder whose identity file was removed
// from joining as a new member with another member's records.
func (f *File) rejectRecordsWithoutIdentity() error {
	names, err := filepath.Glob(filepath.Join(f.folder, recordsFile+".*"))
	if err != nil {
		return err
	}

	if len(names) > 0 {
		return merry.Prependf(mill.ErrCorrupt,
			"%s has records but no identity file; restore it or start with an empty folder", f.folder)
	}

	return nil
}

func (f *File) loadContent() error {
	generation, snapshot, err := f.readSnapshot()
	if err != nil {
		return err
	}

	f.snapshot = snapshot

	if err := f.removeStaleRecords(generation); err != nil {
		return err
	}

	return f.openRecords(generation)
}

// readSnapshot returns the generation and the snapshot, or generation 1 and nil if there is no snapshot yet.
func (f *File) readSnapshot() (uint64, []byte, error) {
	path := filepath.Join(f.folder, snapshotFile)

	data, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return 1, nil, nil
	}

	if err != nil {
		return 0, nil, merry.Prependf(err, "read %s", path)
	}

	records, size, ok := decodeFrame(data)
	if !ok || size != len(data) || len(records) != snapshotRecordCount || len(records[0]) != generationSize {
		return 0, nil, merry.Prependf(mill.ErrCorrupt, "%s at offset 0", path)
	}

	return decodeGeneration(records[0]), records[1], nil
}

// removeStaleRecords removes records files of other generations, which a crash during Compact left behind.
func (f *File) removeStaleRecords(generation uint64) error {
	names, err := filepath.Glob(filepath.Join(f.folder, recordsFile+".*"))
	if err != nil {
		return err
	}

	for _, name := range names {
		if name == f.recordsPath(generation) {
			continue
		}

		if err := os.Remove(name); err != nil {
			return merry.Prependf(err, "remove %s", name)
		}
	}

	return nil
}

func (f *File) openRecords(generation uint64) error {
	path := f.recordsPath(generation)

	data, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return merry.Prependf(err, "read %s", path)
	}

	validSize, err := f.loadRecords(path, data)
	if err != nil {
		return err
	}

	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_APPEND, fileMode)
	if err != nil {
		return merry.Prependf(err, "open %s", path)
	}

	f.records = file

	if validSize < len(data) {
		log.Warn().Str("file", path).Int("offset", validSize).Int("bytes", len(data)-validSize).
			Msg("truncating torn write at end of records file")

		if err := file.Truncate(int64(validSize)); err != nil {
			return merry.Prependf(err, "truncate %s", path)
		}
	}

	if err := file.Sync(); err != nil {
		return merry.Prependf(err, "sync %s", path)
	}

	return f.syncFolder()
}

// loadRecords collects the records of the valid frames at the start of data and
// returns the offset where the last of them ends.
func (f *File) loadRecords(path string, data []byte) (int, error) {
	offset := 0

	for offset < len(data) {
		records, size, ok := decodeFrame(data[offset:])
		if !ok {
			break
		}

		f.loadedRecords = append(f.loadedRecords, records...)
		offset += size
	}

	if containsValidFrame(data[offset:]) {
		return 0, merry.Prependf(mill.ErrCorrupt, "%s at offset %d", path, offset)
	}

	return offset, nil
}

func (f *File) createRecords(generation uint64, records [][]byte) (*os.File, error) {
	path := f.recordsPath(generation)

	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_TRUNC|os.O_APPEND, fileMode)
	if err != nil {
		return nil, merry.Prependf(err, "create %s", path)
	}

	if len(records) > 0 {
		_, err = file.Write(encodeFrame(records...))
	}

	if err != nil {
		return nil, errors.Join(merry.Prependf(err, "write %s", path), file.Close())
	}

	if err := file.Sync(); err != nil {
		return nil, errors.Join(merry.Prependf(err, "sync %s", path), file.Close())
	}

	return file, f.syncFolder()
}

func (f *File) replaceSnapshot(generation uint64, snapshot []byte) error {
	return f.writeAtomic(snapshotFile, encodeFrame(encodeGeneration(generation), snapshot))
}

// writeAtomic replaces a file atomically: a crash leaves either the old or the new content.
func (f *File) writeAtomic(name string, data []byte) error {
	path := filepath.Join(f.folder, pendingFile)

	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, fileMode)
	if err != nil {
		return merry.Prependf(err, "create %s", path)
	}

	if _, err := file.Write(data); err != nil {
		return errors.Join(merry.Prependf(err, "write %s", path), file.Close())
	}

	if err := file.Sync(); err != nil {
		return errors.Join(merry.Prependf(err, "sync %s", path), file.Close())
	}

	if err := file.Close(); err != nil {
		return merry.Prependf(err, "close %s", path)
	}

	if err := os.Rename(path, filepath.Join(f.folder, name)); err != nil {
		return merry.Prependf(err, "rename %s", path)
	}

	return f.syncFolder()
}

func (f *File) syncFolder() error {
	folder, err := os.Open(f.folder)
	if err != nil {
		return merry.Prependf(err, "open %s", f.folder)
	}

	return errors.Join(folder.Sync(), folder.Close())
}

func (f *File) recordsPath(generation uint64) string {
	return filepath.Join(f.folder, fmt.Sprintf("%s.%d", recordsFile, generation))
}
