package config

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math"
	"strings"

	"tealpath/control"
)

// kind is the type of a setting's value in the file or, of a list, of its elements.
type kind int

// The kinds, with the types that they are decoded to.
const (
	seconds kind = iota // a number, decoded as int64 nanoseconds
	number              // float64
	integer             // a number, decoded as int64
	flag                // bool
	text                // string
	word                // string, translated by words
)

// nanosecondsPerSecond converts the file's unit of durations to that of package control.
const nanosecondsPerSecond = 1e9

// ParseSettings reads the settings of a configuration file and returns them under the keys that
// control.DecodeSettings takes. Unknown keys are skipped, absent ones are left out. A setting that can't be
// read is a *SettingError.
func ParseSettings(raw []byte) (control.RawSettings, error) {
	var groups map[string]any
	if err := json.Unmarshal(raw, &groups); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	decoded := control.RawSettings{}
	for _, setting := range settings {
		group := any(groups)
		if setting.group != "" {
			group = groups[setting.group]
		}
		value, err := setting.decode(group)
		if err != nil {
			return nil, &SettingError{Key: strings.TrimPrefix(setting.group+"."+setting.key, "."), Err: err}
		}
		if value != nil {
			decoded[setting.name] = value
		}
	}
	return decoded, nil
}

// decode returns the setting's value in its group, nil if it is absent. If the group is a list of objects, the
// value is the list of the objects' values.
func (s setting) decode(group any) (any, error) {
	switch group := group.(type) {
	case nil:
		return nil, nil
	case map[string]any:
		switch value := group[s.key].(type) {
		case nil:
			return nil, nil
		case []any:
			return s.kind.decodeList(value)
		default:
			return s.kind.decode(value)
		}
	case []any:
		values, err := column(group, s.key)
		if err != nil {
			return nil, err
		}
		return s.kind.decodeList(values)
	}
	return nil, ErrNotAnObject
}

// column returns the values of one key in a list of objects, nil where it is absent.
func column(objects []any, key string) ([]any, error) {
	values := make([]any, len(objects))
	for i, item := range objects {
		object, ok := item.(map[string]any)
		if !ok {
			return nil, ErrNotAnObject
		}
		values[i] = object[key]
	}
	return values, nil
}

// decode decodes one value. nil, for an absent one, gives the zero value of the kind's type.
func (k kind) decode(value any) (any, error) {
	switch k {
	case seconds:
		duration, err := as[float64](value)
		return int64(math.Round(duration * nanosecondsPerSecond)), err
	case number:
		return as[float64](value)
	case integer:
		count, err := as[float64](value)
		return int64(count), err
	case flag:
		return as[bool](value)
	case word:
		wireWord, err := as[string](value)
		return cmp.Or(words[wireWord], wireWord), err
	}
	return as[string](value)
}

// as returns a value as a T, the zero value if it is nil, and a *ValueError if it is of another type.
func as[T any](value any) (typed T, err error) {
	typed, ok := value.(T)
	if !ok && value != nil {
		return typed, &ValueError{Value: value}
	}
	return typed, nil
}

// decodeList decodes a list of values of the kind.
func (k kind) decodeList(values []any) (any, error) {
	switch k {
	case seconds, integer:
		return decodeElements[int64](k, values)
	case number:
		return decodeElements[float64](k, values)
	case flag:
		return decodeElements[bool](k, values)
	}
	return decodeElements[string](k, values)
}

// decodeElements decodes a list of values of a kind whose type is T.
func decodeElements[T any](k kind, values []any) (any, error) {
	decoded := make([]T, len(values))
	for i, value := range values {
		element, err := k.decode(value)
		if err != nil {
			return nil, err
		}
		decoded[i] = element.(T)
	}
	return decoded, nil
}
