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

// checkCommand defines tealpath check, which takes an optional FILE and the flag --operator.
func checkCommand() *cli.Command {
	return &cli.Command{
		Name:         "check",
		Usage:        "check a configuration file (by default the one in LB_CONFIG) and an operator's file",
		ArgsUsage:    "[FILE]",
		OnUsageError: usageError,
		Action:       check,
		Flags:        operatorFlag(),
	}
}

// check checks a configuration file, by default the one in LB_CONFIG, and the operator's file if there is one. Without
// a configuration file it checks the operator's file alone.
func check(_ context.Context, cmd *cli.Command) error {
	if err := checkArgs(cmd, 1); err != nil {
		return err
	}
	getenv := func(name string) string {
		if name == configVariable && cmd.Args().Present() {
			return cmd.Args().First()
		}
		return os.Getenv(name)
	}
	if cmd.String(operatorFlagName) != "" && getenv(configVariable) == "" {
		return checkOperatorFile(cmd)
	}
	return checkConfig(cmd, getenv)
}

// checkOperatorFile checks the operator's file by itself, without a configuration that it must be compatible with.
func checkOperatorFile(cmd *cli.Command) error {
	path := cmd.String(operatorFlagName)
	operator, err := operatorconfig.Load(path, os.Getenv(nameVariable))
	if err != nil {
		return cli.Exit(err, exitUsage)
	}
	fmt.Println(describe(path, operator))
	return nil
}

// checkConfig checks a configuration and, if the flag names an operator's file, whether both are compatible.
func checkConfig(cmd *cli.Command, getenv func(string) string) error {
	c, err := config.Load(getenv)
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
	fmt.Printf("configuration of %s is usable: clients at %s, discovery service at %s\n",
		c.Name, c.Listen, c.DiscoveryAddress)
	if operator != nil {
		fmt.Println(describe(cmd.String(operatorFlagName), operator))
	}
	return nil
}
