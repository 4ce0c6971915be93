package config

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math"
	"strings"

	"tealpath/control"
)

// valueType is the type of a setting's value in the file. If the value is a list, it is the type of its elements.
type valueType int

// The types of values, with the Go types to which they are decoded.
const (
	seconds        valueType = iota // a number of seconds, decoded as int64 nanoseconds
	number                          // a number, decoded as float64
	integer                         // a number, decoded as int64
	flag                            // true or false, decoded as bool
	text                            // a string, decoded without a change
	translatedWord                  // a string, translated by the map words
)

// nanosecondsPerSecond converts durations in seconds, as in the file, to ns, as package control has them.
const nanosecondsPerSecond = 1e9

// ParseSettings decodes the settings of a configuration file and returns them under the keys of
// control.DecodeSettings. It ignores unknown keys, and the result lacks settings that the file lacks. If a setting
// can't be decoded, the error is a *SettingError.
func ParseSettings(raw []byte) (control.RawSettings, error) {
	var groups map[string]any
	if err := json.Unmarshal(raw, &groups); err != nil {
		return nil, fmt.Errorf("settings: %w: %w", ErrNotAnObject, err)
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

// decode returns the setting's value in its group, nil if it is absent. If the group is a list of objects, the result
// is a list with the value in each object.
func (s setting) decode(group any) (any, error) {
	switch group := group.(type) {
	case nil:
		return nil, nil
	case map[string]any:
		switch value := group[s.key].(type) {
		case nil:
			return nil, nil
		case []any:
			return s.valueType.decodeList(value)
		default:
			return s.valueType.decode(value)
		}
	case []any:
		values, err := valuesOfKey(group, s.key)
		if err != nil {
			return nil, err
		}
		return s.valueType.decodeList(values)
	}
	return nil, fmt.Errorf("%s is %w: %#v", s.group, ErrNotAnObject, group)
}

// valuesOfKey returns the values of one key in a list of objects, nil for an object without the key.
func valuesOfKey(objects []any, key string) ([]any, error) {
	values := make([]any, len(objects))
	for i, item := range objects {
		object, ok := item.(map[string]any)
		if !ok {
			return nil, fmt.Errorf("element %d is %w: %#v", i, ErrNotAnObject, item)
		}
		values[i] = object[key]
	}
	return values, nil
}

// decode decodes one value. A nil value, which stands for an absent one, gives the zero value of the Go type.
func (t valueType) decode(value any) (any, error) {
	switch t {
	case seconds:
		duration, err := asType[float64](value)
		return int64(math.Round(duration * nanosecondsPerSecond)), err
	case number:
		return asType[float64](value)
	case integer:
		count, err := asType[float64](value)
		return int64(count), err
	case flag:
		return asType[bool](value)
	case translatedWord:
		fileWord, err := asType[string](value)
		return cmp.Or(words[fileWord], fileWord), err
	}
	return asType[string](value)
}

// asType returns a value as a T, the zero value if it is nil, and a *ValueError if it has another type.
func asType[T any](value any) (typed T, err error) {
	typed, ok := value.(T)
	if !ok && value != nil {
		return typed, &ValueError{Value: value, Want: typed}
	}
	return typed, nil
}

// decodeList decodes values of type t to a slice of the Go type that control.DecodeSettings expects for them.
func (t valueType) decodeList(values []any) (any, error) {
	switch t {
	case seconds, integer:
		return decodeElements[int64](t, values)
	case number:
		return decodeElements[float64](t, values)
	case flag:
		return decodeElements[bool](t, values)
	}
	return decodeElements[string](t, values)
}

// decodeElements decodes each value of a list and returns them as a []T, where T is the Go type of valueType t.
func decodeElements[T any](t valueType, values []any) (any, error) {
	decoded := make([]T, len(values))
	for i, value := range values {
		element, err := t.decode(value)
		if err != nil {
			return nil, fmt.Errorf("element %d: %w", i, err)
		}
		decoded[i] = element.(T)
	}
	return decoded, nil
}
