package operatorconfig

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"tealpath/internal/neterr"
	"time"
)

// Bounds of what goes over the socket.
const (
	askMost    = 4 << 10
	askWithin  = 5 * time.Second
	askersMost = 8
	answerMost = 16 << 20
	acceptGap  = 50 * time.Millisecond // after an accept that this machine failed
)

// Handler answers one command; what it returns goes out as JSON.
type Handler func(ctx context.Context, words []string) (any, error)

type reply struct {
	Error  string          `json:"error,omitempty"`
	Answer json.RawMessage `json:"answer,omitempty"`
}

// Serve answers commands on a Unix socket, which its owner alone may open, until the context ends. A socket
// that an earlier process left is replaced, one that is answered on is not.
func Serve(ctx context.Context, path string, handlers map[string]Handler) error {
	if conn, err := net.DialTimeout("unix", path, time.Second); err == nil {
		conn.Close()
		return fmt.Errorf("socket %s: another process answers on it", path)
	}
	if info, err := os.Lstat(path); err == nil && info.Mode()&os.ModeSocket != 0 {
		os.Remove(path)
	}
	listener, err := (&net.ListenConfig{}).Listen(ctx, "unix", path)
	if err != nil {
		return fmt.Errorf("socket: %w", err)
	}
	defer listener.Close()
	if err := os.Chmod(path, 0o600); err != nil {
		return fmt.Errorf("socket: %w", err)
	}
	return accept(ctx, listener, handlers)
}

// accept answers on a listener until the context ends. What this machine lacks for a moment ends nothing: the
// whole instance ended with its socket.
func accept(ctx context.Context, listener net.Listener, handlers map[string]Handler) error {
	stop := context.AfterFunc(ctx, func() { listener.Close() })
	defer stop()
	var group sync.WaitGroup
	defer group.Wait()
	askers := make(chan struct{}, askersMost)
	for {
		conn, err := listener.Accept()
		if err != nil {
			switch {
			case ctx.Err() != nil:
				return nil
			case !neterr.IsLocal(err):
				return fmt.Errorf("socket: %w", err)
			}
			select {
			case <-time.After(acceptGap):
			case <-ctx.Done():
			}
			continue
		}
		select {
		case askers <- struct{}{}:
		case <-ctx.Done():
			conn.Close()
			return nil
		}
		group.Go(func() {
			defer func() { <-askers }()
			defer conn.Close()
			conn.SetDeadline(time.Now().Add(askWithin))
			answer(ctx, conn, handlers)
		})
	}
}

func answer(ctx context.Context, conn net.Conn, handlers map[string]Handler) {
	ctx, cancel := context.WithTimeout(ctx, askWithin)
	defer cancel()
	var r reply
	line, err := bufio.NewReader(io.LimitReader(conn, askMost)).ReadString('\n')
	words := strings.Fields(line)
	switch {
	case err != nil || len(words) == 0:
		r.Error = "a command and a line end are wanted"
	case handlers[words[0]] == nil:
		r.Error = fmt.Sprintf("unknown command %q", words[0])
	default:
		out, err := handlers[words[0]](ctx, words[1:])
		if err == nil {
			r.Answer, err = json.Marshal(out)
		}
		if err != nil {
			r.Error = err.Error()
		}
	}
	json.NewEncoder(conn).Encode(r)
}

// Ask sends a command to a running instance's socket and decodes its answer.
func Ask(ctx context.Context, path string, into any, words ...string) error {
	ctx, cancel := context.WithTimeout(ctx, askWithin)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "unix", path)
	if err != nil {
		return fmt.Errorf("no instance answers at %s: %w", path, err)
	}
	defer conn.Close()
	if at, ok := ctx.Deadline(); ok {
		conn.SetDeadline(at)
	}
	if _, err := fmt.Fprintln(conn, strings.Join(words, " ")); err != nil {
		return err
	}
	var r reply
	if err := json.NewDecoder(io.LimitReader(conn, answerMost)).Decode(&r); err != nil {
		return fmt.Errorf("answer of %s: %w", path, err)
	}
	if r.Error != "" {
		return errors.New(r.Error)
	}
	return json.Unmarshal(r.Answer, into)
}
