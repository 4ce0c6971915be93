// Package adminsocket sends commands to a running instance over a Unix socket that only its owner may open. A command
// is one line of words; the reply is one JSON object. The sizes of both, the duration of a command, and the number of
// clients at a time are limited.
package adminsocket

import (
	"context"
	"encoding/json"
	"time"
)

const (
	maxCommandSize = 4 << 10  // size of a command, including its newline, bytes
	maxReplySize   = 16 << 20 // size of a reply, bytes
	maxClients     = 8        // number of clients served at a time; the others wait

	// commandTimeout limits the duration of each command, on both sides of the socket.
	commandTimeout = 5 * time.Second

	// takeoverTimeout limits the connection attempt with which Serve checks whether another process serves the
	// socket.
	takeoverTimeout = time.Second

	// acceptRetryDelay is the delay after an accept that failed because this machine lacks resources, for example
	// descriptors.
	acceptRetryDelay = 50 * time.Millisecond

	// socketMode is the socket's file mode. It allows only the owner to open the socket.
	socketMode = 0o600
)

// Handler runs a command with its arguments. Its result is encoded as JSON.
type Handler func(ctx context.Context, arguments []string) (any, error)

// reply is the reply to a command: either an error or an answer.
type reply struct {
	Error  string          `json:"error,omitempty"`
	Answer json.RawMessage `json:"answer,omitempty"`
}
