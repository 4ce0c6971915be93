package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"regexp"
	"strings"
	"syscall"
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

// failingWriter fails while broken is set, as the log does while nobody reads it.
type failingWriter struct {
	strings.Builder
	broken bool
}

func (w *failingWriter) Write(raw []byte) (int, error) {
	if w.broken {
		return 0, syscall.EPIPE
	}
	return w.Builder.Write(raw)
}

// Lines that can't be written are counted, and once the log can be written again it says how many they were.
func TestUnwrittenLogLinesAreCounted(t *testing.T) {
	out := &failingWriter{broken: true}
	w := &logWriter{out: out}
	for range 3 {
		w.write([]byte("lost\n"))
	}
	out.broken = false
	w.write([]byte("written\n"))
	w.write([]byte("written\n"))
	want := regexp.MustCompile(`^\{[^\n]*"lines":3[^\n]*\}\nwritten\nwritten\n$`)
	if got := out.String(); !want.MatchString(got) {
		t.Errorf("log %q, want one event with 3 lost lines and two written lines", got)
	}
}

// The router goes on when whoever reads its log goes away: it used to be ended by SIGPIPE at its next log line.
func TestRouterOutlivesTheReaderOfItsLog(t *testing.T) {
	router, _, _ := newTestCell(t, clientTimeout.Seconds())
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	command := exec.Command(self)
	command.Env = append(os.Environ(), runAsProgram+"=1", "LB_CONFIG="+router.configPath, "LB_LISTEN="+router.address)
	command.Stderr = writer
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- command.Wait() }()
	t.Cleanup(func() { _ = command.Process.Kill() })
	testkit.Close(writer)
	testkit.WaitUntil(t, testkit.Timeout, "the router is healthy", func() bool {
		return testkit.IsHealthy(t, router.address, time.Second)
	})
	testkit.Close(reader)
	for range 5 { // each signal has a line logged
		if err := command.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		select {
		case err := <-ended:
			t.Fatalf("the router ended: %v", err)
		case <-time.After(50 * time.Millisecond):
		}
	}
	if !testkit.IsHealthy(t, router.address, time.Second) {
		t.Error("the router does not serve once nobody reads its log")
	}
}
