package adminsocket

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// Only the owner may open the socket. Serve answers commands, reports errors to the client, does not replace a socket
// that is served, and returns when its context ends.
func TestServeUntilContextEnds(t *testing.T) {
	path := filepath.Join(t.TempDir(), "x.sock")
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- Serve(ctx, path, map[string]Handler{"echo": echo}) }()
	if got := queryUntilServed(t, path, "echo", "a", "b"); strings.Join(got, " ") != "a b" {
		t.Errorf("answer %q, want the arguments a and b", got)
	}
	info, err := os.Stat(path)
	if err != nil {
		t.Fatal(err)
	}
	if info.Mode().Perm() != 0o600 {
		t.Errorf("the socket has mode %v, want 0600", info.Mode())
	}
	expectError(t, Query(ctx, path, new([]string), "what"), "unknown command")
	expectError(t, Query(ctx, path, new([]string), "echo"), "nothing to say")
	expectError(t, Serve(ctx, path, nil), "another process")
	stop()
	if err := <-ended; err != nil {
		t.Errorf("Serve returned %v after its context ended", err)
	}
	expectError(t, Query(context.Background(), path, new([]string), "echo"), "no instance answers")
}

// queryUntilServed sends a command until it is answered, and returns the answer.
func queryUntilServed(t *testing.T, path string, words ...string) (answer []string) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if Query(t.Context(), path, &answer, words...) == nil {
			return answer
		}
	}
	t.Fatalf("no answer to %q within 5 s", words)
	return nil
}

// expectError checks that an error contains a text.
func expectError(t *testing.T, err error, text string) {
	t.Helper()
	if err == nil || !strings.Contains(err.Error(), text) {
		t.Errorf("error %v, want one that contains %q", err, text)
	}
}

// echo is a handler that answers with its arguments, or returns an error if there are none.
func echo(_ context.Context, arguments []string) (any, error) {
	if len(arguments) == 0 {
		return nil, errors.New("nothing to say")
	}
	return arguments, nil
}
