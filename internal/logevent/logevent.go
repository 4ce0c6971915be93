// Package logevent defines the interface of log events: each kind of log line is a small struct type. Packages define
// their events in a file logevents.go. The server writes events as JSON (server.WriteEvent), the adapter to the
// simulator (internal/simulator) writes them as text (Text).
package logevent

import (
	"fmt"
	"reflect"
	"strings"
)

// Level is the urgency of an event.
type Level int8

// Levels, from the least to the most urgent.
const (
	Info  Level = iota // a change that needs no action
	Warn               // a fault that may degrade the service while it lasts
	Error              // a failure that an operator has to look at
)

// String returns the level's name in the log.
func (l Level) String() string {
	switch l {
	case Warn:
		return "warn"
	case Error:
		return "error"
	}
	return "info"
}

// Kind has the properties that all events of one type have in common.
type Kind struct {
	Name    string // name by which scripts find the event, so it never changes; in snake_case
	Level   Level
	Message string // fixed text for people, without values
}

// Event is one line of the log: a struct whose exported fields with a tag `log:"name"` are the line's fields. With
// `log:"name,omitempty"` a zero value is left out. A time.Duration is written in milliseconds, so the name in its tag
// ends in _ms.
type Event interface {
	// Kind returns the event's name, level and message.
	Kind() Kind
}

// Field is one named value of an event.
type Field struct {
	Name  string
	Value any
}

const (
	fieldTag  = "log"
	omitEmpty = "omitempty"
)

// Fields returns the fields of an event, in the order of its type. Fields with omitempty and a zero value are left
// out.
func Fields(event Event) []Field {
	value := reflect.Indirect(reflect.ValueOf(event))
	if value.Kind() != reflect.Struct {
		return nil
	}
	var fields []Field
	for i := range value.NumField() {
		name, option, _ := strings.Cut(value.Type().Field(i).Tag.Get(fieldTag), ",")
		if name == "" || option == omitEmpty && value.Field(i).IsZero() {
			continue
		}
		fields = append(fields, Field{Name: name, Value: value.Field(i).Interface()})
	}
	return fields
}

// FieldNames returns the names of all fields that an event of this type may have, in the order of its type.
func FieldNames(event Event) []string {
	eventType := reflect.Indirect(reflect.ValueOf(event)).Type()
	if eventType.Kind() != reflect.Struct {
		return nil
	}
	var names []string
	for i := range eventType.NumField() {
		if name, _, _ := strings.Cut(eventType.Field(i).Tag.Get(fieldTag), ","); name != "" {
			names = append(names, name)
		}
	}
	return names
}

// Text returns an event as one line of text: its message, then its fields as name=value.
func Text(event Event) string {
	var text strings.Builder
	text.WriteString(event.Kind().Message)
	for _, field := range Fields(event) {
		fmt.Fprintf(&text, " %s=%v", field.Name, field.Value)
	}
	return text.String()
}
