package main

import (
	"context"
	"fmt"
	"strings"

	"tealpath/internal/cluster"
	"tealpath/internal/server"

	"github.com/urfave/cli/v3"
)

// membersCommand defines tealpath members, which takes the flag --json and those that select a running instance's
// admin socket.
func membersCommand() *cli.Command {
	return &cli.Command{
		Name:         "members",
		Usage:        "ask a running instance which other instances it considers alive, and why",
		OnUsageError: usageError,
		Action:       members,
		Flags:        append(socketFlags(), jsonFlag("print the complete answer as JSON")),
	}
}

// members prints the members of the cluster and their states, according to a running instance.
func members(ctx context.Context, cmd *cli.Command) error {
	var status cluster.MembersStatus
	if err := query(ctx, cmd, server.MembersCommand, &status); err != nil {
		return err
	}
	if cmd.Bool(jsonFlagName) {
		return printJSON(status)
	}
	printMembers(status)
	return nil
}

func printMembers(status cluster.MembersStatus) {
	fmt.Printf("%s: %d alive, view %d, digest %016x, for %s; local health %d of 8, %d links\n",
		status.Name, status.Alive, status.View, status.Digest, formatMilliseconds(status.SinceMS), status.Health,
		status.Links)
	if status.CutOff {
		fmt.Println("NO HEARTBEATS from any neighbour: this instance seems to be cut off")
	}
	if status.AwayMS > 0 {
		fmt.Printf("the last pause of this instance took %s; it did not count silence of other instances during it\n",
			formatMilliseconds(status.AwayMS))
	}
	out := newTable()
	defer out.flush()
	out.printf("\nMEMBER\tSTATE\tSINCE\tWAY IN\tWAY OUT\tREPORTED BY\n")
	for _, member := range status.Members {
		printMember(out, member)
	}
}

func printMember(rows table, member cluster.MemberBelief) {
	state := member.State
	if member.HeldOut {
		state += ", held out"
	}
	if member.Duplicated {
		state += ", duplicate name"
	}
	in, out := "", ""
	if member.Neighbour {
		in, out = formatMilliseconds(member.SinceHeardMS), formatMilliseconds(member.SinceEchoedMS)
	}
	rows.printf("%s\t%s\t%s\t%s\t%s\t%s\n",
		member.Name, state, formatMilliseconds(member.SinceMS), in, out, strings.Join(member.Reported, ", "))
}
