package config

import (
	"errors"
	"fmt"
)

// Errors of a configuration.
var (
	ErrNoFile         = errors.New("LB_CONFIG is not set: it names the configuration file")
	ErrNegativeLimits = errors.New("limits: negative")
	ErrNotAnObject    = errors.New("not an object")
)

// MissingError is a field that a configuration has to have.
type MissingError struct {
	Field string
}

func (e *MissingError) Error() string { return e.Field + " is missing" }

// SeedError is a seed that is no hexadecimal number of 64 bits.
type SeedError struct {
	Seed string
}

func (e *SeedError) Error() string {
	return fmt.Sprintf("seed %q is not a hexadecimal number of 64 bits", e.Seed)
}

// LineError is an error of the JSON decoder, with its line.
type LineError struct {
	Line int // from 1
	Err  error
}

func (e *LineError) Error() string { return fmt.Sprintf("line %d: %v", e.Line, e.Err) }

// Unwrap returns the decoder's error.
func (e *LineError) Unwrap() error { return e.Err }

// OtherRouterError is a configuration that was to be loaded anew, and is another router's.
type OtherRouterError struct {
	Path   string
	Router string
}

func (e *OtherRouterError) Error() string {
	return fmt.Sprintf("configuration %s: name: it is for router %q", e.Path, e.Router)
}

// SettingError is a setting that can't be used: a *ValueError, or ErrNotAnObject.
type SettingError struct {
	Key string // in the file, with that of its group
	Err error
}

func (e *SettingError) Error() string { return fmt.Sprintf("settings: %s: %v", e.Key, e.Err) }

// Unwrap returns what is wrong with the setting.
func (e *SettingError) Unwrap() error { return e.Err }

// ValueError is a setting's value of a wrong type.
type ValueError struct {
	Value any // as encoding/json decodes it
}

func (e *ValueError) Error() string { return fmt.Sprintf("unexpected value %#v", e.Value) }
