// Standin plays the upstreams, workers and callers of cranberrymill.
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

	application := kingpin.New("standin", "Plays the upstreams, workers and callers of cranberrymill.")
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
	clause := application.Command("upstream", "Play the executors of one service in one data centre.")

	var config stand.UpstreamConfig

	clause.Flag("entries", "Addresses of entries, with commas.").Required().StringVar(&config.Entries)
	clause.Flag("prefix", "Start of each id.").Default("upstream").StringVar(&config.Prefix)
	clause.Flag("service", "Service.").Required().StringVar(&config.Service)
	clause.Flag("data-centre", "Data centre.").Required().StringVar(&config.DataCentre)
	clause.Flag("count", "Number of executors.").Default("1").IntVar(&config.Count)
	clause.Flag("rack-size", "Executors in a rack.").Default("5").IntVar(&config.RackSize)
	clause.Flag("slots", "Slots of an executor.").Default("8").IntVar(&config.Slots)
	clause.Flag("connections", "Connections of an executor.").Default("64").IntVar(&config.Connects)
	clause.Flag("answer", "Mean time of an answer.").Default("20ms").DurationVar(&config.Answer)
	clause.Flag("runs", "File for the count of runs.").Required().StringVar(&config.Runs)
	clause.Flag("loads", "File for the use of slots.").Required().StringVar(&config.Loads)

	return func(ctx context.Context) error { return stand.NewUpstreams(config).Run(ctx) }
}

func workerAction(application *kingpin.Application) func(ctx context.Context) error {
	clause := application.Command("worker", "Play the workers of one data centre.")

	var config stand.WorkerConfig

	clause.Flag("entries", "Addresses of entries, with commas.").Required().StringVar(&config.Entries)
	clause.Flag("prefix", "Start of each id.").Default("vm").StringVar(&config.Prefix)
	clause.Flag("data-centre", "Data centre.").Required().StringVar(&config.DataCentre)
	clause.Flag("count", "Number of workers.").Default("1").IntVar(&config.Count)
	clause.Flag("rack-size", "Workers in a rack.").Default("5").IntVar(&config.RackSize)
	clause.Flag("milli-cores", "Processors of a worker in thousandths.").Default("16000").
		Int64Var(&config.Capacity.MilliCores)
	clause.Flag("memory-mib", "Memory of a worker in MiB.").Default("32768").Int64Var(&config.Capacity.MemoryMiB)
	clause.Flag("accelerators", "Accelerators of a worker.").Default("0").Int64Var(&config.Capacity.Accelerators)
	clause.Flag("tasks", "File for the attempts.").Required().StringVar(&config.Tasks)

	return func(ctx context.Context) error { return stand.NewWorkers(config).Run(ctx) }
}

func loadAction(application *kingpin.Application) func(ctx context.Context) error {
	clause := application.Command("load", "Play callers at a set rate.")

	var config stand.LoadConfig

	clause.Flag("entries", "Addresses of entries, with commas.").Required().StringVar(&config.Entries)
	clause.Flag("service", "Service.").Required().StringVar(&config.Service)
	clause.Flag("rate", "Requests a second.").Default("100").Float64Var(&config.Rate)
	clause.Flag("duration", "How long to send.").Default("20s").DurationVar(&config.Duration)
	clause.Flag("keyed", "Keyed requests in each hundred.").Default("50").IntVar(&config.Keyed)
	clause.Flag("deadline", "Deadline of a request.").Default("3s").DurationVar(&config.Deadline)
	clause.Flag("seed", "Seed of the mix.").Default("1").Uint64Var(&config.Seed)
	clause.Flag("run", "Start of each request id.").Default(fmt.Sprint(time.Now().UnixNano())).StringVar(&config.Run)
	clause.Flag("records", "File for the answers.").Required().StringVar(&config.Records)

	return func(ctx context.Context) error { return stand.NewLoad(config).Run(ctx) }
}

func verdictAction(application *kingpin.Application) func(ctx context.Context) error {
	clause := application.Command("verdict", "Compare the records and print the result.")
	requests := clause.Flag("records", "File of a load.").Strings()
	runs := clause.Flag("runs", "File of upstreams.").Strings()
	loads := clause.Flag("loads", "File of upstreams.").Strings()
	tasks := clause.Flag("tasks", "File of workers.").Strings()

	return func(context.Context) error {
		verdict, err := stand.Judge(*requests, *runs, *loads, *tasks)
		if err != nil {
			return err
		}

		if err := json.NewEncoder(os.Stdout).Encode(verdict); err != nil {
			return err
		}

		return verdict.Err()
	}
}
