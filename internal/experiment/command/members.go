package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"tealpath/internal/experiment"
	"tealpath/internal/experiment/membershipsim"
)

func membersCommand(usage cli.OnUsageErrorFunc) *cli.Command {
	return &cli.Command{Name: "members", Usage: "have instances watch each other through faults", OnUsageError: usage, Action: members,
		Flags: []cli.Flag{&cli.StringFlag{Name: "instances", Value: "24", Usage: "with --virtual several, as 300,1000"},
			&cli.Float64Flag{Name: "minutes", Value: 3}, &cli.StringFlag{Name: "faults", Value: "kill,pause"},
			&cli.IntFlag{Name: "slots", Value: 16}, &cli.Uint64Flag{Name: "seed", Value: 7}, &cli.StringFlag{Name: "out", Value: "lab-out"},
			&cli.StringFlag{Name: "binary", Value: "bin/tealpath"},
			&cli.Float64Flag{Name: "virtual", Usage: "play the module for so many `HOURS` of simulated time instead"},
			&cli.Float64Flag{Name: "loss", Usage: "part of all messages that is lost; virtual"},
			&cli.BoolFlag{Name: "before", Usage: "beside it the counters of before, for a minute; virtual"},
			&cli.DurationFlag{Name: "every", Value: 20 * time.Second, Usage: "a fault so often; virtual"},
			&cli.DurationFlag{Name: "silence", Value: 2100 * time.Millisecond, Usage: "virtual"}}}
}

func members(ctx context.Context, cmd *cli.Command) error {
	out := cmd.String("out")
	if err := os.MkdirAll(out, 0o755); err != nil {
		return cli.Exit(err, exitUsage)
	}
	var sizes []int
	for _, s := range strings.Split(cmd.String("instances"), ",") {
		n, err := strconv.Atoi(s)
		if err != nil || n < 2 {
			return cli.Exit(fmt.Errorf("instances: %q", s), exitUsage)
		}
		sizes = append(sizes, n)
	}
	var faults []string
	if cmd.String("faults") != "" {
		faults = strings.Split(cmd.String("faults"), ",")
	}
	if cmd.Float64("virtual") > 0 {
		return virtualMembers(cmd, out, sizes, faults)
	}
	folder, err := os.MkdirTemp("", "teallab")
	if err != nil {
		return cli.Exit(err, exitBroken)
	}
	defer os.RemoveAll(folder)
	result, err := experiment.Members{Setup: experiment.Setup{Core: -1, Binary: cmd.String("binary"), Folder: folder, Instances: sizes[0], Slots: cmd.Int("slots"),
		Lease: 1500 * time.Millisecond, Renewal: 500 * time.Millisecond, Period: time.Second}, Faults: faults,
		Span: time.Duration(cmd.Float64("minutes") * float64(time.Minute)), Seed: cmd.Uint64("seed"), Out: out}.Run(ctx)
	for _, f := range result.Trouble {
		fmt.Printf("%s of %s: believed after %.0f ms, agreed after %.0f ms, %d false deaths\n", f.Kind, f.Victim, f.MS, f.AgreedMS, f.False)
	}
	if err != nil && !errors.Is(err, experiment.ErrBound) {
		return cli.Exit(err, exitBroken)
	}
	json.NewEncoder(os.Stdout).Encode(result)
	if err != nil {
		return cli.Exit(err, exitBroken)
	}
	return nil
}

func virtualMembers(cmd *cli.Command, out string, sizes []int, names []string) error {
	var faults []membershipsim.Fault
	for _, name := range names {
		faults = append(faults, membershipsim.Fault(name))
	}
	print := json.NewEncoder(os.Stdout)
	broken := false
	var runs []membershipsim.Result
	for _, n := range sizes {
		plan := membershipsim.Plan{
			Instances:         n,
			Duration:          time.Duration(cmd.Float64("virtual") * 3600e9),
			Seed:              cmd.Uint64("seed"),
			HeartbeatInterval: 500 * time.Millisecond,
			SilenceTimeout:    cmd.Duration("silence"),
			Loss:              cmd.Float64("loss"),
			Faults:            faults,
			StartSpread:       time.Second,
		}
		if len(faults) > 0 {
			plan.FaultInterval = cmd.Duration("every")
		}
		if cmd.Bool("before") {
			baseline := plan
			baseline.Baseline, baseline.Duration = true, min(plan.Duration, time.Minute)
			r := baseline.Run()
			runs = append(runs, r)
			print.Encode(r)
		}
		r := plan.Run()
		runs = append(runs, r)
		print.Encode(r)
		broken = broken || !r.BoundsHold()
	}
	if err := membershipsim.WriteTable(out, runs); err != nil {
		return cli.Exit(err, exitBroken)
	}
	if broken {
		return cli.Exit(experiment.ErrBound, exitBroken)
	}
	if err := membershipsim.WriteCharts(out, runs); err != nil {
		return cli.Exit(err, exitBroken)
	}
	return nil
}
