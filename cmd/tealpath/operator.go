package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"tealpath/internal/adminsocket"
	"tealpath/internal/config"
	"tealpath/internal/operatorconfig"
	"tealpath/internal/server"
	"time"

	"github.com/urfave/cli/v3"
)

func operatorFlag() []cli.Flag {
	return []cli.Flag{&cli.StringFlag{
		Name:  "operator",
		Usage: "the operator's `FILE`; without it instances share nothing",
	}}
}

// socketFlags are the flags of commands that ask a running instance.
func socketFlags() []cli.Flag {
	return append(operatorFlag(), &cli.StringFlag{
		Name:  "socket",
		Usage: "`PATH` of the instance's Unix socket, instead of the one in the operator's file",
	})
}

func jsonFlag(usage string) cli.Flag { return &cli.BoolFlag{Name: "json", Usage: usage} }

// operatorFile loads and checks the operator's file; nil if none is named.
func operatorFile(cmd *cli.Command, c *config.Config) (*operatorconfig.File, error) {
	path := cmd.String("operator")
	if path == "" {
		return nil, nil
	}
	operator, err := operatorconfig.Load(path, c.Name)
	if err != nil {
		return nil, err
	}
	if err := server.CheckOperatorConfig(operator, c); err != nil {
		return nil, fmt.Errorf("operator's file %s:\n%w", path, err)
	}
	return operator, nil
}

// describe says in a line what a usable file means.
func describe(path string, operator *operatorconfig.File) string {
	fleet := operator.Cluster
	if fleet == nil {
		return fmt.Sprintf("operator's file %s is usable: instances share nothing", path)
	}
	probing := "nothing is probed"
	if fleet.Probe != nil {
		probing = fmt.Sprintf("members are probed every %s", time.Duration(fleet.Probe.Period))
	}
	return fmt.Sprintf("operator's file %s is usable: "+
		"%d instances, %d voters of epoch %d, %d slots, lease %s, renewed every %s; %s",
		path, len(fleet.Instances), len(fleet.Voters.Current), fleet.Voters.Epoch, fleet.Slots,
		time.Duration(fleet.LeaseDuration), time.Duration(fleet.RenewalInterval), probing)
}

// socket is where a running instance answers, by the flags of a command.
func socket(cmd *cli.Command) (string, error) {
	if err := checkArgs(cmd, 0); err != nil {
		return "", err
	}
	path := cmd.String("socket")
	if path == "" && cmd.String("operator") != "" {
		operator, err := operatorconfig.Load(cmd.String("operator"), os.Getenv("LB_NAME"))
		if err != nil {
			return "", cli.Exit(err, exitUsage)
		}
		path = operator.SocketPath
	}
	if path == "" {
		err := fmt.Errorf("%s: name the socket by --socket, or by --operator a file that has one", cmd.Name)
		return "", cli.Exit(err, exitUsage)
	}
	return path, nil
}

// query has the running instance that the flags name answer a command.
func query(ctx context.Context, cmd *cli.Command, command string, answer any) error {
	path, err := socket(cmd)
	if err != nil {
		return err
	}
	if err := adminsocket.Query(ctx, path, answer, command); err != nil {
		return cli.Exit(err, exitFailed)
	}
	return nil
}

// printJSON prints a value as indented JSON.
func printJSON(value any) error {
	out := json.NewEncoder(os.Stdout)
	out.SetIndent("", "  ")
	return out.Encode(value)
}
