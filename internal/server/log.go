package server

import (
	"time"

	"github.com/rs/zerolog"

	"tealpath/internal/logevent"
)

// eventKey is the key under which each line has the name of its event.
const eventKey = "event"

// writeEvent writes an event as one line: its level, its name under eventKey, its fields, then its message.
func writeEvent(logger zerolog.Logger, event logevent.Event) {
	kind := event.Kind()
	line := logger.WithLevel(zerologLevel(kind.Level)).Str(eventKey, kind.Name)
	for _, field := range logevent.Fields(event) {
		line = appendField(line, field)
	}
	line.Msg(kind.Message)
}

func zerologLevel(level logevent.Level) zerolog.Level {
	switch level {
	case logevent.Warn:
		return zerolog.WarnLevel
	case logevent.Error:
		return zerolog.ErrorLevel
	}
	return zerolog.InfoLevel
}

// appendField adds one field. A duration becomes milliseconds.
func appendField(line *zerolog.Event, field logevent.Field) *zerolog.Event {
	switch value := field.Value.(type) {
	case time.Duration:
		return line.Float64(field.Name, float64(value)/float64(time.Millisecond))
	case error:
		return line.Str(field.Name, value.Error())
	}
	return line.Interface(field.Name, field.Value)
}
