package command

import (
	"context"
	"os"

	"tealpath/internal/experiment/idleconnections"

	"github.com/urfave/cli/v3"
)

func holdCommand() *cli.Command {
	return &cli.Command{
		Name:         "hold",
		Usage:        "hold idle connections and read commands from standard input; started by the idle command",
		Hidden:       true,
		OnUsageError: usageError,
		Action: func(_ context.Context, cmd *cli.Command) error {
			return failed(idleconnections.RunClients(cmd.String("to"), cmd.String("from"), os.Stdin, os.Stdout))
		},
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "to", Usage: "`ADDRESS` of the router"},
			&cli.StringFlag{Name: "from", Value: "127.0.0.1", Usage: "local IP `ADDRESS` of the connections"},
		},
	}
}
