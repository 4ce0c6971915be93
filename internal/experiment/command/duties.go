package command

import (
	"context"
	"errors"
	"fmt"
	"os"
	"runtime"
	"sync"
	"time"

	"tealpath/internal/experiment/leases"
	"tealpath/internal/experiment/leasesim"
	"tealpath/internal/experiment/report"
	"tealpath/internal/experiment/testcluster"

	"github.com/urfave/cli/v3"
)

func leasesCommand() *cli.Command {
	return &cli.Command{
		Name:         "duties",
		Usage:        "make lease holders fail and measure how fast other instances take over (docs/duties.md)",
		OnUsageError: usageError,
		Action:       measureLeases,
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "instances", Value: 5, Usage: "number of instances that share the leases"},
			&cli.IntFlag{Name: "kills", Value: 20, Usage: "number of failures of lease holders, one after another"},
			&cli.IntFlag{Name: "caches", Value: 20, Usage: "number of caches that the lease holders probe"},
			&cli.IntFlag{Name: "slots", Value: 64, Usage: "number of leases"},
			seedFlag(),
			outFlag(),
			&cli.DurationFlag{Name: "lease", Value: 1500 * time.Millisecond, Usage: "duration of a lease"},
			&cli.DurationFlag{
				Name:  "renewal",
				Value: 500 * time.Millisecond,
				Usage: "interval between renewals of a lease",
			},
			&cli.DurationFlag{Name: "period", Value: time.Second, Usage: "interval between health checks of a cache"},
			&cli.DurationFlag{
				Name:  "calm",
				Value: 10 * time.Second,
				Usage: "time at the start without faults, in which the cost of idle instances is measured",
			},
			binaryFlag(),
			&cli.Float64Flag{
				Name: "virtual",
				Usage: "simulate only the cluster module, for this many `HOURS` of simulated time; " +
					"0 starts real instances",
			},
		},
	}
}

func measureLeases(ctx context.Context, cmd *cli.Command) error {
	if cmd.Int("instances") < 1 || cmd.Int("kills") < 0 || cmd.Int("caches") < 1 {
		err := fmt.Errorf("--instances and --caches must be at least 1 (got %d and %d), --kills at least 0 (got %d)",
			cmd.Int("instances"), cmd.Int("caches"), cmd.Int("kills"))
		return cli.Exit(err, exitUsage)
	}
	if cmd.Float64("virtual") > 0 {
		return simulateLeases(ctx, cmd)
	}
	out, err := makeOutDir(cmd)
	if err != nil {
		return err
	}
	return withTempDir(func(dir string) error {
		result, err := leases.Experiment{
			Config: testcluster.Config{
				Binary:        cmd.String("binary"),
				Dir:           dir,
				Instances:     cmd.Int("instances"),
				Caches:        cmd.Int("caches"),
				Slots:         cmd.Int("slots"),
				LeaseDuration: cmd.Duration("lease"),
				RenewInterval: cmd.Duration("renewal"),
				ProbePeriod:   cmd.Duration("period"),
			},
			Faults:       cmd.Int("kills"),
			Seed:         cmd.Uint64("seed"),
			ResultsDir:   out,
			IdleDuration: cmd.Duration("calm"),
			Progress:     os.Stdout,
		}.Run(ctx)
		return printWithBounds(result, err)
	})
}

// printWithBounds prints a result if err is nil or a *report.BoundError. It prints nothing if the experiment failed
// for another reason.
func printWithBounds(result any, err error) error {
	var bound *report.BoundError
	if err != nil && !errors.As(err, &bound) {
		return failed(err)
	}
	if printErr := printJSON(result); printErr != nil {
		return printErr
	}
	return failed(err)
}

// simulateLeases divides the simulated time among parallel simulations, each with its own seed.
func simulateLeases(ctx context.Context, cmd *cli.Command) error {
	parts := runtime.GOMAXPROCS(0)
	results := make([]leasesim.Result, parts)
	var group sync.WaitGroup
	for i := range parts {
		group.Go(func() {
			results[i] = leasesim.Plan{
				Instances:     cmd.Int("instances"),
				Slots:         cmd.Int("slots"),
				Targets:       cmd.Int("caches"),
				Hours:         cmd.Float64("virtual") / float64(parts),
				Seed:          cmd.Uint64("seed") + uint64(i),
				ClockSteps:    i%2 == 1,
				LeaseDuration: cmd.Duration("lease"),
				RenewInterval: cmd.Duration("renewal"),
			}.Run(ctx)
		})
	}
	group.Wait()
	sum := leasesim.Result{Instances: cmd.Int("instances")}
	for _, result := range results {
		sum.Add(result)
	}
	sum.LeasedShare /= float64(parts)
	if err := printJSON(sum); err != nil {
		return err
	}
	if !sum.BoundsHold() {
		detail := fmt.Sprintf("with --instances %d, --slots %d", cmd.Int("instances"), cmd.Int("slots"))
		return failed(&report.BoundError{Page: leases.Page, Detail: detail})
	}
	return nil
}
