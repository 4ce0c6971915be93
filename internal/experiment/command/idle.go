package command

import (
	"context"
	"encoding/json"
	"errors"
	"os"
	"slices"
	"time"

	"github.com/urfave/cli/v3"

	"tealpath/internal/experiment"
)

func idleCommand(usage cli.OnUsageErrorFunc) *cli.Command {
	return &cli.Command{Name: "idle", Usage: "hold idle connections and measure what they cost and how active traffic fares",
		OnUsageError: usage, Action: idle, Flags: []cli.Flag{
			&cli.IntSliceFlag{Name: "counts", Value: []int{0, 1000, 10000}, Usage: "idle connections, rising from 0"},
			&cli.IntFlag{Name: "most", Value: 14900, Usage: "connections that one router process holds"},
			&cli.Float64Flag{Name: "rate", Value: 500, Usage: "retrievals a second"},
			&cli.DurationFlag{Name: "seconds", Value: 20 * time.Second}, &cli.StringFlag{Name: "out", Value: "lab-out"},
			&cli.DurationFlag{Name: "expire", Value: time.Minute, Usage: "idle time in the play of the mass expiry; 0s leaves it out"},
			&cli.StringFlag{Name: "binary", Value: "bin/tealpath"},
			&cli.StringFlag{Name: "baseline", Usage: "an earlier build of tealpath, measured in the same call"}}}
}

func holdCommand(usage cli.OnUsageErrorFunc) *cli.Command {
	return &cli.Command{Name: "hold", Usage: "hold idle connections as told on the standard input; idle starts it", Hidden: true,
		OnUsageError: usage, Flags: []cli.Flag{&cli.StringFlag{Name: "to"}, &cli.StringFlag{Name: "from", Value: "127.0.0.1"}},
		Action: func(_ context.Context, cmd *cli.Command) error {
			return experiment.Hold(cmd.String("to"), cmd.String("from"), os.Stdin, os.Stdout)
		}}
}

func idle(ctx context.Context, cmd *cli.Command) error {
	counts := cmd.IntSlice("counts")
	if len(counts) == 0 || counts[0] != 0 || !slices.IsSorted(counts) || cmd.Int("most") < 200 || cmd.Float64("rate") <= 0 {
		return cli.Exit(errors.New("counts rise from 0, most is 200 at least, the rate above 0"), exitUsage)
	}
	if err := os.MkdirAll(cmd.String("out"), 0o755); err != nil {
		return cli.Exit(err, exitUsage)
	}
	own, err := os.Executable()
	if err != nil {
		return cli.Exit(err, exitBroken)
	}
	folder, err := os.MkdirTemp("", "teallab")
	if err != nil {
		return cli.Exit(err, exitBroken)
	}
	defer os.RemoveAll(folder)
	result, err := experiment.Idle{Binary: cmd.String("binary"), Baseline: cmd.String("baseline"), Holder: own, Folder: folder,
		Out: cmd.String("out"), Counts: counts, Most: cmd.Int("most"), Rate: cmd.Float64("rate"), Seconds: cmd.Duration("seconds"),
		Expire: cmd.Duration("expire"), Process: os.Stdout}.Run(ctx)
	if err != nil {
		return cli.Exit(err, exitBroken)
	}
	return json.NewEncoder(os.Stdout).Encode(result)
}

func waysCommand(usage cli.OnUsageErrorFunc) *cli.Command {
	return &cli.Command{Name: "ways", Usage: "measure the ways in which a connection may rest (docs/idle.md)", OnUsageError: usage,
		Flags: []cli.Flag{&cli.IntFlag{Name: "count", Value: 4000, Usage: "connections; they wait in the backlog first"}},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			results, err := experiment.Ways(ctx, cmd.Int("count"))
			if err != nil {
				return cli.Exit(err, exitBroken)
			}
			return json.NewEncoder(os.Stdout).Encode(results)
		}}
}
