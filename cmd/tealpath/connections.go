package main

import (
	"context"
	"fmt"
	"strings"

	"tealpath/internal/server"

	"github.com/urfave/cli/v3"
)

// connectionsCommand defines tealpath connections, which takes the flags that select a running instance's admin
// socket.
func connectionsCommand() *cli.Command {
	return &cli.Command{
		Name:         "connections",
		Usage:        "ask a running instance for its client connections and the memory it uses",
		OnUsageError: usageError,
		Action:       connections,
		Flags:        socketFlags(),
	}
}

// connections prints how many client connections of a running instance are in each state, and its memory usage.
func connections(ctx context.Context, cmd *cli.Command) error {
	var status server.Connections
	if err := query(ctx, cmd, server.ConnectionsCommand, &status); err != nil {
		return err
	}
	fmt.Printf("%d connections: %d idle, %d of them suspended, %d busy, %d reading, %d fresh, %d closing; "+
		"%d suspended with unread data\n",
		status.All, status.Idle, status.Suspended, status.Active, status.Reading, status.New, status.Closing,
		status.Waiting)
	fmt.Printf("%d goroutines, %d KB of heap, %d KB of stacks\n",
		status.Goroutines, status.HeapBytes>>10, status.StackBytes>>10)
	if len(status.OperatorSectionsOff) > 0 {
		fmt.Printf("off, since they do not fit the configuration: %s\n", strings.Join(status.OperatorSectionsOff, ", "))
	}
	return nil
}
