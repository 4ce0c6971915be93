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
	usage := func(_ context.Context, _ *cli.Command, err error, _ bool) error { return cli.Exit(err, exitUsage) }
	return &cli.Command{
		Name:           "tealpath",
		Usage:          "routes retrievals to caches, and decides where objects are served, kept and filled from",
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		OnUsageError:   usage,
		Action: func(_ context.Context, cmd *cli.Command) error {
			if cmd.Args().Present() {
				return cli.Exit(fmt.Errorf("unknown command %q; see tealpath --help", cmd.Args().First()), exitUsage)
			}
			return cli.ShowRootCommandHelp(cmd)
		},
		Commands: []*cli.Command{
			{
				Name: "serve", Usage: "serve clients as LB_NAME, LB_LISTEN and LB_CONFIG say, until SIGTERM",
				OnUsageError: usage, Action: serve, Flags: operatorFlag(),
			},
			{
				Name: "check", Usage: "check a configuration file (that of LB_CONFIG if none is named) and an operator's file",
				ArgsUsage: "[FILE]", OnUsageError: usage, Action: check, Flags: operatorFlag(),
			},
			{
				Name: "duties", Usage: "ask a running instance who owns which duties", OnUsageError: usage, Action: duties,
				Flags: append(operatorFlag(), &cli.StringFlag{Name: "socket", Usage: "its Unix socket, instead of the file's"},
					&cli.BoolFlag{Name: "json", Usage: "print all it says as JSON"}),
			},
			{
				Name: "diff", Usage: "say whether instances with one operator's file and with another may run side by side", ArgsUsage: "A B",
				OnUsageError: usage, Action: diff, Flags: []cli.Flag{&cli.BoolFlag{Name: "json", Usage: "print the differences as JSON"}},
			},
			{
				Name: "members", Usage: "ask a running instance who it believes to be there, and why", OnUsageError: usage, Action: members,
				Flags: append(operatorFlag(), &cli.StringFlag{Name: "socket", Usage: "its Unix socket, instead of the file's"},
					&cli.BoolFlag{Name: "json", Usage: "print all it says as JSON"}),
			},
			{
				Name: "connections", Usage: "ask a running instance for its clients' connections and what they cost", OnUsageError: usage,
				Action: connections, Flags: append(operatorFlag(), &cli.StringFlag{Name: "socket", Usage: "its Unix socket, instead of the file's"}),
			},
			{Name: "version", Usage: "print the version", OnUsageError: usage, Action: func(_ context.Context, cmd *cli.Command) error {
				if err := atMost(cmd, 0); err != nil {
					return err
				}
				line := "tealpath " + version
				if info, ok := debug.ReadBuildInfo(); ok {
					line += " " + info.GoVersion
				}
				fmt.Println(line)
				return nil
			}},
		},
	}
}

// atMost tells whether a command was given more words than it takes.
func atMost(cmd *cli.Command, most int) error {
	if cmd.Args().Len() > most {
		return cli.Exit(fmt.Errorf("%s: unexpected %q", cmd.Name, cmd.Args().Get(most)), exitUsage)
	}
	return nil
}

func serve(ctx context.Context, cmd *cli.Command) error {
	if err := atMost(cmd, 0); err != nil {
		return err
	}
	// Asked for from the first moment: a signal that nobody waits for ends the process at once, and not as
	// asked.
	again := make(chan os.Signal, 1)
	signal.Notify(again, syscall.SIGHUP)
	defer signal.Stop(again)
	leave, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	c, err := config.Load(os.Getenv)
	if err != nil {
		return cli.Exit(err, exitUsage)
	}
	file, err := operatorFile(cmd, c)
	if err != nil {
		return cli.Exit(err, exitUsage)
	}
	out := newLogWriter(os.Stderr)
	defer out.Close()
	log := zerolog.New(out).With().Timestamp().Logger()
	err = server.New(c, file, log, server.WithClock(clock.System())).Run(ctx, leave.Done(), again, func() (*config.Config, *operatorconfig.File, error) {
		next, err := c.Reload(os.Getenv)
		if err != nil {
			return nil, nil, err
		}
		file, err := operatorFile(cmd, next)
		return next, file, err
	})
	switch {
	case errors.Is(err, server.ErrConfig):
		return cli.Exit(err, exitUsage)
	case err != nil:
		return cli.Exit(err, exitFailed)
	}
	return nil
}

func check(_ context.Context, cmd *cli.Command) error {
	if err := atMost(cmd, 1); err != nil {
		return err
	}
	env := func(name string) string {
		if name == "LB_CONFIG" && cmd.Args().Present() {
			return cmd.Args().First()
		}
		return os.Getenv(name)
	}
	if cmd.String("operator") != "" && env("LB_CONFIG") == "" {
		// Alone: without the settings it can't be said whether probes are allowed.
		file, err := operatorconfig.Load(cmd.String("operator"), env("LB_NAME"))
		if err != nil {
			return cli.Exit(err, exitUsage)
		}
		fmt.Println(describe(cmd.String("operator"), file))
		return nil
	}
	c, err := config.Load(env)
	if err != nil {
		return cli.Exit(err, exitUsage)
	}
	file, err := operatorFile(cmd, c)
	if err != nil {
		return cli.Exit(err, exitUsage)
	}
	if err := server.Check(c); err != nil {
		return cli.Exit(err, exitUsage)
	}
	fmt.Printf("configuration of %s is usable: clients at %s, journal service at %s\n", c.Name, c.Listen, c.DiscoveryAddress)
	if file != nil {
		fmt.Println(describe(cmd.String("operator"), file))
	}
	return nil
}
