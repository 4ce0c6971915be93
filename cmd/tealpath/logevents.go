package main

import "tealpath/internal/logevent"

// LogEvents returns one zero value of each event that the command logs itself.
func LogEvents() []logevent.Event { return []logevent.Event{LogLinesLost{}} }

// LogLinesLost reports that whoever reads the log was too slow for some of it.
type LogLinesLost struct {
	Lines int64 `log:"lines"`
}

// Kind returns the event's name and level.
func (LogLinesLost) Kind() logevent.Kind {
	return logevent.Kind{Name: "log_lines_lost", Level: logevent.Warn, Message: "lines of the log were lost"}
}
