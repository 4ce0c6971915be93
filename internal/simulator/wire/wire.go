// Package wire reads and writes the line-based protocol of the operators' simulator. A line is a name and its
// values, separated by single spaces. A dash stands for an absent value. Times are decimal seconds.
package wire

import "fmt"

// absent is written on the wire in place of an absent value.
const absent = "-"

// Batch contains all events of one moment in simulated time.
type Batch struct {
	Now    int64 // simulated time in ns
	Number string
	Events []Event
}

// Event is one line of a batch. The event of an endpoint list contains the ITEM lines that follow it.
type Event struct {
	Name   string
	Fields []string // the values after the name
	Items  []Event  // the ITEM lines of an endpoint list
	Line   string   // the complete line
}

// LineError reports a line that violates the protocol.
type LineError struct {
	Batch  string // number of the current batch; between two batches, of the previous one
	Line   string
	Reason string
}

func (e *LineError) Error() string {
	return fmt.Sprintf("batch %s: %s, in line %q", e.Batch, e.Reason, e.Line)
}

// ValueError reports a value of a line that is not of the expected type.
type ValueError struct {
	Position int    // position of the value, counted from 1 after the name of the line
	Value    string // the value as written in the line
	Want     string // the expected type
}

func (e *ValueError) Error() string {
	return fmt.Sprintf("value %d is %q, want %s", e.Position, e.Value, e.Want)
}
