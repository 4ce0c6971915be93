package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"tealpath/internal/cluster"
	"tealpath/internal/config"
	"tealpath/internal/operatorconfig"
	"tealpath/internal/server"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"
)

func operatorFlag() []cli.Flag {
	return []cli.Flag{&cli.StringFlag{Name: "operator", Usage: "the operator's `FILE`; without it nothing is shared with other instances"}}
}

// operatorFile loads and checks the operator's file if one is named.
func operatorFile(cmd *cli.Command, c *config.Config) (*operatorconfig.File, error) {
	path := cmd.String("operator")
	if path == "" {
		return nil, nil
	}
	file, err := operatorconfig.Load(path, c.Name)
	if err != nil {
		return nil, err
	}
	if err := server.CheckOperatorConfig(file, c); err != nil {
		return nil, fmt.Errorf("operator's file %s:\n%w", path, err)
	}
	return file, nil
}

// describe says in a line what a usable file means.
func describe(path string, file *operatorconfig.File) string {
	f := file.Fleet
	if f == nil {
		return fmt.Sprintf("operator's file %s is usable: instances share nothing", path)
	}
	probing := "nothing is probed"
	if f.Probe != nil {
		probing = fmt.Sprintf("members are probed every %s", time.Duration(f.Probe.Period))
	}
	return fmt.Sprintf("operator's file %s is usable: %d instances, %d voters of epoch %d, %d slots, lease %s, renewed every %s; %s",
		path, len(f.Instances), len(f.Voters.Current), f.Voters.Epoch, f.Slots, time.Duration(f.Lease), time.Duration(f.Renewal), probing)
}

// socket is where a running instance answers, by the flags of a command.
func socket(cmd *cli.Command) (string, error) {
	if err := atMost(cmd, 0); err != nil {
		return "", err
	}
	path := cmd.String("socket")
	if path == "" && cmd.String("operator") != "" {
		file, err := operatorconfig.Load(cmd.String("operator"), os.Getenv("LB_NAME"))
		if err != nil {
			return "", cli.Exit(err, exitUsage)
		}
		path = file.Socket
	}
	if path == "" {
		return "", cli.Exit(fmt.Errorf("%s: name the socket by --socket, or by --operator a file that has one", cmd.Name), exitUsage)
	}
	return path, nil
}

// connections asks a running instance how many connections it has.
func connections(ctx context.Context, cmd *cli.Command) error {
	path, err := socket(cmd)
	if err != nil {
		return err
	}
	var c server.Connections
	if err := operatorconfig.Ask(ctx, path, &c, "connections"); err != nil {
		return cli.Exit(err, exitFailed)
	}
	fmt.Printf("%d connections: %d idle, %d of them at rest, %d busy, %d reading, %d fresh, %d closing; %d wait to be woken\n", c.All, c.Idle,
		c.Parked, c.Busy, c.Reading, c.Fresh, c.Closing, c.Waiting)
	fmt.Printf("%d goroutines, %d KB of heap, %d KB of stacks\n", c.Goroutines, c.HeapBytes>>10, c.StackBytes>>10)
	return nil
}

// duties asks a running instance who owns what.
func duties(ctx context.Context, cmd *cli.Command) error {
	path, err := socket(cmd)
	if err != nil {
		return err
	}
	var s cluster.Status
	if err := operatorconfig.Ask(ctx, path, &s, "duties"); err != nil {
		return cli.Exit(err, exitFailed)
	}
	if cmd.Bool("json") {
		return asJSON(s)
	}
	show(s)
	return nil
}

func asJSON(v any) error {
	out := json.NewEncoder(os.Stdout)
	out.SetIndent("", "  ")
	return out.Encode(v)
}

// members asks a running instance who is there.
func members(ctx context.Context, cmd *cli.Command) error {
	path, err := socket(cmd)
	if err != nil {
		return err
	}
	var s cluster.MembersStatus
	if err := operatorconfig.Ask(ctx, path, &s, "members"); err != nil {
		return cli.Exit(err, exitFailed)
	}
	if cmd.Bool("json") {
		return asJSON(s)
	}
	fmt.Printf("%s: %d alive, view %d, digest %016x, for %s; local health %d of 8, %d links\n", s.Name, s.Alive, s.View, s.Digest,
		span(s.SinceMS), s.Health, s.Links)
	if s.CutOff {
		fmt.Println("NOTHING IS HEARD from any neighbour: this instance seems to be cut off")
	}
	if s.AwayMS > 0 {
		fmt.Printf("it was away for %s once; nothing was held against others for that\n", span(s.AwayMS))
	}
	out := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)
	defer out.Flush()
	fmt.Fprintln(out, "\nMEMBER\tSTATE\tSINCE\tWAY IN\tWAY OUT\tREPORTED BY")
	for _, m := range s.Members {
		state, in, back := m.State, "", ""
		if m.Held {
			state += ", held out"
		}
		if m.Doubled {
			state += ", two starts"
		}
		if m.Near {
			in, back = span(m.InMS), span(m.OutMS)
		}
		fmt.Fprintf(out, "%s\t%s\t%s\t%s\t%s\t%s\n", m.Name, state, span(m.SinceMS), in, back, strings.Join(m.Reported, ", "))
	}
	return nil
}

func show(s cluster.Status) {
	majority := "a majority is reached"
	if !s.Majority {
		majority = "NO MAJORITY: nobody here acts"
	}
	fmt.Printf("%s, voters of epoch %d: %s; %s\n", s.Name, s.Epoch, strings.Join(s.Voters, " "), majority)
	if s.Reason != "" {
		fmt.Println("why:", s.Reason)
	}
	out := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)
	defer out.Flush()
	fmt.Fprintln(out, "\nMEMBER\tSTATE\tSINCE\tADDRESS\tWEIGHT\tEPOCH")
	for _, m := range s.Members {
		state := m.State
		if m.Doubled {
			state += ", two starts"
		}
		fmt.Fprintf(out, "%s\t%s\t%s\t%s\t%g\t%d\n", m.Name, state, span(m.SinceMS), m.Address, m.Weight, m.Epoch)
	}
	fmt.Fprintln(out, "\nSLOT\tOWNER\tNUMBER\tSINCE\tPLANNED\tWHY NOBODY")
	for _, x := range s.Slots {
		since := ""
		if x.Own {
			since = span(x.SinceMS)
		}
		fmt.Fprintf(out, "%d\t%s\t%x\t%s\t%s\t%s\n", x.SlotStatus.Slot, cmp.Or(x.Holder, "-"), x.Ballot, since, x.Planned, x.Reason)
	}
	fmt.Fprintf(out, "\n%d targets are probed, %d of them here; %d probes left out to spare cold ones, %d stale findings dropped\n",
		s.Targets, s.OwnTargets, s.Skipped, s.StaleResults)
	fmt.Fprintf(out, "%d frames sent to other instances, %d dropped from full queues; %d probes sent\n", s.Frames, s.FramesLost, s.Probes)
}

func span(ms int64) string {
	return (time.Duration(ms) * time.Millisecond).Round(100 * time.Millisecond).String()
}
