package cmds

import (
	"context"

	"github.com/alecthomas/kingpin/v2"
	"github.com/ansel1/merry/v2"
	"github.com/valyala/fasthttp"

	"github.com/cranberrymill/cranberrymill/internal/entry"
)

func cmdStatus() command {
	return command{
		name: "status",
		help: "Show the status of the system as one entry sees it.",
		setup: func(clause *kingpin.CmdClause) action {
			c := newClient(clause)
			whole := clause.Flag("whole", "Exit with 1 unless every ledger has two replicas and every voter follows a leader.").Bool()

			return func(context.Context) error {
				var status entry.StatusReply

				if err := c.call(fasthttp.MethodGet, "/v1/status", nil, &status); err != nil {
					return err
				}

				if err := printJSON(status); err != nil {
					return err
				}

				if *whole {
					return checkHealthy(&status)
				}

				return nil
			}
		},
	}
}

// minReplicas is the number of replicas that a ledger needs to survive the loss of one.
const minReplicas = 2

// checkHealthy returns errRefused naming the first voter or ledger that is not healthy.
func checkHealthy(status *entry.StatusReply) error {
	for i := range status.Control {
		voter := &status.Control[i]
		if voter.Leader == "" || !voter.Voting || len(voter.Voters) != len(status.Control) {
			return merry.Prependf(errRefused, "voter %s has leader %q, voting %t, knows %d voters, check its log",
				voter.VM, voter.Leader, voter.Voting, len(voter.Voters))
		}
	}

	for i := range status.Ledgers {
		ledger := &status.Ledgers[i]
		if len(ledger.Replicas) < minReplicas || !ledger.Durable || ledger.Scheduler == "" {
			return merry.Prependf(errRefused, "the ledger of %s has replicas %q, durable %t, scheduler %q, check its stores",
				ledger.DataCentre, ledger.Replicas, ledger.Durable, ledger.Scheduler)
		}
	}

	return nil
}
