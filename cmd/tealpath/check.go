package main

import (
	"context"
	"fmt"
	"os"
	"tealpath/internal/config"
	"tealpath/internal/operatorconfig"
	"tealpath/internal/server"

	"github.com/urfave/cli/v3"
)

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:         "check",
		Usage:        "check a configuration file, that of LB_CONFIG if none is named, and an operator's file",
		ArgsUsage:    "[FILE]",
		OnUsageError: usageError,
		Action:       check,
		Flags:        operatorFlag(),
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
