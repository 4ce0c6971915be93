// Package command is the command line of the experiments on routers and their modules, on loopback alone.
package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"tealpath/internal/experiment"
	"tealpath/internal/experiment/leasesim"
)

// Exit codes: a bound that is broken or an experiment that failed, and the command line at fault.
const (
	exitBroken = 1
	exitUsage  = 2
)

// Main runs the command line under the name of its program and ends the process.
func Main(name string) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := app(name).Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, name+":", err)
		code := exitUsage
		var coded cli.ExitCoder
		if errors.As(err, &coded) {
			code = coded.ExitCode()
		}
		os.Exit(code)
	}
}

func app(name string) *cli.Command {
	usage := func(_ context.Context, _ *cli.Command, err error, _ bool) error { return cli.Exit(err, exitUsage) }
	return &cli.Command{Name: name, Usage: "experiments on loopback; the last line is one JSON object",
		ExitErrHandler: func(context.Context, *cli.Command, error) {}, OnUsageError: usage,
		Commands: []*cli.Command{{Name: "duties", Usage: "kill owners of divided duties and measure the takeovers", OnUsageError: usage,
			Action: duties, Flags: []cli.Flag{
				&cli.IntFlag{Name: "instances", Value: 5}, &cli.IntFlag{Name: "kills", Value: 20},
				&cli.IntFlag{Name: "caches", Value: 20}, &cli.IntFlag{Name: "slots", Value: 64},
				&cli.Uint64Flag{Name: "seed", Value: 7}, &cli.StringFlag{Name: "out", Value: "lab-out", Usage: "folder of the results"},
				&cli.DurationFlag{Name: "lease", Value: 1500 * time.Millisecond},
				&cli.DurationFlag{Name: "renewal", Value: 500 * time.Millisecond},
				&cli.DurationFlag{Name: "period", Value: time.Second}, &cli.DurationFlag{Name: "calm", Value: 10 * time.Second},
				&cli.StringFlag{Name: "binary", Value: "bin/tealpath"},
				&cli.Float64Flag{Name: "virtual", Usage: "play the modules for so many `HOURS` of simulated time instead"},
			}}, idleCommand(usage), holdCommand(usage), waysCommand(usage), coldstartCommand(usage), membersCommand(usage), agreeCommand(usage)}}
}

func duties(ctx context.Context, cmd *cli.Command) error {
	if cmd.Int("instances") < 1 || cmd.Int("kills") < 0 || cmd.Int("caches") < 1 {
		return cli.Exit(errors.New("instances and caches from 1, kills from 0"), exitUsage)
	}
	if cmd.Float64("virtual") > 0 {
		return virtual(ctx, cmd)
	}
	out := cmd.String("out")
	if err := os.MkdirAll(out, 0o755); err != nil {
		return cli.Exit(err, exitUsage)
	}
	folder, err := os.MkdirTemp("", "teallab")
	if err != nil {
		return cli.Exit(err, exitBroken)
	}
	defer os.RemoveAll(folder)
	result, err := experiment.Duties{Setup: experiment.Setup{Core: -1, Binary: cmd.String("binary"), Folder: folder, Instances: cmd.Int("instances"),
		Caches: cmd.Int("caches"), Slots: cmd.Int("slots"), Lease: cmd.Duration("lease"), Renewal: cmd.Duration("renewal"),
		Period: cmd.Duration("period")}, Kills: cmd.Int("kills"), Seed: cmd.Uint64("seed"), Out: out, Calm: cmd.Duration("calm"),
		Process: os.Stdout}.Run(ctx)
	if err != nil && !errors.Is(err, experiment.ErrBound) {
		return cli.Exit(err, exitBroken)
	}
	json.NewEncoder(os.Stdout).Encode(result)
	if err != nil {
		return cli.Exit(err, exitBroken)
	}
	return nil
}

// virtual plays parts of the time side by side, each from a seed of its own.
func virtual(ctx context.Context, cmd *cli.Command) error {
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
				ClockSteps:    i%2 == 1,
				Seed:          cmd.Uint64("seed") + uint64(i),
				LeaseDuration: cmd.Duration("lease"),
				RenewInterval: cmd.Duration("renewal"),
			}.Run(ctx)
		})
	}
	group.Wait()
	sum := leasesim.Result{Instances: cmd.Int("instances")}
	for _, r := range results {
		sum.Add(r)
	}
	sum.LeasedShare /= float64(parts)
	json.NewEncoder(os.Stdout).Encode(sum)
	if !sum.BoundsHold() {
		return cli.Exit(experiment.ErrBound, exitBroken)
	}
	return nil
}
