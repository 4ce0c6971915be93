package main

import (
	"bytes"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// logLines is how many lines may wait for whoever reads the log.
	logLines = 1000

	// logCloseTimeout bounds how long the end of the process waits for them.
	logCloseTimeout = 50 * time.Millisecond
)

// logWriter writes lines in a goroutine of its own, so that whoever reads the log slowly does not hold up the router. A line
// that finds no room is counted and left out. zerolog's diode does the same by polling each 0.1 s, and its Close waits for the
// next poll: with deadlines of 0.3 s the process ended after it was to be killed.
type logWriter struct {
	out     io.Writer
	lines   chan []byte
	missed  atomic.Int64
	closing chan struct{}
	closed  chan struct{}
}

func newLogWriter(out io.Writer) *logWriter {
	w := &logWriter{out: out, lines: make(chan []byte, logLines), closing: make(chan struct{}), closed: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a line. It never waits and never fails.
func (w *logWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- bytes.Clone(line):
	default:
		w.missed.Add(1)
	}
	return len(line), nil
}

func (w *logWriter) run() {
	defer close(w.closed)
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		case <-w.closing:
			for len(w.lines) > 0 {
				w.write(<-w.lines)
			}
			return
		}
	}
}

func (w *logWriter) write(line []byte) {
	if missed := w.missed.Swap(0); missed > 0 {
		fmt.Fprintf(w.out, "{\"message\":\"%d lines of the log were lost\"}\n", missed)
	}
	w.out.Write(line)
}

// Close writes what is queued, for so long at most.
func (w *logWriter) Close() {
	close(w.closing)
	select {
	case <-w.closed:
	case <-time.After(logCloseTimeout):
	}
}
