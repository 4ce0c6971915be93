package main

import (
	"context"
	"encoding/json"
	"errors"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"tealpath/lab"
)

func coldstartCommand(usage cli.OnUsageErrorFunc) *cli.Command {
	return &cli.Command{Name: "coldstart", Usage: "start many routers within a second and measure what the list service bears",
		OnUsageError: usage, Action: coldstart, Flags: []cli.Flag{
			&cli.IntFlag{Name: "routers", Value: 100}, &cli.IntFlag{Name: "caches", Value: 40},
			&cli.Uint64Flag{Name: "seed", Value: 7}, &cli.StringFlag{Name: "out", Value: "lab-out"},
			&cli.StringFlag{Name: "faults", Value: "none", Usage: "none, list-down, list-slow, list-half, list-restart or half-killed"},
			&cli.DurationFlag{Name: "seconds", Value: 20 * time.Second}, &cli.Float64Flag{Name: "rate", Value: 300},
			&cli.StringFlag{Name: "binary", Value: "bin/tealpath"},
			&cli.DurationFlag{Name: "hold", Usage: "play it again with first calls spread over four fifths of so long, health held back"},
			&cli.StringFlag{Name: "baseline", Usage: "an earlier build of tealpath, played in the same call"},
			&cli.BoolFlag{Name: "virtual", Usage: "play the decisions alone, in simulated time, with a service that is down for 30 s"}}}
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
		r := lab.VirtualCold{Routers: cmd.Int("routers"), Seed: cmd.Uint64("seed"), Down: 30e9, Span: 60e9}.Run()
		if err := r.Keep(out); err != nil {
			return cli.Exit(err, exitBroken)
		}
		print.Encode(r)
		if r.Peak > r.Bound {
			return cli.Exit(errors.New("a bound of docs/coldstart.md is broken"), exitBroken)
		}
		return nil
	}
	folder, err := os.MkdirTemp("", "teallab")
	if err != nil {
		return cli.Exit(err, exitBroken)
	}
	defer os.RemoveAll(folder)
	play := lab.Coldstart{Routers: cmd.Int("routers"), Caches: cmd.Int("caches"), Seed: cmd.Uint64("seed"),
		Faults: cmd.String("faults"), Span: cmd.Duration("seconds"), Rate: cmd.Float64("rate"), Folder: folder, Out: out, Process: os.Stdout}
	if base := cmd.String("baseline"); base != "" {
		r, err := play.Run(ctx, base, 0)
		if err != nil {
			return cli.Exit(err, exitBroken)
		}
		print.Encode(r)
	}
	r, err := play.Run(ctx, cmd.String("binary"), 0)
	if err != nil {
		return cli.Exit(err, exitBroken)
	}
	if hold := cmd.Duration("hold"); hold > 0 {
		print.Encode(r)
		if r, err = play.Run(ctx, cmd.String("binary"), hold); err != nil {
			return cli.Exit(err, exitBroken)
		}
	}
	print.Encode(r)
	if r.CallsPeak > r.Bound || r.Unlisted > 0 || r.Lost > 0 {
		return cli.Exit(errors.New("a bound of docs/coldstart.md is broken"), exitBroken)
	}
	return nil
}
