// Package command implements the command line of the experiments with routers and their modules. Experiments
// use the network on loopback only.
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

// Exit codes.
const (
	exitFailed = 1 // the experiment failed or broke a bound
	exitUsage  = 2 // the command line is invalid
)

// Main runs the command line of the program called name. It exits the process if the command fails.
func Main(name string) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	err := app(name).Run(ctx, os.Args)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, name+":", err)
		os.Exit(exitCode(err))
	}
}

// exitCode returns the exit code of an error. An error without a code comes from the command-line parser.
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
		Usage:          "run experiments on loopback or in simulated time; the last line of output is JSON",
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

// usageError makes the program exit with exitUsage if the command line cannot be parsed.
func usageError(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return cli.Exit(err, exitUsage)
}

// showHelp shows the help if no command is given, and returns an error if the command is unknown.
func showHelp(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Present() {
		return cli.Exit(fmt.Errorf("unknown command %q; see %s --help", cmd.Args().First(), cmd.Name), exitUsage)
	}
	return cli.ShowRootCommandHelp(cmd)
}

// The functions below return flags that several commands have.

func seedFlag() cli.Flag {
	return &cli.Uint64Flag{Name: "seed", Value: 7, Usage: "`SEED` of all random choices"}
}

func outFlag() cli.Flag {
	return &cli.StringFlag{
		Name:  "out",
		Value: "lab-out",
		Usage: "`DIR` for tables and charts, created if it does not exist",
	}
}

func binaryFlag() cli.Flag {
	return &cli.StringFlag{Name: "binary", Value: "bin/tealpath", Usage: "`PATH` of the router binary"}
}

func baselineFlag() cli.Flag {
	return &cli.StringFlag{
		Name:  "baseline",
		Usage: "`PATH` of an earlier build of the router to measure as well",
	}
}

// makeOutDir creates the directory for results and returns its path.
func makeOutDir(cmd *cli.Command) (string, error) {
	dir := cmd.String("out")
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return "", cli.Exit(err, exitUsage)
	}
	return dir, nil
}

// withTempDir calls run with a temporary directory for the routers' files, and removes the directory afterwards.
func withTempDir(run func(dir string) error) error {
	dir, err := os.MkdirTemp("", "teallab")
	if err != nil {
		return cli.Exit(err, exitFailed)
	}
	return errors.Join(run(dir), os.RemoveAll(dir))
}

// printJSON prints a result as one line of JSON.
func printJSON(result any) error { return failed(json.NewEncoder(os.Stdout).Encode(result)) }

// failed returns err with the exit code exitFailed, or nil if err is nil.
func failed(err error) error {
	if err == nil {
		return nil
	}
	return cli.Exit(err, exitFailed)
}
