package command

import (
	"context"
	"fmt"
	"os"
	"time"

	"tealpath/internal/experiment/idleconnections"

	"github.com/urfave/cli/v3"
)

// minPerRouter is the lowest allowed number of connections to one router process. Some of them are needed for
// active traffic.
const minPerRouter = 200

func idleCommand() *cli.Command {
	return &cli.Command{
		Name:         "idle",
		Usage:        "measure the cost of idle connections and the latency of active traffic (docs/idle.md)",
		OnUsageError: usageError,
		Action:       idle,
		Flags: []cli.Flag{
			&cli.IntSliceFlag{
				Name:  "counts",
				Value: []int{0, 1000, 10000},
				Usage: "`COUNTS` of idle connections to measure, in ascending order from 0",
			},
			&cli.IntFlag{Name: "most", Value: 14900, Usage: "highest number of connections to one router process"},
			&cli.Float64Flag{Name: "rate", Value: 500, Usage: "requests per second of active traffic"},
			&cli.DurationFlag{Name: "seconds", Value: 20 * time.Second, Usage: "measuring time for each count"},
			outFlag(),
			&cli.DurationFlag{
				Name:  "expire",
				Value: time.Minute,
				Usage: "idle timeout for measuring the expiry of all connections at once; 0s skips that",
			},
			binaryFlag(),
			baselineFlag(),
		},
	}
}

func idle(ctx context.Context, cmd *cli.Command) error {
	counts := cmd.IntSlice("counts")
	areCountsValid := idleconnections.ValidateCounts(counts)
	if !areCountsValid || cmd.Int("most") < minPerRouter || cmd.Float64("rate") <= 0 {
		err := fmt.Errorf("--counts must start at 0 and be in ascending order (got %v), --most must be at least %d "+
			"(got %d), --rate above 0 (got %g)", counts, minPerRouter, cmd.Int("most"), cmd.Float64("rate"))
		return cli.Exit(err, exitUsage)
	}
	out, err := makeOutDir(cmd)
	if err != nil {
		return err
	}
	program, err := os.Executable()
	if err != nil {
		return failed(err)
	}
	return withTempDir(func(dir string) error {
		result, err := idleconnections.Experiment{
			Binary:         cmd.String("binary"),
			BaselineBinary: cmd.String("baseline"),
			ClientBinary:   program,
			Dir:            dir,
			ResultsDir:     out,
			Counts:         counts,
			MaxPerRouter:   cmd.Int("most"),
			Rate:           cmd.Float64("rate"),
			Duration:       cmd.Duration("seconds"),
			IdleTimeout:    cmd.Duration("expire"),
			Progress:       os.Stdout,
		}.Run(ctx)
		if err != nil {
			return failed(err)
		}
		return printJSON(result)
	})
}
