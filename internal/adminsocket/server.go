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
	"tealpath/internal/neterr"
	"time"
)

// Serve answers commands on a Unix socket until the context ends. A socket that an earlier process left is
// replaced; one that another process answers on is an error.
func Serve(ctx context.Context, path string, handlers map[string]Handler) error {
	if conn, err := net.DialTimeout("unix", path, takeoverTimeout); err == nil {
		ignore(conn.Close())
		return fmt.Errorf("socket %s: another process answers on it", path)
	}
	if info, err := os.Lstat(path); err == nil && info.Mode()&os.ModeSocket != 0 {
		ignore(os.Remove(path)) // if that fails, listening says why
	}
	listener, err := (&net.ListenConfig{}).Listen(ctx, "unix", path)
	if err != nil {
		return fmt.Errorf("socket: %w", err)
	}
	defer func() { ignore(listener.Close()) }()
	if err := os.Chmod(path, socketMode); err != nil {
		return fmt.Errorf("socket: %w", err)
	}
	return accept(ctx, listener, handlers)
}

// accept serves a listener until the context ends. An error of this machine's own, which passes, is waited for.
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
			return fmt.Errorf("socket: %w", err)
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

func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-time.After(duration):
	case <-ctx.Done():
	}
}

// serve answers the one command of a connection. A client that is gone hears nothing, which is no error of this
// instance.
func serve(ctx context.Context, conn net.Conn, handlers map[string]Handler) {
	defer func() { ignore(conn.Close()) }()
	if err := conn.SetDeadline(time.Now().Add(commandTimeout)); err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	line, err := bufio.NewReader(io.LimitReader(conn, maxCommandSize)).ReadString('\n')
	words := strings.Fields(line)
	var out reply
	if err != nil || len(words) == 0 {
		out.Error = "a command and a line end are wanted"
	} else {
		out = run(ctx, words, handlers)
	}
	ignore(json.NewEncoder(conn).Encode(out))
}

// run runs one command.
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

// ignore drops the error of closing what is over anyway, or of a write to a client that may be gone.
func ignore(error) {}
