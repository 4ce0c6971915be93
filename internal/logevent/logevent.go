// Package logevent defines the log's events: one small typed value for each kind of line. Modules without input
// and output return them as they return any other effect; the server renders them as JSON, the simulator's
// adapter as text.
package logevent

import (
	"fmt"
	"reflect"
	"strings"
)

// Level says how urgent an event is.
type Level int8

// The levels of events.
const (
	Info  Level = iota // a change that needs nobody
	Warn               // service may be worse until it is over
	Error              // something has failed that an operator has to look at
)

// String returns the level as the log has it.
func (l Level) String() string {
	switch l {
	case Warn:
		return "warn"
	case Error:
		return "error"
	}
	return "info"
}

// Kind is what all events of one type have in common.
type Kind struct {
	Name    string // stable, for scripts: words in lower case with underscores between them
	Level   Level
	Message string // the same in words, for people; it has no values in it
}

// Event is one line of the log. Its exported fields that have a tag `log:"name"` are the line's fields. With
// `log:"name,omitempty"` a zero value is left out. Durations are rendered in milliseconds, under names that end
// in _ms.
type Event interface {
	Kind() Kind
}

// Field is one value of an event.
type Field struct {
	Name  string
	Value any
}

const (
	fieldTag  = "log"
	omitEmpty = "omitempty"
)

// Fields returns the fields of an event that are rendered, in the order of its type.
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

// FieldNames returns the names of all fields that events of this type can have.
func FieldNames(event Event) []string {
	kind := reflect.Indirect(reflect.ValueOf(event)).Type()
	if kind.Kind() != reflect.Struct {
		return nil
	}
	var names []string
	for i := range kind.NumField() {
		if name, _, _ := strings.Cut(kind.Field(i).Tag.Get(fieldTag), ","); name != "" {
			names = append(names, name)
		}
	}
	return names
}

// Text renders an event as one line of text: its message, then its fields as name=value.
func Text(event Event) string {
	var text strings.Builder
	text.WriteString(event.Kind().Message)
	for _, field := range Fields(event) {
		fmt.Fprintf(&text, " %s=%v", field.Name, field.Value)
	}
	return text.String()
}
