// Package adminsocket carries commands to a running instance over a Unix socket that only its owner may open. A
// command is one line of words; the reply is one JSON object. Sizes, times and the number of clients are
// bounded.
package adminsocket

import (
	"context"
	"encoding/json"
	"time"
)

const (
	maxCommandSize = 4 << 10  // bytes of a command with its line end
	maxReplySize   = 16 << 20 // bytes of a reply
	maxClients     = 8        // served at a time; the others wait
	commandTimeout = 5 * time.Second

	// takeoverTimeout is how long another process has to accept a connection, if it answers on the socket.
	takeoverTimeout = time.Second

	// acceptRetryDelay follows an accept that failed for a reason of this machine's own, such as missing
	// descriptors.
	acceptRetryDelay = 50 * time.Millisecond

	// socketMode lets the owner alone open the socket.
	socketMode = 0o600
)

// Handler answers one command. What it returns is encoded as JSON.
type Handler func(ctx context.Context, words []string) (any, error)

// reply is what a client is sent.
type reply struct {
	Error  string          `json:"error,omitempty"`
	Answer json.RawMessage `json:"answer,omitempty"`
}
