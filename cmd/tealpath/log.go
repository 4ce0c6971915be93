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
	// maxQueuedLines is how many lines may wait to be written.
	maxQueuedLines = 1000

	// logCloseTimeout is how long Close waits for queued lines to be written.
	logCloseTimeout = 50 * time.Millisecond
)

// logWriter writes log lines in a separate goroutine, so that a slow reader of the log does not block the router. If
// the queue is full, lines are dropped and counted. zerolog's diode is not used, because its Close may wait 0.1 s for
// the next poll: with deadlines of 0.3 s, a process that shuts down would be killed during this wait.
type logWriter struct {
	out     io.Writer
	lines   chan []byte
	lost    atomic.Int64  // number of lines dropped or not written since the last LogLinesLost event
	closing chan struct{} // closed by Close
	closed  chan struct{} // closed when the goroutine that writes lines has ended
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

// Write queues a copy of a line, or drops the line if the queue is full. It never blocks and never returns an error.
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

// write writes a line. If lines have been lost, it first writes a LogLinesLost event. A line that can't be written, for
// example because nobody reads the log any more, is lost and counted: there is no other place to report it.
func (w *logWriter) write(line []byte) {
	if lost := w.lost.Load(); lost > 0 && w.writeLost(lost) {
		w.lost.Add(-lost)
	}
	if _, err := w.out.Write(line); err != nil {
		w.lost.Add(1)
	}
}

// writeLost writes a LogLinesLost event and reports whether that succeeded.
func (w *logWriter) writeLost(lost int64) bool {
	var event bytes.Buffer
	server.WriteEvent(zerolog.New(&event), LogLinesLost{Lines: lost})
	_, err := w.out.Write(event.Bytes())
	return err == nil
}

// Close waits until the queued lines are written, but at most for logCloseTimeout.
func (w *logWriter) Close() {
	close(w.closing)
	select {
	case <-w.closed:
	case <-time.After(logCloseTimeout):
	}
}
