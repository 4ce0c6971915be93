package main

import (
	"context"
	"fmt"
	"runtime/debug"

	"github.com/urfave/cli/v3"
)

// versionCommand defines tealpath version, which takes no arguments.
func versionCommand() *cli.Command {
	return &cli.Command{
		Name:         "version",
		Usage:        "print the version",
		OnUsageError: usageError,
		Action:       printVersion,
	}
}

// printVersion prints the version of the program and the Go version that it was built with.
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
