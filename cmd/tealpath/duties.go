package main

import (
	"cmp"
	"context"
	"fmt"
	"strings"

	"tealpath/internal/cluster"
	"tealpath/internal/server"

	"github.com/urfave/cli/v3"
)

// leasesCommand defines tealpath duties, which prints leases: "duties" is a former word for them. It takes the flag
// --json and those that select a running instance's admin socket.
func leasesCommand() *cli.Command {
	return &cli.Command{
		Name:         "duties",
		Usage:        "ask a running instance which instance holds the lease of which slot",
		OnUsageError: usageError,
		Action:       leases,
		Flags:        append(socketFlags(), jsonFlag("print the complete answer as JSON")),
	}
}

// leases prints which instance holds the lease of each slot, according to a running instance.
func leases(ctx context.Context, cmd *cli.Command) error {
	var status cluster.Status
	if err := query(ctx, cmd, server.LeasesCommand, &status); err != nil {
		return err
	}
	if cmd.Bool(jsonFlagName) {
		return printJSON(status)
	}
	printLeases(status)
	return nil
}

func printLeases(status cluster.Status) {
	quorum := "a majority is reached"
	if !status.Majority {
		quorum = "NO MAJORITY: this instance does no periodic tasks"
	}
	fmt.Printf("%s, voters of epoch %d: %s; %s\n",
		status.Name, status.Epoch, strings.Join(status.Voters, " "), quorum)
	if status.Reason != "" {
		fmt.Println("why:", status.Reason)
	}
	out := newTable()
	defer out.flush()
	printLeaseMembers(out, status)
	printSlots(out, status)
	out.printf("\n%d targets are probed, %d of them by this instance; "+
		"%d probes left out because of targets in slow start, %d stale probe results dropped\n",
		status.Targets, status.OwnTargets, status.Skipped, status.StaleResults)
	out.printf("%d frames sent to other instances, %d dropped from full queues; %d probes sent\n",
		status.Frames, status.FramesLost, status.Probes)
}

// printLeaseMembers prints a table with the column names and a row for each member of the cluster.
func printLeaseMembers(out table, status cluster.Status) {
	out.printf("\nMEMBER\tSTATE\tSINCE\tADDRESS\tWEIGHT\tEPOCH\n")
	for _, member := range status.Members {
		state := member.State
		if member.Duplicated {
			state += ", duplicate name"
		}
		out.printf("%s\t%s\t%s\t%s\t%g\t%d\n",
			member.Name, state, formatMilliseconds(member.SinceMS), member.Address, member.Weight, member.Epoch)
	}
}

// printSlots prints a table with the column names and a row for each slot, with the holder of its lease.
func printSlots(out table, status cluster.Status) {
	out.printf("\nSLOT\tOWNER\tNUMBER\tSINCE\tPLANNED\tWHY NOBODY\n")
	for _, slot := range status.Slots {
		since := ""
		if slot.Own {
			since = formatMilliseconds(slot.SinceMS)
		}
		out.printf("%d\t%s\t%x\t%s\t%s\t%s\n",
			slot.Slot, cmp.Or(slot.Holder, "-"), slot.Ballot, since, slot.Planned, slot.Reason)
	}
}
