package server

import (
	"time"

	"tealpath/internal/logevent"
	"tealpath/internal/router"

	"github.com/rs/zerolog"
)

const (
	// eventKey is the key of the event's name in each log line.
	eventKey = "event"

	// instanceKey is the key of the endpoint's name in a log line about one endpoint. The event itself has only the
	// endpoint's number (control.Endpoint.ID), under the key "endpoint".
	instanceKey = "instance"
)

// emit logs an event. It may be called by any goroutine.
func (s *Server) emit(event logevent.Event) { WriteEvent(s.logger, event) }

// emitRouterEvent logs an event of the reducer. If the event is about one endpoint, its name is added.
func (s *Server) emitRouterEvent(log router.Log) {
	logger := s.logger
	if log.Instance != "" {
		logger = logger.With().Str(instanceKey, log.Instance).Logger()
	}
	WriteEvent(logger, log.Event)
}

// WriteEvent writes an event as one line: its level, its name under eventKey, its fields, then its message.
func WriteEvent(logger zerolog.Logger, event logevent.Event) {
	kind := event.Kind()
	line := logger.WithLevel(zerologLevel(kind.Level)).Str(eventKey, kind.Name)
	for _, field := range logevent.Fields(event) {
		line = appendField(line, field)
	}
	line.Msg(kind.Message)
}

// zerologLevel converts a level to the type of package zerolog.
func zerologLevel(level logevent.Level) zerolog.Level {
	switch level {
	case logevent.Warn:
		return zerolog.WarnLevel
	case logevent.Error:
		return zerolog.ErrorLevel
	}
	return zerolog.InfoLevel
}

// appendField adds one field to a line. A time.Duration is written in milliseconds.
func appendField(line *zerolog.Event, field logevent.Field) *zerolog.Event {
	switch value := field.Value.(type) {
	case time.Duration:
		return line.Float64(field.Name, float64(value)/float64(time.Millisecond))
	case error:
		return line.Str(field.Name, value.Error())
	}
	return line.Interface(field.Name, field.Value)
}
