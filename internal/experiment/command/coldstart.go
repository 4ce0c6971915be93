package command

import (
	"context"
	"encoding/json"
	"errors"
	"os"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"tealpath/internal/experiment"
	"tealpath/internal/experiment/coldstartsim"
)

func coldstartCommand(usage cli.OnUsageErrorFunc) *cli.Command {
	return &cli.Command{Name: "coldstart", Usage: "start many routers within a second and measure what the list service bears",
		OnUsageError: usage, Action: coldstart, Flags: []cli.Flag{
			&cli.IntFlag{Name: "routers", Value: 100}, &cli.IntFlag{Name: "caches", Value: 40},
			&cli.Uint64Flag{Name: "seed", Value: 7}, &cli.StringFlag{Name: "out", Value: "lab-out"},
			&cli.StringFlag{Name: "faults", Value: "none", Usage: strings.Join(experiment.ColdFaults, ", ") + "; virtual: " + strings.Join(coldstartsim.FaultNames(), ", ")},
			&cli.DurationFlag{Name: "seconds", Value: 20 * time.Second}, &cli.Float64Flag{Name: "rate", Value: 300},
			&cli.StringFlag{Name: "binary", Value: "bin/tealpath"},
			&cli.DurationFlag{Name: "hold", Usage: "play it again with first calls spread over four fifths of so long, health held back"},
			&cli.BoolFlag{Name: "links", Usage: "links to caches are planned: (links …) of the operator's file"},
			&cli.StringFlag{Name: "baseline", Usage: "an earlier build of tealpath, played in the same call"},
			&cli.BoolFlag{Name: "virtual", Usage: "play whole routers in simulated time, and the decisions on calls alone with a service that is down for 30 s"},
			&cli.IntFlag{Name: "tries", Value: 3, Usage: "of a client for one object, the first included; virtual"},
			&cli.IntFlag{Name: "holds", Usage: "connections that a cache holds; 0: four for each three routers"},
			&cli.BoolFlag{Name: "known", Usage: "configurations know the list; virtual"},
			&cli.Float64Flag{Name: "list-bears", Value: 100, Usage: "calls a second that the list service takes; virtual"},
			&cli.Float64Flag{Name: "opens", Usage: "connections that a cache takes a second; virtual; 0: no bound"},
			&cli.IntFlag{Name: "told", Usage: "routers that the settings tell; 0: as many as there are"}}}
}

var errBound = errors.New("a bound of docs/coldstart.md is broken")

// coldfleet plays whole routers, as they are and as they were.
func coldfleet(cmd *cli.Command, out string, print *json.Encoder) error {
	plan := coldstartsim.Plan{
		Routers:             cmd.Int("routers"),
		Caches:              cmd.Int("caches"),
		Seed:                cmd.Uint64("seed"),
		Fault:               coldstartsim.Fault(cmd.String("faults")),
		Duration:            cmd.Duration("seconds"),
		RequestRate:         cmd.Float64("rate"),
		MaxAttempts:         cmd.Int("tries"),
		MaxConnections:      cmd.Int("holds"),
		MaxConnectRate:      cmd.Float64("opens"),
		ReadinessHold:       cmd.Duration("hold"),
		ConfiguredRouters:   cmd.Int("told"),
		EndpointsConfigured: cmd.Bool("known"),
		DiscoveryCallRate:   cmd.Float64("list-bears"),
	}
	var runs []coldstartsim.Result
	for _, plan.Baseline = range []bool{true, false} {
		r, err := plan.Run()
		if err != nil {
			return cli.Exit(err, exitUsage)
		}
		runs = append(runs, r)
		print.Encode(r)
	}
	if err := coldstartsim.WriteReport(out, runs...); err != nil {
		return cli.Exit(err, exitBroken)
	}
	if !runs[1].BoundsHold() {
		return cli.Exit(errBound, exitBroken)
	}
	return nil
}

func coldstart(ctx context.Context, cmd *cli.Command) error {
	if cmd.Int("routers") < 1 || cmd.Int("caches") < 1 || cmd.Float64("rate") <= 0 {
		return cli.Exit(errors.New("routers and caches from 1, the rate above 0"), exitUsage)
	}
	out := cmd.String("out")
	if err := os.MkdirAll(out, 0o755); err != nil {
		return cli.Exit(err, exitUsage)
	}
	print := json.NewEncoder(os.Stdout)
	if cmd.Bool("virtual") {
		r := experiment.VirtualCold{Routers: cmd.Int("routers"), Seed: cmd.Uint64("seed"), Down: 30e9, Span: 60e9}.Run()
		if err := r.Keep(out); err != nil {
			return cli.Exit(err, exitBroken)
		}
		print.Encode(r)
		if r.Peak > r.Bound {
			return cli.Exit(errBound, exitBroken)
		}
		return coldfleet(cmd, out, print)
	}
	folder, err := os.MkdirTemp("", "teallab")
	if err != nil {
		return cli.Exit(err, exitBroken)
	}
	defer os.RemoveAll(folder)
	play := experiment.Coldstart{Routers: cmd.Int("routers"), Caches: cmd.Int("caches"), Seed: cmd.Uint64("seed"),
		Faults: cmd.String("faults"), Span: cmd.Duration("seconds"), Rate: cmd.Float64("rate"), Folder: folder, Out: out, Process: os.Stdout,
		Told: cmd.Int("told"), Holds: cmd.Int("holds")}
	if base := cmd.String("baseline"); base != "" {
		r, err := play.Run(ctx, base, 0, false)
		if err != nil {
			return cli.Exit(err, exitBroken)
		}
		print.Encode(r)
	}
	r, err := play.Run(ctx, cmd.String("binary"), 0, cmd.Bool("links"))
	if err != nil {
		return cli.Exit(err, exitBroken)
	}
	if hold := cmd.Duration("hold"); hold > 0 {
		print.Encode(r)
		if r, err = play.Run(ctx, cmd.String("binary"), hold, cmd.Bool("links")); err != nil {
			return cli.Exit(err, exitBroken)
		}
	}
	print.Encode(r)
	if r.CallsPeak > r.Bound || r.Unlisted > 0 || r.Lost > 0 || r.Fallen > 0 || r.Worst > 1 ||
		cmd.Bool("links") && r.CachePeak > r.Holds {
		return cli.Exit(errBound, exitBroken)
	}
	return nil
}
