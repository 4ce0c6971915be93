// Package simulator runs routers on the wire of the operators' simulator: it decodes events into calls of the
// control package, keeps the timers and the requests in flight, and encodes what the calls return. It decides
// nothing.
package simulator

import (
	"errors"
	"fmt"
	"io"
	"strings"

	"tealpath/internal/simulator/wire"
)

// Host is all instances of one process.
type Host struct {
	out       *wire.Writer
	instances map[string]*instance
}

// Run answers batches of events from in until it ends. The error names the batch and the line that the wire
// does not allow.
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
		if err := h.handleRecovered(batch.Now, event); err != nil {
			return &wire.LineError{Batch: batch.Number, Line: event.Line, Reason: err.Error()}
		}
	}
	return h.out.Ready(batch.Number)
}

// handleRecovered handles an event. A panic of the control package ends the instance on the wire, not the
// process.
func (h *Host) handleRecovered(now int64, event wire.Event) (err error) {
	defer func() {
		if fault := recover(); fault != nil {
			h.bailOut(event.Fields[0], fmt.Sprint(fault))
		}
	}()
	return h.handle(now, event)
}

// bailOut says that an instance can't go on, and why.
func (h *Host) bailOut(name, reason string) {
	h.out.Line(commandBailOut, name, strings.ReplaceAll(reason, "\n", " "))
}
