package wire

import (
	"bytes"
	"io"
)

// lineReady is the name of the last line of a reply.
const lineReady = "READY"

// Writer writes replies, each of them a list of commands. It buffers a reply until it is complete, so that no part
// of a reply is written if an event of the batch is invalid.
type Writer struct {
	out   io.Writer
	reply bytes.Buffer
}

// NewWriter returns a Writer that sends complete replies to the simulator through out.
func NewWriter(out io.Writer) *Writer {
	return &Writer{out: out}
}

// Line adds a command with its name and values to the reply.
func (w *Writer) Line(name string, values ...string) {
	w.reply.WriteString(name)
	for _, value := range values {
		w.reply.WriteByte(' ')
		w.reply.WriteString(value)
	}
	w.reply.WriteByte('\n')
}

// Ready completes the reply to the batch with a number and writes it.
func (w *Writer) Ready(batch string) error {
	w.Line(lineReady, batch)
	_, err := w.reply.WriteTo(w.out)
	return err
}
