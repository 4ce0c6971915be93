package main

import (
	"context"
	"fmt"
	"os"

	"tealpath/internal/compatibility"
	"tealpath/internal/operatorconfig"

	"github.com/urfave/cli/v3"
)

// diffCommand defines tealpath diff, which takes the paths of two operator's files and the flag --json.
func diffCommand() *cli.Command {
	return &cli.Command{
		Name: "diff",
		Usage: "check whether instances with these two operator's files may run side by side, " +
			"and show how to migrate",
		ArgsUsage:    "A B",
		OnUsageError: usageError,
		Action:       diff,
		Flags:        []cli.Flag{jsonFlag("print conflicts and steps as JSON")},
	}
}

// diff prints whether instances with two operator's files may run side by side, and the steps of a migration from the
// first file to the second. It returns an error if they may not run side by side.
func diff(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() != 2 {
		return cli.Exit(fmt.Errorf("diff: got %d arguments, want two operator's files", cmd.Args().Len()), exitUsage)
	}
	var settings [2]compatibility.Settings
	for i := range settings {
		operator, err := operatorconfig.Load(cmd.Args().Get(i), os.Getenv(nameVariable))
		if err != nil {
			return cli.Exit(err, exitUsage)
		}
		settings[i] = operator.SharedSettings(0)
	}
	conflicts := compatibility.Compare(settings[0], settings[1])
	steps, pathErr := compatibility.MigrationPath(settings[0], settings[1])
	if cmd.Bool(jsonFlagName) {
		if err := printDiffJSON(conflicts, steps); err != nil {
			return err
		}
	} else {
		printDiff(conflicts, steps)
	}
	switch {
	case pathErr != nil:
		return cli.Exit(pathErr, exitFailed)
	case compatibility.WorstSeverity(conflicts) == compatibility.Exclusive:
		return cli.Exit("instances with these files may not run side by side: "+
			"follow the steps above, if any; "+
			"to change slots, lease or drift, stop all instances at the same time", exitFailed)
	}
	return nil
}

// diffOutput is the output of diff --json. Scripts depend on its field names.
type diffOutput struct {
	Worst     string
	Conflicts []conflictOutput
	Steps     []compatibility.Settings
}

// conflictOutput is one conflict in diffOutput.
type conflictOutput struct {
	Setting, Degree, Why string
	Rule                 int
}

func printDiffJSON(conflicts []compatibility.Conflict, steps []compatibility.Settings) error {
	out := diffOutput{Worst: compatibility.WorstSeverity(conflicts).String(), Steps: steps}
	for _, conflict := range conflicts {
		out.Conflicts = append(out.Conflicts, conflictOutput{
			Setting: conflict.Setting,
			Degree:  conflict.Severity.String(),
			Why:     conflict.Reason,
			Rule:    int(conflict.Rule),
		})
	}
	return printJSON(out)
}

// printDiff prints the conflicts between the two files, and the steps of the migration if there is more than one.
func printDiff(conflicts []compatibility.Conflict, steps []compatibility.Settings) {
	for _, conflict := range conflicts {
		fmt.Println(conflict)
	}
	if len(conflicts) == 0 {
		fmt.Println("instances with these files may run side by side")
	}
	if len(steps) <= 1 {
		return
	}
	fmt.Printf("migration in %d steps:\n", len(steps))
	for i, step := range steps {
		fmt.Printf("%d. voters of epoch %d: %v; slots %d\n",
			i+1, step.Voters.Epoch, step.Voters.Current, step.Slots)
	}
}
