package cmds

import (
	"os"
	"runtime/debug"

	"github.com/alecthomas/kingpin/v2"
	"github.com/ansel1/merry/v2"
	"github.com/phuslu/log"

	"github.com/cranberrymill/cranberrymill/internal/conf"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

func settingsFlag(clause *kingpin.CmdClause) *string {
	return clause.Flag("settings", "Settings file of this VM.").Required().String()
}

// loadSettings reads the settings and applies those for the whole process.
func loadSettings(path string) (*conf.Settings, error) {
	settings, err := conf.Load(path)
	if err != nil {
		return nil, err
	}

	return settings, prepareProcess(settings)
}

// prepareProcess creates the data folder and applies the log settings and the memory limit.
func prepareProcess(settings *conf.Settings) error {
	if err := os.MkdirAll(settings.DataFolder, 0o750); err != nil {
		return folderError(settings.DataFolder, err)
	}

	log.DefaultLogger = log.Logger{
		Level:      log.ParseLevel(settings.LogLevel),
		TimeFormat: "2006-01-02T15:04:05.000Z07:00",
		Writer:     &log.IOWriter{Writer: os.Stderr},
	}

	debug.SetMemoryLimit(settings.Limits.MemoryMiB << 20)

	return nil
}

func folderError(folder string, err error) error {
	return merry.Prependf(mill.ErrInvalid, "dataFolder %q: want a folder that can be written: %v", folder, err)
}
