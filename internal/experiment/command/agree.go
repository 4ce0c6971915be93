package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"tealpath/internal/experiment/sharedconfigsim"
)

func agreeCommand(usage cli.OnUsageErrorFunc) *cli.Command {
	return &cli.Command{Name: "agree", Usage: "have instances agree on versions of settings through troubles, in simulated time", OnUsageError: usage,
		Action: agreeing, Flags: []cli.Flag{&cli.StringFlag{Name: "instances", Value: "5", Usage: "several as 5,50"},
			&cli.Float64Flag{Name: "virtual", Value: 1, Usage: "`HOURS` of simulated time"}, &cli.Uint64Flag{Name: "seed", Value: 7},
			&cli.DurationFlag{Name: "lease", Value: 1500 * time.Millisecond}, &cli.DurationFlag{Name: "renewal", Value: 500 * time.Millisecond},
			&cli.DurationFlag{Name: "every", Value: 4 * time.Second, Usage: "a change or a trouble so often"}}}
}

func agreeing(_ context.Context, cmd *cli.Command) error {
	broken := false
	for _, word := range strings.Split(cmd.String("instances"), ",") {
		n, err := strconv.Atoi(word)
		if err != nil || n < 1 || cmd.Float64("virtual") <= 0 {
			return cli.Exit(fmt.Errorf("instances from 1, hours above 0: %q, %g", word, cmd.Float64("virtual")), exitUsage)
		}
		r := sharedconfigsim.Plan{
			Instances:     n,
			Duration:      time.Duration(cmd.Float64("virtual") * 3600e9),
			Seed:          cmd.Uint64("seed"),
			LeaseDuration: cmd.Duration("lease"),
			RenewInterval: cmd.Duration("renewal"),
			EventInterval: cmd.Duration("every"),
		}.Run()
		json.NewEncoder(os.Stdout).Encode(r)
		broken = broken || !r.BoundsHold()
	}
	if broken {
		return cli.Exit(errors.New("a bound of docs/agreement.md is broken"), exitBroken)
	}
	return nil
}
