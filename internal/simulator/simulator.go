// Package simulator connects routers to the operators' simulator. It decodes the simulator's events into calls of
// package control, keeps the timers and the requests in flight, and encodes the results of the calls as commands.
// All decisions are made by package control.
package simulator

import (
	"errors"
	"fmt"
	"io"
	"strings"

	"tealpath/internal/simulator/wire"
)

// Host runs the router instances of one process.
type Host struct {
	out       *wire.Writer
	instances map[string]*instance
}

// Run reads batches of events from in until its end, and writes the reply to each batch to out. It fails at the first
// invalid line, with a *wire.LineError that names the batch and the line, or if it can't read or write.
func Run(in io.Reader, out io.Writer) error {
	reader := wire.NewReader(in)
	h := &Host{out: wire.NewWriter(out), instances: map[string]*instance{}}
	for {
		batch, err := reader.Read()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := h.handleBatch(batch); err != nil {
			return err
		}
	}
}

func (h *Host) handleBatch(batch *wire.Batch) error {
	for _, event := range batch.Events {
		if err := h.handleWithRecover(batch.Now, event); err != nil {
			return &wire.LineError{Batch: batch.Number, Line: event.Line, Reason: err.Error()}
		}
	}
	return h.out.Ready(batch.Number)
}

// handleWithRecover handles an event. A panic is reported to the simulator as the failure of the event's instance
// and does not end the process.
func (h *Host) handleWithRecover(now int64, event wire.Event) (err error) {
	defer func() {
		if panicValue := recover(); panicValue != nil {
			h.bailOut(event.Fields[0], fmt.Sprint(panicValue))
		}
	}()
	return h.handle(now, event)
}

// bailOut reports that an instance can't continue, and the reason.
func (h *Host) bailOut(name, reason string) {
	h.out.Line(commandBailOut, name, strings.ReplaceAll(reason, "\n", " "))
}
