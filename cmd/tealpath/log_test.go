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

// writeLine writes a line to a log, which never fails.
func writeLine(t *testing.T, w *logWriter, line string) {
	t.Helper()
	if _, err := fmt.Fprintln(w, line); err != nil {
		t.Error(err)
	}
}

func TestLogIsWrittenAtTheEnd(t *testing.T) {
	var out strings.Builder
	w := newLogWriter(&out)
	var want strings.Builder
	for n := range 100 {
		writeLine(t, w, fmt.Sprint("line ", n))
		fmt.Fprintln(&want, "line", n)
	}
	begun := time.Now()
	w.Close()
	if took := time.Since(begun); took > logCloseTimeout {
		t.Errorf("closed after %v", took)
	}
	if out.String() != want.String() {
		t.Errorf("written: %q", out.String())
	}
	writeLine(t, w, "after the end") // by a goroutine that was left behind
}

// Nobody reads: who logs and the end of the process go on, and once somebody reads, it is said how many lines
// were lost.
func TestLogThatNobodyReads(t *testing.T) {
	in, out := io.Pipe()
	w := newLogWriter(out)
	const lines = 3 * maxQueuedLines
	begun := time.Now()
	for n := range lines {
		writeLine(t, w, fmt.Sprint("line ", n))
	}
	w.Close()
	if took := time.Since(begun); took > time.Second {
		t.Errorf("it took %v", took)
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
			t.Fatalf("%q, %v", line, err)
		}
		lost += event.Lines
	}
	if lost == 0 || written+lost != lines {
		t.Errorf("of %d lines %d were written and %d are said to be lost", lines, written, lost)
	}
}
