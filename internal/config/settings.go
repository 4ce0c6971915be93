package config

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"tealpath/control"
)

// kind is the form in which a setting stands in the file. Lists have elements of one kind.
type kind int

const (
	seconds kind = iota // a number, decoded as int64 nanoseconds
	number              // float64
	integer             // a number, decoded as int64
	flag                // bool
	text                // string
	word                // a string that is translated
)

// nanosecondsPerSecond converts the file's unit of time to that of package control.
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

// decode finds a setting in its group, or collects it from a group that is a list of objects. It is nil if
// absent.
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

// decode decodes one value. An absent one, which is nil, is the zero value of its kind.
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

// as returns a value as a type, and a *ValueError if it is of another one.
func as[T any](value any) (typed T, err error) {
	typed, ok := value.(T)
	if !ok && value != nil {
		return typed, &ValueError{Value: value}
	}
	return typed, nil
}

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

// decodeElements decodes a list of one kind, whose elements are decoded as T.
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
