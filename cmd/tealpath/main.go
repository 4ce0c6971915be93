// Command tealpath is the router.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"
)

// version is the release's; the build may set it.
var version = "0.1.0"

// Exit codes: usage or configuration at fault, and all other failures.
const (
	exitFailed = 1
	exitUsage  = 2
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

// usageError has a command line that can't be parsed end with exitUsage.
func usageError(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return cli.Exit(err, exitUsage)
}

// showHelp is what the program does without a command.
func showHelp(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Present() {
		return cli.Exit(fmt.Errorf("unknown command %q; see tealpath --help", cmd.Args().First()), exitUsage)
	}
	return cli.ShowRootCommandHelp(cmd)
}

// checkArgs returns a usage error where a command was given more arguments than it takes.
func checkArgs(cmd *cli.Command, limit int) error {
	if cmd.Args().Len() > limit {
		return cli.Exit(fmt.Errorf("%s: unexpected %q", cmd.Name, cmd.Args().Get(limit)), exitUsage)
	}
	return nil
}
