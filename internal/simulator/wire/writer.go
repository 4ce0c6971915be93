package wire

import (
	"bytes"
	"io"
)

// lineReady ends a reply.
const lineReady = "READY"

// Writer writes replies. A reply is buffered until it is complete, so that an error leaves no half of one.
type Writer struct {
	out   io.Writer
	reply bytes.Buffer
}

// NewWriter returns a writer to out.
func NewWriter(out io.Writer) *Writer {
	return &Writer{out: out}
}

// Line adds one command: its name and its values.
func (w *Writer) Line(name string, values ...string) {
	w.reply.WriteString(name)
	for _, value := range values {
		w.reply.WriteByte(' ')
		w.reply.WriteString(value)
	}
	w.reply.WriteByte('\n')
}

// Ready ends the reply to a batch and sends it.
func (w *Writer) Ready(batch string) error {
	w.Line(lineReady, batch)
	_, err := w.reply.WriteTo(w.out)
	return err
}
