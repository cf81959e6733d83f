package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/ansel1/merry/v2"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
	"github.com/cranberrymill/cranberrymill/platform"
)

// errNotRead means that a core process has not told the setup in force, so that the check was not made.
var errNotRead = merry.Sentinel("setup in force not read")

// errWarnings means that a check has found nothing worse than warnings.
var errWarnings = merry.Sentinel("warnings")

func cmdPlatformCheck() command {
	return command{
		name: "platform check",
		help: "Check a setup of the users' platform before it is sent. Exit codes: 0 fine, 1 errors, " +
			"2 a setup could not be read, 3 warnings only.",
		setup: func(clause *kingpin.CmdClause) action {
			file := clause.Arg("file", "Setup to check, as it is sent to the server.").Required().String()
			against := clause.Flag("against", "Setup in force, to list the differences: a file, or the control address "+
				"(host:port) of a core process.").String()
			asJSON := clause.Flag("json", "Print the report as JSON.").Bool()

			return func(context.Context) error {
				return checkSetup(os.Stdout, *file, *against, *asJSON)
			}
		},
	}
}

func checkSetup(output io.Writer, file, against string, asJSON bool) error {
	document, err := readSetup(file)
	if err != nil {
		return err
	}

	var inForce []byte

	if against != "" {
		if inForce, err = readSetupInForce(against); err != nil {
			return err
		}
	}

	report := platform.CheckSetup(document, inForce)

	if err := printReport(output, report, asJSON); err != nil {
		return err
	}

	switch {
	case report.Has(platform.SeverityError):
		return merry.Prepend(errRefused, "the server would refuse the setup")
	case report.Has(platform.SeverityWarning):
		return merry.Prepend(errWarnings, "the setup is valid")
	default:
		return nil
	}
}

func readSetup(file string) ([]byte, error) {
	document, err := os.ReadFile(file)
	if err != nil {
		return nil, merry.Prependf(mill.ErrInvalid, "setup cannot be read, check the path: %v", err)
	}

	return document, nil
}

// readSetupInForce reads the setup from a file, or from a core process if there is no such file.
func readSetupInForce(against string) ([]byte, error) {
	if _, err := os.Stat(against); err != nil && platform.IsAddress(against) {
		document, err := platform.FetchSetup(against)
		if err != nil {
			return nil, merry.Apply(errNotRead, merry.WithMessage(err.Error()))
		}

		return document, nil
	}

	return readSetup(against)
}

func printReport(output io.Writer, report *platform.SetupReport, asJSON bool) error {
	if asJSON {
		encoder := json.NewEncoder(output)
		encoder.SetIndent("", "  ")

		return encoder.Encode(report)
	}

	for _, finding := range report.Findings {
		_, _ = fmt.Fprintf(output, "%s: %s: %s\n", finding.Severity, finding.Entry, finding.Text)
	}

	for _, difference := range report.Differences {
		_, _ = fmt.Fprintf(output, "differs: %s\n", difference)
	}

	if len(report.Findings) == 0 {
		_, _ = fmt.Fprintln(output, "ok")
	}

	return nil
}
