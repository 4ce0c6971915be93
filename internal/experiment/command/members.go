package command

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"tealpath/internal/experiment/membership"
	"tealpath/internal/experiment/membershipsim"
	"tealpath/internal/experiment/report"
	"tealpath/internal/experiment/testcluster"

	"github.com/urfave/cli/v3"
)

const (
	membersHeartbeat        = 500 * time.Millisecond
	membersStartSpread      = time.Second
	membersBaselineDuration = time.Minute
)

func membersCommand() *cli.Command {
	return &cli.Command{
		Name:         "members",
		Usage:        "measure how instances detect the failure of others (docs/membership.md)",
		OnUsageError: usageError,
		Action:       members,
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name:  "instances",
				Value: "24",
				Usage: "`COUNT` of instances; with --virtual also several, such as 300,1000, with one run each",
			},
			&cli.Float64Flag{Name: "minutes", Value: 3, Usage: "time for which faults are injected"},
			&cli.StringFlag{
				Name:  "faults",
				Value: "kill,pause",
				Usage: "`FAULTS` to inject in turn, of " + membership.FaultNames() + "; with --virtual of " +
					strings.Join(membershipsim.FaultNames(), ", ") + "; empty means none",
			},
			&cli.IntFlag{Name: "slots", Value: 16, Usage: "number of leases that the instances share"},
			seedFlag(),
			outFlag(),
			binaryFlag(),
			&cli.Float64Flag{
				Name: "virtual",
				Usage: "simulate only the membership module, for this many `HOURS` of simulated time; " +
					"0 starts real instances",
			},
			&cli.Float64Flag{Name: "loss", Usage: "share of messages that are lost, from 0 to 1; only with --virtual"},
			&cli.BoolFlag{
				Name:  "before",
				Usage: "also run the baseline, heartbeat counters, for at most a minute; only with --virtual",
			},
			&cli.DurationFlag{
				Name:  "every",
				Value: 20 * time.Second,
				Usage: "interval between two faults; only with --virtual",
			},
			&cli.DurationFlag{
				Name:  "silence",
				Value: 2100 * time.Millisecond,
				Usage: "time without a message after which an instance is suspected; only with --virtual",
			},
		},
	}
}

func members(ctx context.Context, cmd *cli.Command) error {
	out, err := makeOutDir(cmd)
	if err != nil {
		return err
	}
	counts, err := parseInstances(cmd.String("instances"))
	if err != nil {
		return cli.Exit(err, exitUsage)
	}
	var faults []string
	if cmd.String("faults") != "" {
		faults = strings.Split(cmd.String("faults"), ",")
	}
	if cmd.Float64("virtual") > 0 {
		return simulateMembers(cmd, out, counts, faults)
	}
	return withTempDir(func(dir string) error {
		result, err := membersExperiment(cmd, dir, out, counts[0], faults).Run(ctx)
		for _, fault := range result.Faults {
			fmt.Printf("%s of %s: detected after %.0f ms, views agreed after %.0f ms, %d false deaths\n",
				fault.Kind, fault.Victim, fault.DetectionMS, fault.DisagreementMS, fault.FalseDeaths)
		}
		return printWithBounds(result, err)
	})
}

// parseInstances parses numbers of instances separated by commas. Each must be at least 2.
func parseInstances(text string) ([]int, error) {
	var counts []int
	for _, word := range strings.Split(text, ",") {
		count, err := strconv.Atoi(word)
		if err != nil || count < 2 {
			return nil, fmt.Errorf("--instances needs whole numbers from 2, got %q", word)
		}
		counts = append(counts, count)
	}
	return counts, nil
}

func membersExperiment(cmd *cli.Command, dir, out string, instances int, faults []string) membership.Experiment {
	experiment := membership.Experiment{
		Config: testcluster.Config{
			Binary:        cmd.String("binary"),
			Dir:           dir,
			Instances:     instances,
			Slots:         cmd.Int("slots"),
			LeaseDuration: 1500 * time.Millisecond,
			RenewInterval: 500 * time.Millisecond,
			ProbePeriod:   time.Second,
		},
		Duration:   time.Duration(cmd.Float64("minutes") * float64(time.Minute)),
		Seed:       cmd.Uint64("seed"),
		ResultsDir: out,
	}
	for _, fault := range faults {
		experiment.Faults = append(experiment.Faults, membership.Fault(fault))
	}
	return experiment
}

// simulateMembers simulates the membership module with each number of instances.
func simulateMembers(cmd *cli.Command, out string, counts []int, faults []string) error {
	var results []membershipsim.Result
	for _, instances := range counts {
		plan := membersPlan(cmd, instances, faults)
		plans := []membershipsim.Plan{plan}
		if cmd.Bool("before") {
			baseline := plan
			baseline.Baseline = true
			baseline.Duration = min(plan.Duration, membersBaselineDuration)
			plans = []membershipsim.Plan{baseline, plan}
		}
		for _, plan := range plans {
			result := plan.Run()
			results = append(results, result)
			if err := printJSON(result); err != nil {
				return err
			}
		}
	}
	return reportMembers(out, results)
}

// membersPlan returns the plan of a simulation from the flags.
func membersPlan(cmd *cli.Command, instances int, faults []string) membershipsim.Plan {
	plan := membershipsim.Plan{
		Instances:         instances,
		Duration:          time.Duration(cmd.Float64("virtual") * float64(time.Hour)),
		Seed:              cmd.Uint64("seed"),
		HeartbeatInterval: membersHeartbeat,
		SilenceTimeout:    cmd.Duration("silence"),
		Loss:              cmd.Float64("loss"),
		StartSpread:       membersStartSpread,
	}
	for _, fault := range faults {
		plan.Faults = append(plan.Faults, membershipsim.Fault(fault))
	}
	if len(faults) > 0 {
		plan.FaultInterval = cmd.Duration("every")
	}
	return plan
}

// reportMembers writes a table and, if no bound is broken, charts. A broken bound is returned as an error.
func reportMembers(out string, results []membershipsim.Result) error {
	err := membershipsim.WriteTable(out, results)
	for _, result := range results {
		if !result.Baseline && !result.BoundsHold() {
			detail := fmt.Sprintf("with --instances %d", result.Instances)
			return failed(&report.BoundError{Page: membership.Page, Detail: detail})
		}
	}
	if err != nil {
		return failed(err)
	}
	return failed(membershipsim.WriteCharts(out, results))
}
