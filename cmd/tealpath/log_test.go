package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"tealpath/internal/testkit"
)

// writeLine writes a line to the log and checks that Write returns no error.
func writeLine(t *testing.T, w *logWriter, line string) {
	t.Helper()
	if _, err := fmt.Fprintln(w, line); err != nil {
		t.Error(err)
	}
}

func TestCloseWritesQueuedLogLines(t *testing.T) {
	var out strings.Builder
	w := newLogWriter(&out)
	var want strings.Builder
	for n := range 100 {
		writeLine(t, w, fmt.Sprint("line ", n))
		fmt.Fprintln(&want, "line", n)
	}
	startedAt := time.Now()
	w.Close()
	if took := time.Since(startedAt); took > logCloseTimeout {
		t.Errorf("Close took %v, want at most %v", took, logCloseTimeout)
	}
	if out.String() != want.String() {
		t.Errorf("written: %q, want %q", out.String(), want.String())
	}
	writeLine(t, w, "after the end") // a goroutine that still runs after Close may do this
}

// If nobody reads the log, neither Write nor Close blocks. Once the log is read, it says how many lines were lost.
func TestUnreadLogBlocksNothing(t *testing.T) {
	in, out := io.Pipe()
	w := newLogWriter(out)
	const lines = 3 * maxQueuedLines
	startedAt := time.Now()
	for n := range lines {
		writeLine(t, w, fmt.Sprint("line ", n))
	}
	w.Close()
	if took := time.Since(startedAt); took > time.Second {
		t.Errorf("Write of %d lines and Close took %v, want at most 1 s", lines, took)
	}
	go func() {
		<-w.closed
		testkit.Close(out)
	}()
	written, lost := 0, 0
	for text := bufio.NewScanner(in); text.Scan(); {
		line := text.Text()
		if strings.HasPrefix(line, "line ") {
			written++
			continue
		}
		var event struct {
			Event string
			Lines int
		}
		if err := json.Unmarshal([]byte(line), &event); err != nil || event.Event != (LogLinesLost{}).Kind().Name {
			t.Fatalf("line %q is neither a written line nor a LogLinesLost event (%v)", line, err)
		}
		lost += event.Lines
	}
	if lost == 0 || written+lost != lines {
		t.Errorf("of %d lines, %d were written and %d reported as lost; want some lost and the sum equal",
			lines, written, lost)
	}
}
