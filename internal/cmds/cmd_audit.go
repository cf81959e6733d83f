package cmds

import (
	"context"
	"fmt"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/ansel1/merry/v2"
	"github.com/valyala/fasthttp"

	"github.com/cranberrymill/cranberrymill/internal/ctrl"
)

func cmdAudit() command {
	return command{
		name: "audit",
		help: "Show the audit trail and verify the chain of its records.",
		setup: func(clause *kingpin.CmdClause) action {
			c := newClient(clause)
			after := clause.Flag("after", "Show the records after this number.").Default("0").Uint64()

			return func(context.Context) error {
				var records []ctrl.AuditRecord

				path := fmt.Sprintf("/v1/audit?after=%d", *after)
				if err := c.call(fasthttp.MethodGet, path, nil, &records); err != nil {
					return err
				}

				return printAudit(records)
			}
		},
	}
}

func printAudit(records []ctrl.AuditRecord) error {
	for i := range records {
		r := &records[i]
		at := time.UnixMilli(r.UnixMilli).UTC().Format(time.RFC3339)
		fmt.Printf("%d  %s  %s %s  %d -> %d  by %s  %s\n", r.Number, at, r.Kind, r.Subject, r.From, r.To, r.Who, r.Why)
	}

	if len(records) < 2 {
		return nil
	}

	if invalid := ctrl.VerifyAudit(records[0].Chain, records[1:]); invalid > 0 {
		return merry.Errorf(
			"record %d does not match the chain of the record before it: the trail was tampered with, do not rely on it", invalid,
		)
	}

	return nil
}
