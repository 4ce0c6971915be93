package adminsocket

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"time"

	"tealpath/internal/neterr"
)

// Serve serves commands on a Unix socket until the context ends. The keys of handlers are the commands' names. Serve
// replaces a socket that an earlier process has left, and fails if another process serves the socket.
func Serve(ctx context.Context, path string, handlers map[string]Handler) error {
	if err := removeStale(path); err != nil {
		return err
	}
	listener, err := (&net.ListenConfig{}).Listen(ctx, "unix", path)
	if err != nil {
		return fmt.Errorf("admin socket: %w", err)
	}
	defer func() { ignore(listener.Close()) }()
	if err := os.Chmod(path, socketMode); err != nil {
		return fmt.Errorf("admin socket: %w", err)
	}
	return accept(ctx, listener, handlers)
}

// removeStale removes a socket that no process serves. It is an error if a process serves it.
func removeStale(path string) error {
	if conn, err := net.DialTimeout("unix", path, takeoverTimeout); err == nil {
		ignore(conn.Close())
		return fmt.Errorf("admin socket %s: another process answers on it", path)
	}
	if info, err := os.Lstat(path); err == nil && info.Mode()&os.ModeSocket != 0 {
		ignore(os.Remove(path)) // if this fails, Listen fails too and returns the reason
	}
	return nil
}

// accept serves a listener's connections until the context ends. If accepting fails because this machine lacks
// resources, such as descriptors, it is retried.
func accept(ctx context.Context, listener net.Listener, handlers map[string]Handler) error {
	stop := context.AfterFunc(ctx, func() { ignore(listener.Close()) })
	defer stop()
	var group sync.WaitGroup
	defer group.Wait()
	clients := make(chan struct{}, maxClients)
	for {
		conn, err := listener.Accept()
		switch {
		case err == nil:
		case ctx.Err() != nil:
			return nil
		case !neterr.IsLocal(err):
			return fmt.Errorf("admin socket: accept: %w", err)
		default:
			sleep(ctx, acceptRetryDelay)
			continue
		}
		select {
		case clients <- struct{}{}:
		case <-ctx.Done():
			ignore(conn.Close())
			return nil
		}
		group.Go(func() {
			defer func() { <-clients }()
			serve(ctx, conn, handlers)
		})
	}
}

// sleep waits for a duration or until the context ends.
func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-time.After(duration):
	case <-ctx.Done():
	}
}

// serve reads the one command of a connection, runs it and writes the reply. Errors of the connection are ignored
// because they affect only its client.
func serve(ctx context.Context, conn net.Conn, handlers map[string]Handler) {
	defer func() { ignore(conn.Close()) }()
	if err := conn.SetDeadline(time.Now().Add(commandTimeout)); err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	line, err := bufio.NewReader(io.LimitReader(conn, maxCommandSize)).ReadString('\n')
	words := strings.Fields(line)
	response := reply{
		Error: fmt.Sprintf("%q is not a command that ends with a newline within %d bytes", line, maxCommandSize),
	}
	if err == nil && len(words) > 0 {
		response = run(ctx, words, handlers)
	}
	ignore(json.NewEncoder(conn).Encode(response))
}

// run calls the handler of a command and returns its reply. words are the command's name and its arguments. An unknown
// command is replied to with an error.
func run(ctx context.Context, words []string, handlers map[string]Handler) reply {
	handler := handlers[words[0]]
	if handler == nil {
		return reply{Error: fmt.Sprintf("unknown command %q", words[0])}
	}
	result, err := handler(ctx, words[1:])
	if err != nil {
		return reply{Error: err.Error()}
	}
	answer, err := json.Marshal(result)
	if err != nil {
		return reply{Error: err.Error()}
	}
	return reply{Answer: answer}
}

// ignore discards an error that has no consequence, such as that of closing a connection or listener that is no longer
// used, or of a write to a client that may have disconnected.
func ignore(error) {}
