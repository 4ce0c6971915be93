// Command tealpath is the router.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"tealpath/internal/clock"
	"tealpath/internal/config"
	"tealpath/internal/operatorconfig"
	"tealpath/internal/server"

	"github.com/rs/zerolog"
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
		Usage:          "routes retrievals to caches, and decides where objects are served, kept and filled from",
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		OnUsageError:   usageError,
		Action:         showHelp,
		Commands:       commands(),
	}
}

func commands() []*cli.Command {
	return []*cli.Command{
		{
			Name:         "serve",
			Usage:        "serve clients as LB_NAME, LB_LISTEN and LB_CONFIG say, until SIGTERM",
			OnUsageError: usageError,
			Action:       serve,
			Flags:        operatorFlag(),
		},
		{
			Name:         "check",
			Usage:        "check a configuration file (that of LB_CONFIG if none is named) and an operator's file",
			ArgsUsage:    "[FILE]",
			OnUsageError: usageError,
			Action:       check,
			Flags:        operatorFlag(),
		},
		{
			Name:         "duties",
			Usage:        "ask a running instance who owns which duties",
			OnUsageError: usageError,
			Action:       leases,
			Flags:        append(socketFlags(), jsonFlag("print all it says as JSON")),
		},
		{
			Name:         "diff",
			Usage:        "say whether instances with one operator's file and with another may run side by side",
			ArgsUsage:    "A B",
			OnUsageError: usageError,
			Action:       diff,
			Flags:        []cli.Flag{jsonFlag("print the differences as JSON")},
		},
		{
			Name:         "members",
			Usage:        "ask a running instance who it believes to be there, and why",
			OnUsageError: usageError,
			Action:       members,
			Flags:        append(socketFlags(), jsonFlag("print all it says as JSON")),
		},
		{
			Name:         "connections",
			Usage:        "ask a running instance for its clients' connections and what they cost",
			OnUsageError: usageError,
			Action:       connections,
			Flags:        socketFlags(),
		},
		{
			Name:         "version",
			Usage:        "print the version",
			OnUsageError: usageError,
			Action:       printVersion,
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
		return cli.Exit(fmt.Errorf("unknown command %q; see tealpath --help", cmd.Args().First()), exitUsage)
	}
	return cli.ShowRootCommandHelp(cmd)
}

func printVersion(_ context.Context, cmd *cli.Command) error {
	if err := checkArgs(cmd, 0); err != nil {
		return err
	}
	line := "tealpath " + version
	if info, ok := debug.ReadBuildInfo(); ok {
		line += " " + info.GoVersion
	}
	fmt.Println(line)
	return nil
}

// checkArgs returns a usage error where a command was given more arguments than it takes.
func checkArgs(cmd *cli.Command, limit int) error {
	if cmd.Args().Len() > limit {
		return cli.Exit(fmt.Errorf("%s: unexpected %q", cmd.Name, cmd.Args().Get(limit)), exitUsage)
	}
	return nil
}

func serve(ctx context.Context, cmd *cli.Command) error {
	if err := checkArgs(cmd, 0); err != nil {
		return err
	}
	// Asked for from the first moment: a signal that nobody waits for ends the process at once, and not as asked.
	reloadSignals := make(chan os.Signal, 1)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	defer signal.Stop(reloadSignals)
	shutdown, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	c, err := config.Load(os.Getenv)
	if err != nil {
		return cli.Exit(err, exitUsage)
	}
	operator, err := operatorFile(cmd, c)
	if err != nil {
		return cli.Exit(err, exitUsage)
	}
	out := newLogWriter(os.Stderr)
	defer out.Close()
	logger := zerolog.New(out).With().Timestamp().Logger()
	router := server.New(c, operator, logger, server.WithClock(clock.System()))
	err = router.Run(ctx, shutdown.Done(), reloadSignals, reloadFunc(cmd, c))
	switch {
	case errors.Is(err, server.ErrConfig):
		return cli.Exit(err, exitUsage)
	case err != nil:
		return cli.Exit(err, exitFailed)
	}
	return nil
}

// reloadFunc reads the configuration and the operator's file as they are when it is called.
func reloadFunc(cmd *cli.Command, c *config.Config) server.LoadFunc {
	return func() (*config.Config, *operatorconfig.File, error) {
		next, err := c.Reload(os.Getenv)
		if err != nil {
			return nil, nil, err
		}
		operator, err := operatorFile(cmd, next)
		return next, operator, err
	}
}

func check(_ context.Context, cmd *cli.Command) error {
	if err := checkArgs(cmd, 1); err != nil {
		return err
	}
	env := func(name string) string {
		if name == "LB_CONFIG" && cmd.Args().Present() {
			return cmd.Args().First()
		}
		return os.Getenv(name)
	}
	path := cmd.String("operator")
	if path != "" && env("LB_CONFIG") == "" {
		// Alone: without the settings it can't be said whether probes are allowed.
		operator, err := operatorconfig.Load(path, env("LB_NAME"))
		if err != nil {
			return cli.Exit(err, exitUsage)
		}
		fmt.Println(describe(path, operator))
		return nil
	}
	c, err := config.Load(env)
	if err != nil {
		return cli.Exit(err, exitUsage)
	}
	operator, err := operatorFile(cmd, c)
	if err != nil {
		return cli.Exit(err, exitUsage)
	}
	if err := server.Check(c); err != nil {
		return cli.Exit(err, exitUsage)
	}
	fmt.Printf("configuration of %s is usable: clients at %s, journal service at %s\n",
		c.Name, c.Listen, c.DiscoveryAddress)
	if operator != nil {
		fmt.Println(describe(path, operator))
	}
	return nil
}
