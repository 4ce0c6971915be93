package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"

	"tealpath/internal/adminsocket"
	"tealpath/internal/config"
	"tealpath/internal/operatorconfig"
	"tealpath/internal/server"

	"github.com/urfave/cli/v3"
)

// Names of flags, without the leading dashes.
const (
	operatorFlagName = "operator"
	socketFlagName   = "socket"
	jsonFlagName     = "json"
)

// operatorFlag returns the flag --operator, which names the operator's file.
func operatorFlag() []cli.Flag {
	return []cli.Flag{&cli.StringFlag{
		Name:  operatorFlagName,
		Usage: "the operator's `FILE`; without it the instance is stand-alone",
	}}
}

// socketFlags returns the flags that select the admin socket of a running instance.
func socketFlags() []cli.Flag {
	return append(operatorFlag(), &cli.StringFlag{
		Name:  socketFlagName,
		Usage: "`PATH` of the instance's admin socket, instead of the one in the operator's file",
	})
}

// jsonFlag returns the flag --json with the given help text.
func jsonFlag(usage string) cli.Flag { return &cli.BoolFlag{Name: jsonFlagName, Usage: usage} }

// operatorFile loads the operator's file and returns it with the sections that do not fit the configuration. It returns
// nil without an error if the flag --operator is not set.
func operatorFile(
	cmd *cli.Command, c *config.Config,
) (operator *operatorconfig.File, misfits []*operatorconfig.SectionError, err error) {
	path := cmd.String(operatorFlagName)
	if path == "" {
		return nil, nil, nil
	}
	operator, err = operatorconfig.Load(path, c.Name)
	if err != nil {
		return nil, nil, err
	}
	return operator, server.CheckOperatorConfig(operator, c), nil
}

// misfitError returns an error with all sections of the operator's file that do not fit a configuration, or nil.
func misfitError(cmd *cli.Command, misfits []*operatorconfig.SectionError) error {
	if len(misfits) == 0 {
		return nil
	}
	var all []error
	for _, misfit := range misfits {
		all = append(all, misfit)
	}
	return fmt.Errorf("operator's file %s:\n%w", cmd.String(operatorFlagName), errors.Join(all...))
}

// describe returns a line with the main settings of a valid operator's file.
func describe(path string, operator *operatorconfig.File) string {
	settings := operator.Cluster
	if settings == nil {
		return fmt.Sprintf("operator's file %s is usable: the instance is stand-alone", path)
	}
	probing := "no endpoints are probed"
	if settings.Probe != nil {
		probing = fmt.Sprintf("endpoints are probed every %s", time.Duration(settings.Probe.Period))
	}
	return fmt.Sprintf("operator's file %s is usable: "+
		"%d instances, %d voters of epoch %d, %d slots, lease %s, renewed every %s; %s",
		path, len(settings.Instances), len(settings.Voters.Current), settings.Voters.Epoch, settings.Slots,
		time.Duration(settings.LeaseDuration), time.Duration(settings.RenewalInterval), probing)
}

// socketPath returns the path of the admin socket that the flags of a command select. It returns a usage error if the
// command has arguments.
func socketPath(cmd *cli.Command) (string, error) {
	if err := checkArgs(cmd, 0); err != nil {
		return "", err
	}
	path := cmd.String(socketFlagName)
	if path == "" && cmd.String(operatorFlagName) != "" {
		operator, err := operatorconfig.Load(cmd.String(operatorFlagName), os.Getenv(nameVariable))
		if err != nil {
			return "", cli.Exit(err, exitUsage)
		}
		path = operator.SocketPath
	}
	if path == "" {
		err := fmt.Errorf("%s: no admin socket: set --socket PATH, or --operator FILE with a file that has (socket …)",
			cmd.Name)
		return "", cli.Exit(err, exitUsage)
	}
	return path, nil
}

// query sends a command to the running instance that the flags select, and decodes its answer.
func query(ctx context.Context, cmd *cli.Command, command string, answer any) error {
	path, err := socketPath(cmd)
	if err != nil {
		return err
	}
	if err := adminsocket.Query(ctx, path, answer, command); err != nil {
		return cli.Exit(err, exitFailed)
	}
	return nil
}

// printJSON prints a value to standard output as indented JSON.
func printJSON(value any) error {
	out := json.NewEncoder(os.Stdout)
	out.SetIndent("", "  ")
	return out.Encode(value)
}
