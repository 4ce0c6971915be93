package command

import (
	"context"

	"tealpath/internal/experiment/descriptors"

	"github.com/urfave/cli/v3"
)

func descriptorsCommand() *cli.Command {
	return &cli.Command{
		Name:         "ways",
		Usage:        "compare the memory and wake-up time of three ways to hold idle connections (docs/idle.md)",
		OnUsageError: usageError,
		Action: func(ctx context.Context, cmd *cli.Command) error {
			results, err := descriptors.Compare(ctx, cmd.Int("count"))
			if err != nil {
				return failed(err)
			}
			return printJSON(results)
		},
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "count", Value: 4000, Usage: "connections, at most the backlog of a listener"},
		},
	}
}
