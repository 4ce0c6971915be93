package command

import (
	"context"
	"fmt"
	"path/filepath"
	"strconv"
	"strings"
	"tealpath/internal/experiment"
	"tealpath/internal/experiment/membership"
	"tealpath/internal/experiment/report"
	"tealpath/internal/experiment/testcluster"
	"time"

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
					strings.Join(experiment.MemberFaults, ", ") + "; empty is none",
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
	var results []experiment.MemberSimResult
	for _, instances := range counts {
		play := experiment.MemberSim{
			Instances: instances,
			Span:      int64(cmd.Float64("virtual") * float64(time.Hour)),
			Seed:      cmd.Uint64("seed"),
			Interval:  int64(membersHeartbeat),
			Quiet:     int64(cmd.Duration("silence")),
			Loss:      cmd.Float64("loss"),
			Faults:    faults,
			Spread:    int64(membersStartSpread),
		}
		if len(faults) > 0 {
			play.Every = int64(cmd.Duration("every"))
		}
		plays := []experiment.MemberSim{play}
		if cmd.Bool("before") {
			baseline := play
			baseline.Before, baseline.Span = true, min(play.Span, int64(membersBaselineDuration))
			plays = []experiment.MemberSim{baseline, play}
		}
		for _, play := range plays {
			result := play.Run()
			results = append(results, result)
			if err := printJSON(result); err != nil {
				return err
			}
		}
	}
	return reportMembers(out, results)
}

// reportMembers writes a table and a chart, and says whether a bound is broken.
func reportMembers(out string, results []experiment.MemberSimResult) error {
	var rows [][]string
	broken := false
	for _, result := range results {
		rows = append(rows, []string{
			strconv.Itoa(result.Instances),
			strconv.FormatBool(result.Before),
			fmt.Sprint(result.Detect99),
			strconv.Itoa(result.False),
			fmt.Sprint(result.Calm),
			strconv.Itoa(result.Links),
		})
		broken = broken || !result.Before && result.Broken()
	}
	header := []string{"instances", "before", "detect_p99_ms", "false_deaths", "bytes_calm", "links"}
	err := report.WriteCSV(filepath.Join(out, "members.csv"), header, rows)
	if broken {
		return failed(&report.BoundError{Page: membership.Page})
	}
	if err != nil {
		return failed(err)
	}
	return failed(experiment.ChartMembers(out, results))
}
