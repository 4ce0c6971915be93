// Command tealpath runs the router (serve), checks and compares its files (check, diff), and queries a running
// instance over its admin socket (duties, members, connections).
package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"
)

// version is the version of the program. The build may replace it.
var version = "0.1.0"

// Exit codes of the program.
const (
	exitFailed = 1 // any failure that is not exitUsage
	exitUsage  = 2 // the command line, the configuration or the operator's file is invalid
)

// Environment variables that this package reads. Package config reads them too.
const (
	configVariable = "LB_CONFIG"
	nameVariable   = "LB_NAME"
)

func main() {
	if err := app().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "tealpath:", err)
		var coded cli.ExitCoder
		if errors.As(err, &coded) {
			os.Exit(coded.ExitCode())
		}
		os.Exit(exitUsage)
	}
}

// app returns the root command, tealpath, with all its subcommands.
func app() *cli.Command {
	return &cli.Command{
		Name:           "tealpath",
		Usage:          "route requests to caches, and decide where objects are served, cached and filled from",
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		OnUsageError:   usageError,
		Action:         showHelp,
		Commands:       commands(),
	}
}

// commands returns all commands, in the order in which the help lists them.
func commands() []*cli.Command {
	return []*cli.Command{
		serveCommand(),
		checkCommand(),
		leasesCommand(),
		diffCommand(),
		membersCommand(),
		connectionsCommand(),
		versionCommand(),
	}
}

// usageError adds exitUsage to the error of a command line that cannot be parsed.
func usageError(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return cli.Exit(err, exitUsage)
}

// showHelp runs if there is no known command. It prints the help, or returns a usage error for an unknown command.
func showHelp(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Present() {
		return cli.Exit(fmt.Errorf("unknown command %q; see tealpath --help", cmd.Args().First()), exitUsage)
	}
	return cli.ShowRootCommandHelp(cmd)
}

// checkArgs returns a usage error if a command has more than limit arguments.
func checkArgs(cmd *cli.Command, limit int) error {
	if cmd.Args().Len() > limit {
		return cli.Exit(fmt.Errorf("%s: unexpected argument %q", cmd.Name, cmd.Args().Get(limit)), exitUsage)
	}
	return nil
}
