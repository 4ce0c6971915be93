package main

import (
	"context"
	"errors"
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
		Usage:        "check configuration files (by default the one in LB_CONFIG) and an operator's file with each",
		ArgsUsage:    "[FILE ...]",
		OnUsageError: usageError,
		Action:       check,
		Flags:        operatorFlag(),
	}
}

// check checks configuration files, by default the one in LB_CONFIG, and whether the operator's file, if there is one,
// fits each of them. Without a configuration file it checks the operator's file alone.
func check(_ context.Context, cmd *cli.Command) error {
	paths := cmd.Args().Slice()
	if len(paths) == 0 {
		paths = []string{os.Getenv(configVariable)}
	}
	if cmd.String(operatorFlagName) != "" && paths[0] == "" {
		return checkOperatorFile(cmd)
	}
	var failed []error
	for _, path := range paths {
		if err := checkConfig(cmd, path); err != nil {
			failed = append(failed, err)
		}
	}
	if len(failed) == 0 {
		return nil
	}
	return cli.Exit(errors.Join(failed...), exitUsage)
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

// checkConfig checks the configuration in a file and, if the flag names an operator's file, whether both are
// compatible.
func checkConfig(cmd *cli.Command, path string) error {
	c, err := config.Load(func(name string) string {
		if name == configVariable {
			return path
		}
		return os.Getenv(name)
	})
	if err != nil {
		return err
	}
	operator, misfits, err := operatorFile(cmd, c)
	if err == nil {
		err = misfitError(cmd, misfits)
	}
	if err != nil {
		return fmt.Errorf("configuration %s: %w", path, err)
	}
	if err := server.Check(c); err != nil {
		return err
	}
	fmt.Printf("configuration of %s is usable: clients at %s, discovery service at %s\n",
		c.Name, c.Listen, c.DiscoveryAddress)
	if operator != nil {
		fmt.Println(describe(cmd.String(operatorFlagName), operator))
	}
	return nil
}
