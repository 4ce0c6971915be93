package operatorconfig

import (
	"errors"
	"fmt"
	"tealpath/internal/operatorconfig/sexpr"
)

// maxErrors bounds how many errors of one file are reported.
const maxErrors = 20

// Error is something wrong with a file: where it is, and the reason in words. Key, Value and Allowed say the
// same in parts where a value is at fault.
type Error struct {
	Position sexpr.Position
	Key      string // the list in which the value stands, such as lease
	Value    string // as the file has it
	Allowed  string // what may stand in its place
	Reason   string
}

func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s", e.Position, e.Reason)
}

// errorList gathers what is wrong with a file, so that an operator is told all of it at once.
type errorList []error

func (l *errorList) add(err *Error) {
	if len(*l) < maxErrors {
		*l = append(*l, err)
	}
}

// addf adds an error that no single value is at fault for.
func (l *errorList) addf(position sexpr.Position, format string, args ...any) {
	l.add(&Error{Position: position, Reason: fmt.Sprintf(format, args...)})
}

// addWrongKind adds that a value is not of the kind that its key takes.
func (l *errorList) addWrongKind(key string, value *sexpr.Node, kind string) {
	l.add(&Error{
		Position: value.Position,
		Key:      key,
		Value:    value.String(),
		Allowed:  kind,
		Reason:   fmt.Sprintf("%s is no %s", value, kind),
	})
}

// addOutOfRange adds that a value is below the least or above the greatest that its key takes.
func (l *errorList) addOutOfRange(key string, value *sexpr.Node, minimum, maximum any) {
	allowed := fmt.Sprintf("%v to %v", minimum, maximum)
	l.add(&Error{
		Position: value.Position,
		Key:      key,
		Value:    value.String(),
		Allowed:  allowed,
		Reason:   fmt.Sprintf("%s: %s can be", value, allowed),
	})
}

func (l errorList) err() error {
	return errors.Join(l...)
}
