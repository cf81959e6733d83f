package disk

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cranberrymill/cranberrymill/internal/seeds"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

func TestMain(m *testing.M) {
	seeds.RunAndExit(m.Run, 100)
}

// TestFuzzReopen appends, compacts and crashes with a torn write at the end of
// the file. It checks that reopening returns exactly the stored content.
func TestFuzzReopen(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		folder, err := os.MkdirTemp("", "disk")
		assert.NilError(t, err)

		defer func() { _ = os.RemoveAll(folder) }()

		file := open(t, folder)
		identity := file.Identity()
		snapshot := ""
		count := 0

		var records []string

		t.Repeat(map[string]func(*rapid.T){
			"append": func(t *rapid.T) {
				var batch [][]byte

				for range rapid.IntRange(1, 3).Draw(t, "records") {
					count++
					record := strings.Repeat(fmt.Sprint("record", count), rapid.IntRange(1, 20).Draw(t, "size"))
					records = append(records, record)
					batch = append(batch, []byte(record))
				}

				assert.NilError(t, file.Append(batch...))
			},
			"compact": func(t *rapid.T) {
				keep := rapid.IntRange(0, len(records)).Draw(t, "keep")
				records = records[len(records)-keep:]
				count++
				snapshot = fmt.Sprint("snapshot", count)

				assert.NilError(t, file.Compact([]byte(snapshot), toBytes(records)...))
			},
			"reopen": func(t *rapid.T) {
				assert.NilError(t, file.Close())
				tear(t, file.records.Name())

				file = open(t, folder)
				checkContent(t, file, identity, snapshot, records)
			},
		})

		assert.NilError(t, file.Close())
	})
}

func open(t *rapid.T, folder string) *File {
	file, err := Open(folder)
	assert.NilError(t, err)

	return file
}

// tear appends part of a frame to the file, as a crash during a write does.
func tear(t *rapid.T, path string) {
	frame := encodeFrame([]byte("never synced"), []byte("second"))
	torn := frame[:rapid.IntRange(0, len(frame)-1).Draw(t, "torn")]

	file, err := os.OpenFile(path, os.O_APPEND|os.O_WRONLY, fileMode)
	assert.NilError(t, err)

	_, err = file.Write(torn)
	assert.NilError(t, errors.Join(err, file.Close()))
}

func checkContent(t *rapid.T, file *File, identity, snapshot string, records []string) {
	loaded, stored, err := file.Load()
	assert.NilError(t, err)
	assert.Equal(t, file.Identity(), identity)
	assert.Equal(t, string(loaded), snapshot)
	assert.Equal(t, len(stored), len(records))

	for i := range stored {
		assert.Equal(t, string(stored[i]), records[i])
	}
}

func toBytes(records []string) [][]byte {
	var raw [][]byte
	for _, record := range records {
		raw = append(raw, []byte(record))
	}

	return raw
}

// TestDamageBeforeTheTailIsNamed checks that corruption before the last frame is
// not truncated like a torn write, which would lose synced records: opening fails
// with the file and offset.
func TestDamageBeforeTheTailIsNamed(t *testing.T) {
	folder := t.TempDir()

	file, err := Open(folder)
	assert.NilError(t, err)

	for i := range 3 {
		assert.NilError(t, file.Append([]byte(fmt.Sprint("record", i))))
	}

	assert.NilError(t, file.Close())

	path := file.records.Name()
	data, err := os.ReadFile(path)
	assert.NilError(t, err)

	first := len(encodeFrame([]byte("record0")))
	data[first+headerSize+2] ^= 1
	assert.NilError(t, os.WriteFile(path, data, fileMode))

	_, err = Open(folder)
	assert.ErrorIs(t, err, mill.ErrCorrupt)
	assert.ErrorContains(t, err, fmt.Sprintf("%s at offset %d", path, first))
}

// TestRecordsWithoutIdentityAreRefused checks that a folder whose identity file was
// removed cannot join as a new member with another member's records.
func TestRecordsWithoutIdentityAreRefused(t *testing.T) {
	folder := t.TempDir()

	file, err := Open(folder)
	assert.NilError(t, err)
	assert.NilError(t, file.Append([]byte("record")))
	assert.NilError(t, file.Close())
	assert.NilError(t, os.Remove(filepath.Join(folder, identityFile)))

	_, err = Open(folder)
	assert.ErrorIs(t, err, mill.ErrCorrupt)
}

// TestEmptiedFolderHasAnotherIdentity checks that a member that lost its content is
// not taken for its former self.
func TestEmptiedFolderHasAnotherIdentity(t *testing.T) {
	folder := t.TempDir()

	first, err := Open(folder)
	assert.NilError(t, err)
	assert.NilError(t, first.Close())
	assert.NilError(t, os.RemoveAll(folder))

	second, err := Open(folder)
	assert.NilError(t, err)
	assert.Assert(t, first.Identity() != second.Identity())
	assert.NilError(t, second.Close())
}

// TestLockKeepsSecondProcessOut checks that two processes cannot use a data folder
// at the same time, and that closing the lock releases it.
func TestLockKeepsSecondProcessOut(t *testing.T) {
	folder := t.TempDir()

	lock, err := AcquireLock(folder)
	assert.NilError(t, err)

	_, err = AcquireLock(folder)
	assert.ErrorIs(t, err, mill.ErrLocked)
	assert.NilError(t, lock.Close())

	lock, err = AcquireLock(folder)
	assert.NilError(t, err)
	assert.NilError(t, lock.Close())
}
