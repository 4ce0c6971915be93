package main

import (
	"context"
	"fmt"
	"strings"

	"tealpath/internal/cluster"
	"tealpath/internal/server"

	"github.com/urfave/cli/v3"
)

// membersCommand returns the command members.
func membersCommand() *cli.Command {
	return &cli.Command{
		Name:         "members",
		Usage:        "ask a running instance which others it believes to be alive, and why",
		OnUsageError: usageError,
		Action:       members,
		Flags:        append(socketFlags(), jsonFlag("print the complete answer as JSON")),
	}
}

// members prints the members of the cluster with their states, as a running instance knows them.
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
