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
				Usage: "`COUNT` of instances; with --virtual several, such as 300,1000, one run each",
			},
			&cli.Float64Flag{Name: "minutes", Value: 3, Usage: "time for which faults are injected"},
			&cli.StringFlag{
				Name:  "faults",
				Value: "kill,pause",
				Usage: "`FAULTS` in turn, of " + membership.FaultNames() + "; with --virtual of " +
					strings.Join(membershipsim.FaultNames(), ", ") + "; empty is none",
			},
			&cli.IntFlag{Name: "slots", Value: 16, Usage: "leases that instances share out"},
			seedFlag(),
			outFlag(),
			binaryFlag(),
			&cli.Float64Flag{
				Name:  "virtual",
				Usage: "run the module alone for so many `HOURS` of simulated time instead; 0 is off",
			},
			&cli.Float64Flag{Name: "loss", Usage: "part of all messages that is lost; with --virtual"},
			&cli.BoolFlag{
				Name:  "before",
				Usage: "also run the baseline, heartbeat counters, for a minute; with --virtual",
			},
			&cli.DurationFlag{
				Name:  "every",
				Value: 20 * time.Second,
				Usage: "interval between two faults; with --virtual",
			},
			&cli.DurationFlag{
				Name:  "silence",
				Value: 2100 * time.Millisecond,
				Usage: "time without a message after which an instance is suspected; with --virtual",
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
			fmt.Printf("%s of %s: believed after %.0f ms, agreed after %.0f ms, %d false deaths\n",
				fault.Kind, fault.Victim, fault.DetectionMS, fault.DisagreementMS, fault.FalseDeaths)
		}
		return printWithBounds(result, err)
	})
}

// parseInstances parses numbers of instances, from 2, with commas between them.
func parseInstances(text string) ([]int, error) {
	var counts []int
	for _, word := range strings.Split(text, ",") {
		count, err := strconv.Atoi(word)
		if err != nil || count < 2 {
			return nil, fmt.Errorf("instances: %q", word)
		}
		counts = append(counts, count)
	}
	return counts, nil
}

func membersExperiment(cmd *cli.Command, dir, out string, instances int, faults []string) membership.Experiment {
	play := membership.Experiment{
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
		play.Faults = append(play.Faults, membership.Fault(fault))
	}
	return play
}

// simulateMembers plays the module with each number of instances.
func simulateMembers(cmd *cli.Command, out string, counts []int, faults []string) error {
	var results []membershipsim.Result
	for _, instances := range counts {
		plan := simulatedMembers(cmd, instances, faults)
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

// simulatedMembers is the plan that the flags ask for.
func simulatedMembers(cmd *cli.Command, instances int, faults []string) membershipsim.Plan {
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

// reportMembers writes a table and charts, and says whether a bound is broken.
func reportMembers(out string, results []membershipsim.Result) error {
	err := membershipsim.WriteTable(out, results)
	for _, result := range results {
		if !result.Baseline && !result.BoundsHold() {
			return failed(&report.BoundError{Page: membership.Page})
		}
	}
	if err != nil {
		return failed(err)
	}
	return failed(membershipsim.WriteCharts(out, results))
}
