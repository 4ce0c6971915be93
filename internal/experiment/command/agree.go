package command

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"tealpath/internal/experiment/report"
	"tealpath/internal/experiment/sharedconfigsim"

	"github.com/urfave/cli/v3"
)

func agreeCommand() *cli.Command {
	return &cli.Command{
		Name:         "agree",
		Usage:        "simulate how instances agree on settings while faults occur (docs/agreement.md)",
		OnUsageError: usageError,
		Action:       agree,
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name:  "instances",
				Value: "5",
				Usage: "`COUNTS` of instances, such as 5,50, with one run each",
			},
			&cli.Float64Flag{Name: "virtual", Value: 1, Usage: "`HOURS` of simulated time"},
			seedFlag(),
			&cli.DurationFlag{Name: "lease", Value: 1500 * time.Millisecond, Usage: "duration of a lease"},
			&cli.DurationFlag{
				Name:  "renewal",
				Value: 500 * time.Millisecond,
				Usage: "interval between renewals of a lease",
			},
			&cli.DurationFlag{
				Name:  "every",
				Value: 4 * time.Second,
				Usage: "interval between two changes of settings or faults",
			},
		},
	}
}

func agree(_ context.Context, cmd *cli.Command) error {
	var broken []string // instance counts of the runs that broke a bound
	for _, word := range strings.Split(cmd.String("instances"), ",") {
		instances, err := strconv.Atoi(word)
		if err != nil || instances < 1 || cmd.Float64("virtual") <= 0 {
			err := fmt.Errorf("--instances needs whole numbers from 1 (got %q), --virtual a number above 0 (got %g)",
				word, cmd.Float64("virtual"))
			return cli.Exit(err, exitUsage)
		}
		result := sharedconfigsim.Plan{
			Instances:     instances,
			Duration:      time.Duration(cmd.Float64("virtual") * float64(time.Hour)),
			Seed:          cmd.Uint64("seed"),
			LeaseDuration: cmd.Duration("lease"),
			RenewInterval: cmd.Duration("renewal"),
			EventInterval: cmd.Duration("every"),
		}.Run()
		if err := printJSON(result); err != nil {
			return err
		}
		if !result.BoundsHold() {
			broken = append(broken, word)
		}
	}
	if len(broken) > 0 {
		detail := "with --instances " + strings.Join(broken, ",")
		return failed(&report.BoundError{Page: "docs/agreement.md", Detail: detail})
	}
	return nil
}
