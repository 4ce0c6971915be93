package operatorconfig

import (
	"errors"
	"fmt"

	"tealpath/internal/operatorconfig/sexpr"
)

// maxErrors limits how many errors of one file are reported.
const maxErrors = 20

// Error describes one error in an operator's file. Key, Value and Allowed are set if a single value is invalid;
// Reason contains them too.
type Error struct {
	Position sexpr.Position
	Key      string // key of the list that has the value, such as lease
	Value    string // the value as written in the file
	Allowed  string // description of the values that the key allows
	Reason   string // the complete message for the operator, without the position
}

func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s", e.Position, e.Reason)
}

// errorList collects the errors of a file, so that an operator sees all of them at once.
type errorList []error

func (l *errorList) add(err *Error) {
	if len(*l) < maxErrors {
		*l = append(*l, err)
	}
}

// addf adds an error with a formatted reason. It is used where no single value is invalid.
func (l *errorList) addf(position sexpr.Position, format string, args ...any) {
	l.add(&Error{Position: position, Reason: fmt.Sprintf(format, args...)})
}

// addWrongKind adds an error for a value that cannot be parsed as the kind of value that its key requires.
func (l *errorList) addWrongKind(key string, value *sexpr.Node, kind string) {
	l.add(&Error{
		Position: value.Position,
		Key:      key,
		Value:    value.String(),
		Allowed:  kind,
		Reason:   fmt.Sprintf("%s: %s is invalid, want %s", key, value, kind),
	})
}

// addOutOfRange adds an error for a value below the minimum or above the maximum of its key.
func (l *errorList) addOutOfRange(key string, value *sexpr.Node, minimum, maximum any) {
	allowed := fmt.Sprintf("%v to %v", minimum, maximum)
	l.add(&Error{
		Position: value.Position,
		Key:      key,
		Value:    value.String(),
		Allowed:  allowed,
		Reason:   fmt.Sprintf("%s: %s is out of range, want %s", key, value, allowed),
	})
}

// err returns all errors joined, or nil if there are none.
func (l errorList) err() error {
	return errors.Join(l...)
}
