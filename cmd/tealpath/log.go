package main

import (
	"bytes"
	"io"
	"sync/atomic"
	"time"

	"tealpath/internal/server"

	"github.com/rs/zerolog"
)

const (
	// maxQueuedLines bounds the lines that are queued to be written.
	maxQueuedLines = 1000

	// logCloseTimeout bounds how long the end of the process waits for queued lines.
	logCloseTimeout = 50 * time.Millisecond
)

// logWriter writes lines in a goroutine of its own, so that a slow reader of the log does not block the router.
// Lines beyond maxQueuedLines are dropped and counted. It is used instead of zerolog's diode, whose Close may wait
// 0.1 s for its next poll. With deadlines of 0.3 s a process that shuts down would be killed meanwhile.
type logWriter struct {
	out     io.Writer
	lines   chan []byte
	lost    atomic.Int64  // lines that were dropped since the last LogLinesLost
	closing chan struct{} // closed by Close
	closed  chan struct{} // closed when the goroutine has ended
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

// Write queues a copy of a line, or drops it if the queue is full. It never waits and never fails.
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

// write writes a line, after an event about lines that were dropped before it.
func (w *logWriter) write(line []byte) {
	if lost := w.lost.Swap(0); lost > 0 {
		server.WriteEvent(zerolog.New(w.out), LogLinesLost{Lines: lost})
	}
	_, _ = w.out.Write(line) // if the log can't be written there is nowhere to report it
}

// Close waits until the queued lines are written, for logCloseTimeout at most.
func (w *logWriter) Close() {
	close(w.closing)
	select {
	case <-w.closed:
	case <-time.After(logCloseTimeout):
	}
}
