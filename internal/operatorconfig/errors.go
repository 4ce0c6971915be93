package operatorconfig

import (
	"errors"
	"fmt"

	"tealpath/internal/operatorconfig/sexpr"
)

// maxErrors bounds how many errors of one file are reported.
const maxErrors = 20

// Error is a fault of a file. Key, Value and Allowed are set if a single value is at fault; Reason has them too.
type Error struct {
	Position sexpr.Position
	Key      string // of the value, such as lease
	Value    string // as it is in the file
	Allowed  string // description of the values that are allowed
	Reason   string // for the operator
}

func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s", e.Position, e.Reason)
}

// errorList collects the faults of a file, so that an operator sees all of them at once.
type errorList []error

func (l *errorList) add(err *Error) {
	if len(*l) < maxErrors {
		*l = append(*l, err)
	}
}

// addf adds an error that does not concern a single value.
func (l *errorList) addf(position sexpr.Position, format string, args ...any) {
	l.add(&Error{Position: position, Reason: fmt.Sprintf(format, args...)})
}

// addWrongKind adds the error of a value that is not of the kind that its key takes.
func (l *errorList) addWrongKind(key string, value *sexpr.Node, kind string) {
	l.add(&Error{
		Position: value.Position,
		Key:      key,
		Value:    value.String(),
		Allowed:  kind,
		Reason:   fmt.Sprintf("%s is no %s", value, kind),
	})
}

// addOutOfRange adds the error of a value that is below the minimum or above the maximum of its key.
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

// err returns all errors joined, or nil if there are none.
func (l errorList) err() error {
	return errors.Join(l...)
}
