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

func TestCommandsOverTheSocket(t *testing.T) {
	path := filepath.Join(t.TempDir(), "x.sock")
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	serve := func() { ended <- Serve(ctx, path, map[string]Handler{"echo": echo}) }
	go serve()
	var got []string
	for end := time.Now().Add(5 * time.Second); Query(ctx, path, &got, "echo", "a", "b") != nil; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no answer")
		}
	}
	if strings.Join(got, " ") != "a b" {
		t.Errorf("%q", got)
	}
	if info, err := os.Stat(path); err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("others may open it: %v %v", info.Mode(), err)
	}
	if err := Query(ctx, path, &got, "what"); err == nil || !strings.Contains(err.Error(), "unknown command") {
		t.Errorf("%v", err)
	}
	if err := Query(ctx, path, &got, "echo"); err == nil || !strings.Contains(err.Error(), "nothing to say") {
		t.Errorf("%v", err)
	}
	if err := Serve(ctx, path, nil); err == nil || !strings.Contains(err.Error(), "another process") {
		t.Errorf("a live socket was taken over: %v", err)
	}
	stop()
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if err := Query(context.Background(), path, &got, "echo"); err == nil {
		t.Error("it answers after its end")
	}
}

func echo(_ context.Context, words []string) (any, error) {
	if len(words) == 0 {
		return nil, errors.New("nothing to say")
	}
	return words, nil
}
