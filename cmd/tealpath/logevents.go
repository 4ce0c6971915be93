package main

import "tealpath/internal/logevent"

// LogEvents returns one zero value of each event that this package logs.
func LogEvents() []logevent.Event { return []logevent.Event{LogLinesLost{}} }

// LogLinesLost reports log lines that were dropped because the log is read too slowly. It is logged before the first
// line that is written after them.
type LogLinesLost struct {
	Lines int64 `log:"lines"` // number of dropped lines
}

// Kind returns the name, level and message that all events of this type have.
func (LogLinesLost) Kind() logevent.Kind {
	return logevent.Kind{Name: "log_lines_lost", Level: logevent.Warn, Message: "lines of the log were lost"}
}
