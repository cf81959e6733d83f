package cmds

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/ansel1/merry/v2"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// The exit codes of the program.
const (
	exitOK       = 0
	exitRefused  = 1
	exitUsage    = 2
	exitWarnings = 3
)

// errRefused means that the system understood a request and refused it.
var errRefused = merry.Sentinel("refused")

// version is the content of the version file.
var version string

// Main runs the subcommand given by the arguments and returns the exit code.
func Main(release string, arguments []string) int {
	version = strings.TrimSpace(release)

	// Errors are shown as one line, so capturing their stacks would only cost time.
	merry.SetStackCaptureEnabled(false)

	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()

	return reportError(os.Stderr, dispatch(ctx, arguments))
}

func dispatch(ctx context.Context, arguments []string) error {
	application := kingpin.New("cranberrymill", "Schedules services, batch runs, all-at-once jobs and handover jobs.")
	application.Version(version)
	application.HelpFlag.Short('h')

	actions := registerCommands(application)

	selected, err := application.Parse(arguments)
	if err != nil {
		return merry.Prependf(mill.ErrInvalid, "%v, try --help", err)
	}

	return actions[selected](ctx)
}

// registerCommands adds all subcommands to the application and returns their actions by full name.
func registerCommands(application *kingpin.Application) map[string]action {
	actions := make(map[string]action)
	parents := make(map[string]*kingpin.CmdClause)

	for _, c := range table() {
		group, name, nested := strings.Cut(c.name, " ")
		if !nested {
			clause := application.Command(group, c.help)
			actions[c.name] = c.setup(clause)
			parents[group] = clause

			continue
		}

		if parents[group] == nil {
			parents[group] = application.Command(group, groups()[group])
		}

		actions[c.name] = c.setup(parents[group].Command(name, c.help))
	}

	return actions
}

// reportError writes an error as one line and returns its exit code.
func reportError(output io.Writer, err error) int {
	if err == nil || errors.Is(err, context.Canceled) {
		return exitOK
	}

	line := strings.ReplaceAll(err.Error(), "\n", "; ")
	_, _ = fmt.Fprintln(output, "cranberrymill: "+line)

	if errors.Is(err, mill.ErrInvalid) || errors.Is(err, mill.ErrLocked) || errors.Is(err, errNotRead) {
		return exitUsage
	}

	if errors.Is(err, errWarnings) {
		return exitWarnings
	}

	return exitRefused
}
