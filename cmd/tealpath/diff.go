package main

import (
	"context"
	"fmt"
	"os"
	"tealpath/internal/compatibility"
	"tealpath/internal/operatorconfig"

	"github.com/urfave/cli/v3"
)

// diff says whether two operator's files may be in force side by side, and by which steps one becomes the
// other. Exit 1: they may not.
func diff(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() != 2 {
		return cli.Exit("diff takes two operator's files", exitUsage)
	}
	var settings [2]compatibility.Settings
	for i := range settings {
		file, err := operatorconfig.Load(cmd.Args().Get(i), os.Getenv("LB_NAME"))
		if err != nil {
			return cli.Exit(err, exitUsage)
		}
		settings[i] = file.Shared(0)
	}
	a, b := settings[0], settings[1]
	conflicts := compatibility.Compare(a, b)
	worst := compatibility.WorstSeverity(conflicts)
	steps, err := compatibility.MigrationPath(a, b)
	if cmd.Bool("json") {
		type told struct {
			Setting, Degree, Why string
			Rule                 int
		}
		out := struct {
			Worst     string
			Conflicts []told
			Steps     []compatibility.Settings
		}{Worst: worst.String(), Steps: steps}
		for _, c := range conflicts {
			out.Conflicts = append(out.Conflicts, told{c.Setting, c.Severity.String(), c.Reason, int(c.Rule)})
		}
		if err := asJSON(out); err != nil {
			return err
		}
	} else {
		for _, c := range conflicts {
			fmt.Println(c)
		}
		if len(conflicts) == 0 {
			fmt.Println("they may run side by side")
		}
		if err == nil && len(steps) > 1 {
			fmt.Printf("in %d steps:\n", len(steps))
			for i, s := range steps {
				fmt.Printf("%d. voters of epoch %d: %v; slots %d\n", i+1, s.Voters.Epoch, s.Voters.Current, s.Slots)
			}
		}
	}
	switch {
	case err != nil:
		return cli.Exit(err, exitFailed)
	case worst == compatibility.Exclusive:
		return cli.Exit("they may not run side by side: the last step takes all instances down at once, or the steps above", exitFailed)
	}
	return nil
}
