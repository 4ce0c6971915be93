package command

import (
	"context"
	"encoding/csv"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"tealpath/internal/experiment"
)

func membersCommand(usage cli.OnUsageErrorFunc) *cli.Command {
	return &cli.Command{Name: "members", Usage: "have instances watch each other through faults", OnUsageError: usage, Action: members,
		Flags: []cli.Flag{&cli.StringFlag{Name: "instances", Value: "24", Usage: "with --virtual several, as 300,1000"},
			&cli.Float64Flag{Name: "minutes", Value: 3}, &cli.StringFlag{Name: "faults", Value: "kill,pause"},
			&cli.IntFlag{Name: "slots", Value: 16}, &cli.Uint64Flag{Name: "seed", Value: 7}, &cli.StringFlag{Name: "out", Value: "lab-out"},
			&cli.StringFlag{Name: "binary", Value: "bin/tealpath"},
			&cli.Float64Flag{Name: "virtual", Usage: "play the module for so many `HOURS` of simulated time instead"},
			&cli.Float64Flag{Name: "loss", Usage: "part of all messages that is lost; virtual"},
			&cli.BoolFlag{Name: "before", Usage: "beside it the counters of before, for a minute; virtual"},
			&cli.DurationFlag{Name: "every", Value: 20 * time.Second, Usage: "a fault so often; virtual"},
			&cli.DurationFlag{Name: "silence", Value: 2100 * time.Millisecond, Usage: "virtual"}}}
}

func members(ctx context.Context, cmd *cli.Command) error {
	out := cmd.String("out")
	if err := os.MkdirAll(out, 0o755); err != nil {
		return cli.Exit(err, exitUsage)
	}
	var sizes []int
	for _, s := range strings.Split(cmd.String("instances"), ",") {
		n, err := strconv.Atoi(s)
		if err != nil || n < 2 {
			return cli.Exit(fmt.Errorf("instances: %q", s), exitUsage)
		}
		sizes = append(sizes, n)
	}
	var faults []string
	if cmd.String("faults") != "" {
		faults = strings.Split(cmd.String("faults"), ",")
	}
	if cmd.Float64("virtual") > 0 {
		return virtualMembers(cmd, out, sizes, faults)
	}
	folder, err := os.MkdirTemp("", "teallab")
	if err != nil {
		return cli.Exit(err, exitBroken)
	}
	defer os.RemoveAll(folder)
	result, err := experiment.Members{Setup: experiment.Setup{Core: -1, Binary: cmd.String("binary"), Folder: folder, Instances: sizes[0], Slots: cmd.Int("slots"),
		Lease: 1500 * time.Millisecond, Renewal: 500 * time.Millisecond, Period: time.Second}, Faults: faults,
		Span: time.Duration(cmd.Float64("minutes") * float64(time.Minute)), Seed: cmd.Uint64("seed"), Out: out}.Run(ctx)
	for _, f := range result.Trouble {
		fmt.Printf("%s of %s: believed after %.0f ms, agreed after %.0f ms, %d false deaths\n", f.Kind, f.Victim, f.MS, f.AgreedMS, f.False)
	}
	if err != nil && !errors.Is(err, experiment.ErrBound) {
		return cli.Exit(err, exitBroken)
	}
	json.NewEncoder(os.Stdout).Encode(result)
	if err != nil {
		return cli.Exit(err, exitBroken)
	}
	return nil
}

func virtualMembers(cmd *cli.Command, out string, sizes []int, faults []string) error {
	print := json.NewEncoder(os.Stdout)
	var plays []experiment.MemberSimResult
	for _, n := range sizes {
		play := experiment.MemberSim{Instances: n, Span: int64(cmd.Float64("virtual") * 3600e9), Seed: cmd.Uint64("seed"), Interval: 5e8,
			Quiet: int64(cmd.Duration("silence")), Loss: cmd.Float64("loss"), Faults: faults, Spread: 1e9}
		if len(faults) > 0 {
			play.Every = int64(cmd.Duration("every"))
		}
		if cmd.Bool("before") {
			old := play
			old.Before, old.Span = true, min(play.Span, 60e9)
			r := old.Run()
			plays = append(plays, r)
			print.Encode(r)
		}
		r := play.Run()
		plays = append(plays, r)
		print.Encode(r)
	}
	file, err := os.Create(filepath.Join(out, "members.csv"))
	if err != nil {
		return cli.Exit(err, exitBroken)
	}
	defer file.Close()
	w := csv.NewWriter(file)
	w.Write([]string{"instances", "before", "detect_p99_ms", "false_deaths", "bytes_calm", "links"})
	broken := false
	for _, r := range plays {
		w.Write([]string{strconv.Itoa(r.Instances), strconv.FormatBool(r.Before), fmt.Sprint(r.Detect99), strconv.Itoa(r.False),
			fmt.Sprint(r.Calm), strconv.Itoa(r.Links)})
		broken = broken || !r.Before && r.Broken()
	}
	if w.Flush(); broken {
		return cli.Exit(experiment.ErrBound, exitBroken)
	}
	if err := errors.Join(w.Error(), experiment.ChartMembers(out, plays)); err != nil {
		return cli.Exit(err, exitBroken)
	}
	return nil
}
