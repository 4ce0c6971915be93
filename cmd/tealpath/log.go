package main

import (
	"bytes"
	"io"
	"sync/atomic"
	"tealpath/internal/server"
	"time"

	"github.com/rs/zerolog"
)

const (
	// maxQueuedLines is how many lines may wait for whoever reads the log.
	maxQueuedLines = 1000

	// logCloseTimeout bounds how long the end of the process waits for them.
	logCloseTimeout = 50 * time.Millisecond
)

// logWriter writes lines in a goroutine of its own, so that whoever reads the log slowly does not hold up
// the router. A line beyond maxQueuedLines is counted and dropped. zerolog's diode does the same by polling
// each 0.1 s, and its Close waits for the next poll: with deadlines of 0.3 s the process would end after it
// was to be killed.
type logWriter struct {
	out     io.Writer
	lines   chan []byte
	lost    atomic.Int64 // lines that were dropped since the last LogLinesLost
	closing chan struct{}
	closed  chan struct{}
}

func newLogWriter(out io.Writer) *logWriter {
	w := &logWriter{
		out:     out,
		lines:   make(chan []byte, maxQueuedLines),
		closing: make(chan struct{}),
		closed:  make(chan struct{}),
	}
	go w.run()
	return w
}

// Write queues a line. It never waits and never fails.
func (w *logWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- bytes.Clone(line):
	default:
		w.lost.Add(1)
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
	if lost := w.lost.Swap(0); lost > 0 {
		server.WriteEvent(zerolog.New(w.out), LogLinesLost{Lines: lost})
	}
	_, _ = w.out.Write(line) // there is nowhere else to report that the log can't be written
}

// Close writes what is queued, for logCloseTimeout at most.
func (w *logWriter) Close() {
	close(w.closing)
	select {
	case <-w.closed:
	case <-time.After(logCloseTimeout):
	}
}
