// Package command is the command line of the experiments on routers and their modules, on loopback alone.
package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

// Exit codes: an experiment that failed or broke a bound, and the command line at fault.
const (
	exitFailed = 1
	exitUsage  = 2
)

// Main runs the command line under the name of its program and ends the process.
func Main(name string) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	err := app(name).Run(ctx, os.Args)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, name+":", err)
		os.Exit(exitCode(err))
	}
}

// exitCode returns the code of an error. One without a code comes from the parser of the command line.
func exitCode(err error) int {
	var coded cli.ExitCoder
	if errors.As(err, &coded) {
		return coded.ExitCode()
	}
	return exitUsage
}

func app(name string) *cli.Command {
	return &cli.Command{
		Name:           name,
		Usage:          "run experiments on loopback or in simulated time; the last line of output is one JSON object",
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		OnUsageError:   usageError,
		Action:         showHelp,
		Commands: []*cli.Command{
			leasesCommand(),
			idleCommand(),
			holdCommand(),
			descriptorsCommand(),
			coldstartCommand(),
			membersCommand(),
			agreeCommand(),
		},
	}
}

// usageError has a command line that can't be parsed end with exitUsage.
func usageError(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return cli.Exit(err, exitUsage)
}

// showHelp is what the program does without a command.
func showHelp(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Present() {
		return cli.Exit(fmt.Errorf("unknown command %q; see %s --help", cmd.Args().First(), cmd.Name), exitUsage)
	}
	return cli.ShowRootCommandHelp(cmd)
}

// Flags that several commands have.

func seedFlag() cli.Flag {
	return &cli.Uint64Flag{Name: "seed", Value: 7, Usage: "`SEED` of all random choices"}
}

func outFlag() cli.Flag {
	return &cli.StringFlag{
		Name:  "out",
		Value: "lab-out",
		Usage: "`DIR` for tables and charts, made if it is not there",
	}
}

func binaryFlag() cli.Flag {
	return &cli.StringFlag{Name: "binary", Value: "bin/tealpath", Usage: "`PATH` of the router's program"}
}

func baselineFlag() cli.Flag {
	return &cli.StringFlag{
		Name:  "baseline",
		Usage: "`PATH` of an earlier build of the router, measured in the same call",
	}
}

// makeOutDir makes the directory for results and returns its path.
func makeOutDir(cmd *cli.Command) (string, error) {
	dir := cmd.String("out")
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return "", cli.Exit(err, exitUsage)
	}
	return dir, nil
}

// withTempDir calls a function with a directory for the files of routers, which is removed afterwards.
func withTempDir(run func(dir string) error) error {
	dir, err := os.MkdirTemp("", "teallab")
	if err != nil {
		return cli.Exit(err, exitFailed)
	}
	return errors.Join(run(dir), os.RemoveAll(dir))
}

// printJSON prints a result as one line.
func printJSON(result any) error { return failed(json.NewEncoder(os.Stdout).Encode(result)) }

// failed returns an error that ends the process with exitFailed; nil for none.
func failed(err error) error {
	if err == nil {
		return nil
	}
	return cli.Exit(err, exitFailed)
}
