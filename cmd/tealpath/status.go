package main

import (
	"cmp"
	"context"
	"fmt"
	"os"
	"strings"
	"tealpath/internal/adminsocket"
	"tealpath/internal/cluster"
	"tealpath/internal/server"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"
)

// durationStep is what durations are rounded to in print.
const durationStep = 100 * time.Millisecond

// connections asks a running instance how many connections it has.
func connections(ctx context.Context, cmd *cli.Command) error {
	path, err := socket(cmd)
	if err != nil {
		return err
	}
	var status server.Connections
	if err := adminsocket.Query(ctx, path, &status, "connections"); err != nil {
		return cli.Exit(err, exitFailed)
	}
	fmt.Printf("%d connections: %d idle, %d of them at rest, %d busy, %d reading, %d fresh, %d closing; "+
		"%d wait to be woken\n",
		status.All, status.Idle, status.Suspended, status.Active, status.Reading, status.New, status.Closing,
		status.Waiting)
	fmt.Printf("%d goroutines, %d KB of heap, %d KB of stacks\n",
		status.Goroutines, status.HeapBytes>>10, status.StackBytes>>10)
	return nil
}

// leases asks a running instance who holds the leases of which slots.
func leases(ctx context.Context, cmd *cli.Command) error {
	path, err := socket(cmd)
	if err != nil {
		return err
	}
	var status cluster.Status
	if err := adminsocket.Query(ctx, path, &status, "duties"); err != nil {
		return cli.Exit(err, exitFailed)
	}
	if cmd.Bool("json") {
		return printJSON(status)
	}
	printLeases(status)
	return nil
}

// members asks a running instance which others it believes to be alive.
func members(ctx context.Context, cmd *cli.Command) error {
	path, err := socket(cmd)
	if err != nil {
		return err
	}
	var status cluster.MembersStatus
	if err := adminsocket.Query(ctx, path, &status, "members"); err != nil {
		return cli.Exit(err, exitFailed)
	}
	if cmd.Bool("json") {
		return printJSON(status)
	}
	printMembers(status)
	return nil
}

// table writes rows of columns. A standard output that can't be written to is not reported, as with fmt.Printf.
type table struct{ *tabwriter.Writer }

func newTable() table { return table{tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)} }

func (t table) printf(format string, values ...any) { _, _ = fmt.Fprintf(t, format, values...) }

func (t table) flush() { _ = t.Flush() }

func printMembers(status cluster.MembersStatus) {
	fmt.Printf("%s: %d alive, view %d, digest %016x, for %s; local health %d of 8, %d links\n",
		status.Name, status.Alive, status.View, status.Digest, duration(status.SinceMS), status.Health, status.Links)
	if status.CutOff {
		fmt.Println("NOTHING IS HEARD from any neighbour: this instance seems to be cut off")
	}
	if status.AwayMS > 0 {
		fmt.Printf("it was away for %s once; nothing was held against others for that\n", duration(status.AwayMS))
	}
	out := newTable()
	defer out.flush()
	out.printf("\nMEMBER\tSTATE\tSINCE\tWAY IN\tWAY OUT\tREPORTED BY\n")
	for _, member := range status.Members {
		printMember(out, member)
	}
}

func printMember(out table, member cluster.MemberBelief) {
	state := member.State
	if member.Held {
		state += ", held out"
	}
	if member.Doubled {
		state += ", two starts"
	}
	in, back := "", ""
	if member.Near {
		in, back = duration(member.InMS), duration(member.OutMS)
	}
	out.printf("%s\t%s\t%s\t%s\t%s\t%s\n",
		member.Name, state, duration(member.SinceMS), in, back, strings.Join(member.Reported, ", "))
}

func printLeases(status cluster.Status) {
	quorum := "a majority is reached"
	if !status.Majority {
		quorum = "NO MAJORITY: nobody here acts"
	}
	fmt.Printf("%s, voters of epoch %d: %s; %s\n",
		status.Name, status.Epoch, strings.Join(status.Voters, " "), quorum)
	if status.Reason != "" {
		fmt.Println("why:", status.Reason)
	}
	out := newTable()
	defer out.flush()
	out.printf("\nMEMBER\tSTATE\tSINCE\tADDRESS\tWEIGHT\tEPOCH\n")
	for _, member := range status.Members {
		state := member.State
		if member.Doubled {
			state += ", two starts"
		}
		out.printf("%s\t%s\t%s\t%s\t%g\t%d\n",
			member.Name, state, duration(member.SinceMS), member.Address, member.Weight, member.Epoch)
	}
	out.printf("\nSLOT\tOWNER\tNUMBER\tSINCE\tPLANNED\tWHY NOBODY\n")
	for _, slot := range status.Slots {
		since := ""
		if slot.Own {
			since = duration(slot.SinceMS)
		}
		out.printf("%d\t%s\t%x\t%s\t%s\t%s\n",
			slot.Slot, cmp.Or(slot.Holder, "-"), slot.Ballot, since, slot.Planned, slot.Reason)
	}
	out.printf("\n%d targets are probed, %d of them here; "+
		"%d probes left out to spare cold ones, %d stale findings dropped\n",
		status.Targets, status.OwnTargets, status.Skipped, status.StaleResults)
	out.printf("%d frames sent to other instances, %d dropped from full queues; %d probes sent\n",
		status.Frames, status.FramesLost, status.Probes)
}

// duration prints milliseconds.
func duration(ms int64) string {
	return (time.Duration(ms) * time.Millisecond).Round(durationStep).String()
}
