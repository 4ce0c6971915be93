package main

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"syscall"

	"tealpath/internal/clock"
	"tealpath/internal/config"
	"tealpath/internal/server"

	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"
)

// serveCommand defines tealpath serve, which takes no arguments and the flag --operator.
func serveCommand() *cli.Command {
	return &cli.Command{
		Name:         "serve",
		Usage:        "serve clients, configured by LB_CONFIG, LB_NAME and LB_LISTEN, until SIGTERM or SIGINT",
		OnUsageError: usageError,
		Action:       serve,
		Flags:        operatorFlag(),
	}
}

// serve runs a router until SIGTERM or SIGINT. It reloads the configuration on SIGHUP.
func serve(ctx context.Context, cmd *cli.Command) error {
	if err := checkArgs(cmd, 0); err != nil {
		return err
	}
	// The signals are registered first, because by default each of them ends the process at once.
	reloadSignals := make(chan os.Signal, 1)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	defer signal.Stop(reloadSignals)
	// By default a write to standard error ends the process once nobody reads it.
	signal.Ignore(syscall.SIGPIPE)
	shutdown, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	c, err := config.Load(os.Getenv)
	if err != nil {
		return cli.Exit(err, exitUsage)
	}
	operator, misfits, err := operatorFile(cmd, c)
	if err != nil {
		return cli.Exit(err, exitUsage)
	}
	out := newLogWriter(os.Stderr)
	defer out.Close()
	logger := zerolog.New(out).With().Timestamp().Logger()
	router := server.New(c, operator, logger, server.WithClock(clock.System()), server.WithMisfits(misfits))
	err = router.Run(ctx, shutdown.Done(), reloadSignals, reloadFunc(cmd, c))
	switch {
	case errors.Is(err, server.ErrConfig):
		return cli.Exit(err, exitUsage)
	case err != nil:
		return cli.Exit(err, exitFailed)
	}
	return nil
}

// reloadFunc returns a function that loads the next version of the configuration c and of the operator's file.
func reloadFunc(cmd *cli.Command, c *config.Config) server.LoadFunc {
	return func() (server.Loaded, error) {
		next, err := c.Reload(os.Getenv)
		if err != nil {
			return server.Loaded{}, err
		}
		loaded := server.Loaded{Config: next}
		loaded.Operator, loaded.Misfits, loaded.OperatorError = operatorFile(cmd, next)
		return loaded, nil
	}
}
