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

// errWarnings means that a check has found nothing worse than warnings.
var errWarnings = merry.Sentinel("warnings")

func cmdPlatformCheck() command {
	return command{
		name: "platform check",
		help: "Check a setup of the users' platform without contacting any process. Exit codes: 0 fine, 1 errors, " +
			"2 file not readable, 3 warnings only.",
		setup: func(clause *kingpin.CmdClause) action {
			file := clause.Arg("file", "Setup to check, as it is sent to the server.").Required().String()
			against := clause.Flag("against", "Setup in force, to list the differences.").String()
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
		if inForce, err = readSetup(against); err != nil {
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
