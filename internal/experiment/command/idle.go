package command

import (
	"context"
	"errors"
	"os"
	"time"

	"tealpath/internal/experiment/idleconnections"

	"github.com/urfave/cli/v3"
)

// minPerRouter is the least that one router process may hold: some connections are left for active traffic.
const minPerRouter = 200

func idleCommand() *cli.Command {
	return &cli.Command{
		Name:         "idle",
		Usage:        "measure what idle connections cost, and active traffic beside them (docs/idle.md)",
		OnUsageError: usageError,
		Action:       idle,
		Flags: []cli.Flag{
			&cli.IntSliceFlag{
				Name:  "counts",
				Value: []int{0, 1000, 10000},
				Usage: "`COUNTS` of idle connections, rising from 0, measured one after another",
			},
			&cli.IntFlag{Name: "most", Value: 14900, Usage: "connections that one router process holds"},
			&cli.Float64Flag{Name: "rate", Value: 500, Usage: "requests a second of active traffic"},
			&cli.DurationFlag{Name: "seconds", Value: 20 * time.Second, Usage: "time for which each count is measured"},
			outFlag(),
			&cli.DurationFlag{
				Name:  "expire",
				Value: time.Minute,
				Usage: "idle timeout in the measurement of a mass expiry; 0s leaves that out",
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
		return cli.Exit(errors.New("counts rise from 0, most is 200 at least, the rate above 0"), exitUsage)
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
