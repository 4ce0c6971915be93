package main

import "tealpath/internal/logevent"

// LogEvents returns one zero value of each event that this command logs itself.
func LogEvents() []logevent.Event { return []logevent.Event{LogLinesLost{}} }

// LogLinesLost is logged before the next line after lines were dropped because the log is read too slowly.
type LogLinesLost struct {
	Lines int64 `log:"lines"` // number of lines dropped
}

// Kind returns the event's name and level.
func (LogLinesLost) Kind() logevent.Kind {
	return logevent.Kind{Name: "log_lines_lost", Level: logevent.Warn, Message: "lines of the log were lost"}
}
