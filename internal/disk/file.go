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
	pendingFile  = "pending"
	// snapshotParts is the number of records in a snapshot file: generation and state.
	snapshotParts = 2
	folderMode    = 0o750
	fileMode      = 0o640
)

// File is a mill.Storage in one folder.
//
// The folder holds the identity, a snapshot, and the records after it. The
// snapshot file starts with the generation of the records file that follows
// it, so that replacing the snapshot by a rename replaces both at once.
type File struct {
	folder   string
	identity string
	records  *os.File
	snapshot []byte
	loaded   [][]byte
}

var _ mill.Storage = (*File)(nil)

// Open opens the storage in folder and makes it, with a new identity, when the folder is empty.
func Open(folder string) (*File, error) {
	return OpenAs(folder, "")
}

// OpenAs does what Open does, but gives an empty folder the identity, unless that is "".
func OpenAs(folder, identity string) (*File, error) {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return nil, merry.Prependf(err, "data folder %s", folder)
	}

	f := &File{folder: folder}

	if err := f.loadIdentity(identity); err != nil {
		return nil, err
	}

	if err := f.loadContent(); err != nil {
		return nil, err
	}

	return f, nil
}

// Load returns the snapshot and the records that were there when the storage was opened.
func (f *File) Load() ([]byte, [][]byte, error) {
	records := f.loaded
	f.loaded = nil

	return f.snapshot, records, nil
}

// Append writes records with one sync; after an error the storage must not be used again.
func (f *File) Append(records ...[]byte) error {
	if _, err := f.records.Write(encodeFrame(records...)); err != nil {
		return merry.Prependf(err, "append to %s", f.records.Name())
	}

	if err := f.records.Sync(); err != nil {
		return merry.Prependf(err, "sync %s", f.records.Name())
	}

	return nil
}

// Compact writes a snapshot and a new records file, and switches to both by one rename.
func (f *File) Compact(snapshot []byte, records ...[]byte) error {
	next := generationAfter(f.records.Name())

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

// Identity returns the id written in the folder.
func (f *File) Identity() string {
	return f.identity
}

// Close closes the records file.
func (f *File) Close() error {
	return f.records.Close()
}

func (f *File) loadIdentity(first string) error {
	path := filepath.Join(f.folder, identityFile)

	data, err := os.ReadFile(path)
	if err == nil && len(strings.TrimSpace(string(data))) > 0 {
		f.identity = strings.TrimSpace(string(data))

		return nil
	}

	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return merry.Prependf(err, "read %s", path)
	}

	if err := f.refuseOrphans(); err != nil {
		return err
	}

	f.identity = first
	if f.identity == "" {
		f.identity = newIdentity()
	}

	return f.writeWhole(identityFile, []byte(f.identity+"\n"))
}

// refuseOrphans keeps a folder whose identity was removed from joining as a
// new member with another member's content.
func (f *File) refuseOrphans() error {
	names, err := filepath.Glob(filepath.Join(f.folder, recordsFile+".*"))
	if err != nil {
		return err
	}

	if len(names) > 0 {
		return merry.Prependf(mill.ErrCorrupt, "%s has records but no identity file", f.folder)
	}

	return nil
}

func (f *File) loadContent() error {
	generation, snapshot, err := f.readSnapshot()
	if err != nil {
		return err
	}

	f.snapshot = snapshot

	if err := f.removeOthers(generation); err != nil {
		return err
	}

	return f.openRecords(generation)
}

// readSnapshot returns generation 1 and no snapshot when there is none yet.
func (f *File) readSnapshot() (uint64, []byte, error) {
	path := filepath.Join(f.folder, snapshotFile)

	data, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return 1, nil, nil
	}

	if err != nil {
		return 0, nil, merry.Prependf(err, "read %s", path)
	}

	parts, size, ok := decodeFrame(data)
	if !ok || size != len(data) || len(parts) != snapshotParts || len(parts[0]) != generationSize {
		return 0, nil, merry.Prependf(mill.ErrCorrupt, "%s at offset 0", path)
	}

	return decodeGeneration(parts[0]), parts[1], nil
}

// removeOthers removes the records files that a crash during Compact left.
func (f *File) removeOthers(generation uint64) error {
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

	whole, err := f.scan(path, data)
	if err != nil {
		return err
	}

	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_APPEND, fileMode)
	if err != nil {
		return merry.Prependf(err, "open %s", path)
	}

	f.records = file

	if whole < len(data) {
		log.Warn().Str("file", path).Int("offset", whole).Int("bytes", len(data)-whole).Msg("torn tail cut off")

		if err := file.Truncate(int64(whole)); err != nil {
			return merry.Prependf(err, "truncate %s", path)
		}
	}

	if err := file.Sync(); err != nil {
		return merry.Prependf(err, "sync %s", path)
	}

	return f.syncFolder()
}

// scan collects the records of the whole frames of data and returns the offset
// behind the last.
func (f *File) scan(path string, data []byte) (int, error) {
	offset := 0

	for offset < len(data) {
		records, size, ok := decodeFrame(data[offset:])
		if !ok {
			break
		}

		f.loaded = append(f.loaded, records...)
		offset += size
	}

	if wholeFrameBehind(data[offset:]) {
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
	return f.writeWhole(snapshotFile, encodeFrame(encodeGeneration(generation), snapshot))
}

// writeWhole replaces a file so that a crash leaves either the old content or the new.
func (f *File) writeWhole(name string, data []byte) error {
	pending := filepath.Join(f.folder, pendingFile)

	file, err := os.OpenFile(pending, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, fileMode)
	if err != nil {
		return merry.Prependf(err, "create %s", pending)
	}

	if _, err := file.Write(data); err != nil {
		return errors.Join(merry.Prependf(err, "write %s", pending), file.Close())
	}

	if err := file.Sync(); err != nil {
		return errors.Join(merry.Prependf(err, "sync %s", pending), file.Close())
	}

	if err := file.Close(); err != nil {
		return merry.Prependf(err, "close %s", pending)
	}

	if err := os.Rename(pending, filepath.Join(f.folder, name)); err != nil {
		return merry.Prependf(err, "rename %s", pending)
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
