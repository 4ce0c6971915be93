// Package wire reads and writes the line-based wire of the operators' simulator. Values are separated by single
// spaces; an absent one is a dash; times are decimal seconds.
package wire

import "fmt"

// absent stands in place of a value that is not there.
const absent = "-"

// Batch is all that arrived at one moment of the clock.
type Batch struct {
	Now    int64 // ns
	Number string
	Events []Event
}

// Event is one line of a batch. An endpoint list carries its ITEM lines with it.
type Event struct {
	Name   string
	Fields []string
	Items  []Event
	Line   string
}

// LineError is a line that the wire does not allow.
type LineError struct {
	Batch  string // number of the batch, or of the last one read
	Line   string
	Reason string
}

func (e *LineError) Error() string {
	return fmt.Sprintf("batch %s: %s: %q", e.Batch, e.Reason, e.Line)
}

// ValueError is a value of an event that is not of its type.
type ValueError struct {
	Position int    // counted from 1
	Want     string // what it has to be
}

func (e *ValueError) Error() string {
	return fmt.Sprintf("value %d is %s", e.Position, e.Want)
}
