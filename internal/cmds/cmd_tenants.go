package cmds

import (
	"context"
	"fmt"
	"io"
	"os"
	"strconv"
	"text/tabwriter"

	"github.com/alecthomas/kingpin/v2"
	"github.com/valyala/fasthttp"

	"github.com/cranberrymill/cranberrymill/internal/core"
	"github.com/cranberrymill/cranberrymill/platform"
)

func cmdTenants() command {
	return command{
		name: "tenants",
		help: "List the tenants of the platform's setup with their limits and their use.",
		setup: func(clause *kingpin.CmdClause) action {
			address := clause.Flag("store", "Metrics address of a platform store; the one that leads counts submissions.").
				Default("127.0.0.1:" + platform.MetricsPort).Envar("CRANBERRYMILL_STORE").String()
			asJSON := clause.Flag("json", "Print the list as JSON.").Bool()
			c := &client{address: address, role: "store"}

			return func(context.Context) error {
				var list core.TenantList

				if err := c.call(fasthttp.MethodGet, platform.PathTenants, nil, &list); err != nil {
					return err
				}

				if *asJSON {
					return printJSON(&list)
				}

				return printTenants(os.Stdout, &list)
			}
		},
	}
}

// printTenants prints a line for each tenant. Amounts are shown as running/limit.
func printTenants(output io.Writer, list *core.TenantList) error {
	role := "follows: accepted and refused are those of its own terms"
	if list.Leading {
		role = "leads"
	}

	table := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(table, "setup %d, this store %s\n", list.Version, role)
	_, _ = fmt.Fprintln(table, "TENANT\tWEIGHT\tKEYS\tMILLICORES\tMIB\tACCELERATORS\tWAITING\tACCEPTED\tREFUSED")

	for i := range list.Tenants {
		t := &list.Tenants[i]
		_, _ = fmt.Fprintf(table, "%q\t%g\t%d\t%s\t%s\t%s\t%d\t%d\t%d\n", t.Name, t.Weight, t.Keys,
			use(t.Running.MilliCores, t.Limit.MilliCores), use(t.Running.MemoryMiB, t.Limit.MemoryMiB),
			use(t.Running.Accelerators, t.Limit.Accelerators), t.Waiting, t.Submissions.Accepted, t.Submissions.Refused)
	}

	return table.Flush()
}

// use returns an amount in use and its limit as text; a limit of 0 is none.
func use(running, limit int64) string {
	if limit == 0 {
		return strconv.FormatInt(running, 10) + "/-"
	}

	return fmt.Sprintf("%d/%d", running, limit)
}
