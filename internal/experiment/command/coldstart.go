package command

import (
	"context"
	"fmt"
	"strings"
	"time"

	"tealpath/internal/experiment/coldstart"
	"tealpath/internal/experiment/coldstartsim"
	"tealpath/internal/experiment/report"

	"github.com/urfave/cli/v3"
)

const (
	simulatedOutage   = 30 * time.Second
	simulatedDuration = time.Minute
)

func coldstartCommand() *cli.Command {
	return &cli.Command{
		Name:         "coldstart",
		Usage:        "start many routers at once and measure the load on discovery and caches (docs/coldstart.md)",
		OnUsageError: usageError,
		Action:       runColdstart,
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "routers", Value: 100, Usage: "number of routers that start"},
			&cli.IntFlag{Name: "caches", Value: 40, Usage: "number of caches that the routers share"},
			seedFlag(),
			outFlag(),
			&cli.StringFlag{
				Name:  "faults",
				Value: "none",
				Usage: "`FAULT`, one of " + coldstart.FaultNames() + "; with --virtual one of " +
					strings.Join(coldstartsim.FaultNames(), ", "),
			},
			&cli.DurationFlag{
				Name:  "seconds",
				Value: 20 * time.Second,
				Usage: "time from the start to the end of a run",
			},
			&cli.Float64Flag{Name: "rate", Value: 300, Usage: "requests per second to all routers together"},
			binaryFlag(),
			&cli.DurationFlag{
				Name: "hold",
				Usage: "run once more with a readiness hold of this duration, or with --virtual run only with it; " +
					"first calls are spread over 4/5 of it",
			},
			&cli.BoolFlag{
				Name:  "links",
				Usage: "limit the routers' connections to caches by (links …) in the operator's file",
			},
			baselineFlag(),
			&cli.BoolFlag{
				Name: "virtual",
				Usage: "simulate complete routers instead of starting real ones; also simulate their call schedules " +
					"alone with a discovery service that is down for 30 s",
			},
			&cli.IntFlag{Name: "tries", Value: 3, Usage: "attempts of a client for one object; only with --virtual"},
			&cli.IntFlag{Name: "holds", Usage: "connections that a cache accepts; 0 means 4/3 of the routers"},
			&cli.BoolFlag{Name: "known", Usage: "routers start with the endpoint list; only with --virtual"},
			&cli.Float64Flag{
				Name:  "list-bears",
				Value: 100,
				Usage: "calls per second that the discovery service takes; only with --virtual",
			},
			&cli.Float64Flag{
				Name:  "opens",
				Usage: "new connections per second that a cache accepts; 0 means no limit; only with --virtual",
			},
			&cli.IntFlag{Name: "told", Usage: "number of routers that the settings state; 0 means --routers"},
		},
	}
}

func runColdstart(ctx context.Context, cmd *cli.Command) error {
	if cmd.Int("routers") < 1 || cmd.Int("caches") < 1 || cmd.Float64("rate") <= 0 {
		err := fmt.Errorf("--routers and --caches must be at least 1 (got %d and %d), --rate above 0 (got %g)",
			cmd.Int("routers"), cmd.Int("caches"), cmd.Float64("rate"))
		return cli.Exit(err, exitUsage)
	}
	out, err := makeOutDir(cmd)
	if err != nil {
		return err
	}
	if cmd.Bool("virtual") {
		if err := simulateCallSchedules(cmd, out); err != nil {
			return err
		}
		return simulateColdstart(cmd, out)
	}
	return withTempDir(func(dir string) error {
		return runBuilds(ctx, cmd, coldstart.Experiment{
			Routers:           cmd.Int("routers"),
			Caches:            cmd.Int("caches"),
			Seed:              cmd.Uint64("seed"),
			Fault:             coldstart.Fault(cmd.String("faults")),
			Duration:          cmd.Duration("seconds"),
			Rate:              cmd.Float64("rate"),
			Dir:               dir,
			ConfiguredRouters: cmd.Int("told"),
			MaxConnections:    cmd.Int("holds"),
		})
	})
}

// runBuilds runs the experiment up to three times: with the baseline build if one is given, with the current build,
// and with the current build and a readiness hold if one is given. The bounds are checked for the last run only.
func runBuilds(ctx context.Context, cmd *cli.Command, e coldstart.Experiment) error {
	current := coldstart.Build{Binary: cmd.String("binary"), PlanConnections: cmd.Bool("links")}
	builds := []coldstart.Build{current}
	if baseline := cmd.String("baseline"); baseline != "" {
		builds = []coldstart.Build{{Binary: baseline}, current}
	}
	if hold := cmd.Duration("hold"); hold > 0 {
		current.ReadinessHold = hold
		builds = append(builds, current)
	}
	var last coldstart.Result
	for _, build := range builds {
		result, err := e.Run(ctx, build)
		if err != nil {
			return failed(err)
		}
		if err := printJSON(result); err != nil {
			return err
		}
		last = result
	}
	return failed(last.CheckBounds())
}

// simulateCallSchedules simulates only the routers' schedules of discovery calls.
func simulateCallSchedules(cmd *cli.Command, out string) error {
	result := coldstart.Simulation{
		Routers:      cmd.Int("routers"),
		Seed:         cmd.Uint64("seed"),
		DownDuration: simulatedOutage,
		Duration:     simulatedDuration,
	}.Run()
	if err := result.Write(out); err != nil {
		return failed(err)
	}
	if err := printJSON(result); err != nil {
		return err
	}
	return failed(result.CheckBounds())
}

// simulateColdstart simulates complete routers, first those of the baseline and then the current ones.
func simulateColdstart(cmd *cli.Command, out string) error {
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
	var results []coldstartsim.Result
	for _, plan.Baseline = range []bool{true, false} {
		result, err := plan.Run()
		if err != nil {
			return cli.Exit(err, exitUsage)
		}
		results = append(results, result)
		if err := printJSON(result); err != nil {
			return err
		}
	}
	if err := coldstartsim.WriteReport(out, results...); err != nil {
		return failed(err)
	}
	if current := results[1]; !current.BoundsHold() {
		return failed(&report.BoundError{Page: "docs/coldstart.md", Detail: fmt.Sprintf(
			"%d connections to a cache (at most %d), %d cache crashes, load %g (at most 1), %d requests lost",
			current.PeakConnections, current.MaxConnections, current.Crashes, current.PeakWarmUpLoad, current.Lost)})
	}
	return nil
}
