// Standin simulates the upstreams, workers and callers of cranberrymill.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/cranberrymill/cranberrymill/internal/stand"
)

func main() {
	os.Exit(run())
}

// run returns the exit code.
func run() int {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()

	application := kingpin.New("standin", "Simulates the upstreams, workers and callers of cranberrymill.")
	upstream := upstreamAction(application)
	worker := workerAction(application)
	load := loadAction(application)
	verdict := verdictAction(application)

	actions := map[string]func(ctx context.Context) error{
		"upstream": upstream, "worker": worker, "load": load, "verdict": verdict,
	}

	selected := kingpin.MustParse(application.Parse(os.Args[1:]))

	if err := actions[selected](ctx); err != nil {
		fmt.Fprintln(os.Stderr, "standin: "+err.Error())

		return 1
	}

	return 0
}

func upstreamAction(application *kingpin.Application) func(ctx context.Context) error {
	clause := application.Command("upstream", "Simulate the executors of one service in one data centre.")

	var config stand.UpstreamConfig

	clause.Flag("entries", "Addresses of entries, separated by commas.").Required().StringVar(&config.Entries)
	clause.Flag("prefix", "Prefix of each id.").Default("upstream").StringVar(&config.IDPrefix)
	clause.Flag("service", "Service.").Required().StringVar(&config.Service)
	clause.Flag("data-centre", "Data centre.").Required().StringVar(&config.DataCentre)
	clause.Flag("count", "Number of executors.").Default("1").IntVar(&config.Count)
	clause.Flag("rack-size", "Number of executors in a rack.").Default("5").IntVar(&config.RackSize)
	clause.Flag("slots", "Number of slots of an executor.").Default("8").IntVar(&config.Slots)
	clause.Flag("connections", "Number of connections of an executor.").Default("64").IntVar(&config.Connections)
	clause.Flag("answer", "Mean time until an executor answers.").Default("20ms").DurationVar(&config.MeanAnswerTime)
	clause.Flag("runs", "Output file for the count of runs of each request.").Required().StringVar(&config.RunsPath)
	clause.Flag("loads", "Output file for the use of slots of each executor.").Required().StringVar(&config.SlotsPath)

	return func(ctx context.Context) error { return stand.NewUpstreams(config).Run(ctx) }
}

func workerAction(application *kingpin.Application) func(ctx context.Context) error {
	clause := application.Command("worker", "Simulate the workers of one data centre.")

	var config stand.WorkerConfig

	clause.Flag("entries", "Addresses of entries, separated by commas.").Required().StringVar(&config.Entries)
	clause.Flag("prefix", "Prefix of each id.").Default("vm").StringVar(&config.IDPrefix)
	clause.Flag("data-centre", "Data centre.").Required().StringVar(&config.DataCentre)
	clause.Flag("count", "Number of workers.").Default("1").IntVar(&config.Count)
	clause.Flag("rack-size", "Number of workers in a rack.").Default("5").IntVar(&config.RackSize)
	clause.Flag("milli-cores", "CPU capacity of a worker in thousandths of a core.").Default("16000").
		Int64Var(&config.Capacity.MilliCores)
	clause.Flag("memory-mib", "Memory of a worker in MiB.").Default("32768").Int64Var(&config.Capacity.MemoryMiB)
	clause.Flag("accelerators", "Number of accelerators of a worker.").Default("0").Int64Var(&config.Capacity.Accelerators)
	clause.Flag("tasks", "Output file for the attempts.").Required().StringVar(&config.AttemptsPath)

	return func(ctx context.Context) error { return stand.NewWorkers(config).Run(ctx) }
}

func loadAction(application *kingpin.Application) func(ctx context.Context) error {
	clause := application.Command("load", "Simulate callers that send at a fixed rate.")

	var config stand.CallerConfig

	clause.Flag("entries", "Addresses of entries, separated by commas.").Required().StringVar(&config.Entries)
	clause.Flag("service", "Service.").Required().StringVar(&config.Service)
	clause.Flag("rate", "Requests per second.").Default("100").Float64Var(&config.Rate)
	clause.Flag("duration", "How long to send.").Default("20s").DurationVar(&config.Duration)
	clause.Flag("keyed", "Percentage of keyed requests.").Default("50").IntVar(&config.KeyedPercent)
	clause.Flag("deadline", "Deadline of a request.").Default("3s").DurationVar(&config.Deadline)
	clause.Flag("seed", "Seed of the random choice of keyed requests.").Default("1").Uint64Var(&config.Seed)
	clause.Flag("run", "Prefix of each request id.").Default(fmt.Sprint(time.Now().UnixNano())).StringVar(&config.IDPrefix)
	clause.Flag("records", "Output file for the requests and their outcomes.").Required().StringVar(&config.RecordsPath)

	return func(ctx context.Context) error { return stand.NewCallers(config).Run(ctx) }
}

func verdictAction(application *kingpin.Application) func(ctx context.Context) error {
	clause := application.Command("verdict", "Compare the records and print the result as JSON.")
	requests := clause.Flag("records", "File that load has written; repeatable.").Strings()
	runs := clause.Flag("runs", "File that upstream has written; repeatable.").Strings()
	loads := clause.Flag("loads", "File that upstream has written; repeatable.").Strings()
	tasks := clause.Flag("tasks", "File that worker has written; repeatable.").Strings()

	return func(context.Context) error {
		verdict, err := stand.Compare(*requests, *runs, *loads, *tasks)
		if err != nil {
			return err
		}

		if err := json.NewEncoder(os.Stdout).Encode(verdict); err != nil {
			return err
		}

		return verdict.Err()
	}
}
