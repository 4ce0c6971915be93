package config

import (
	"errors"
	"fmt"
)

// Errors that callers compare with errors.Is, as they carry no details.
var (
	ErrNoFile         = errors.New("LB_CONFIG is not set: it must be the path of the configuration file")
	ErrNegativeLimits = errors.New("limits must not be negative")
	ErrNotAnObject    = errors.New("not a JSON object")
)

// MissingError reports that a required field is missing.
type MissingError struct {
	Field string // key of the missing field in the file
}

func (e *MissingError) Error() string { return e.Field + " is missing" }

// SeedError reports a seed that is not a hexadecimal number of at most 64 bits.
type SeedError struct {
	Seed string
}

func (e *SeedError) Error() string {
	return fmt.Sprintf("seed %q is not a hexadecimal number of at most 64 bits", e.Seed)
}

// LineError is an error of the JSON decoder with the line at which it occurred.
type LineError struct {
	Line int // line of the file, counted from 1
	Err  error
}

func (e *LineError) Error() string { return fmt.Sprintf("line %d: %v", e.Line, e.Err) }

// Unwrap returns the decoder's error.
func (e *LineError) Unwrap() error { return e.Err }

// OtherRouterError reports a configuration file that can't be reloaded because it is another router's.
type OtherRouterError struct {
	Path   string
	Router string // name of the router in the file
	Own    string // name of the running router
}

func (e *OtherRouterError) Error() string {
	return fmt.Sprintf("configuration %s is for router %q, this is router %q", e.Path, e.Router, e.Own)
}

// SettingError reports a setting that can't be used.
type SettingError struct {
	Key string // key of the setting in the file, such as limits.cancel
	Err error  // wraps a *ValueError or ErrNotAnObject
}

func (e *SettingError) Error() string { return fmt.Sprintf("settings: %s: %v", e.Key, e.Err) }

// Unwrap returns Err, which says why the setting can't be used.
func (e *SettingError) Unwrap() error { return e.Err }

// ValueError reports a value of the wrong type.
type ValueError struct {
	Value any // the value in the file, as encoding/json decodes it
	Want  any // an example of a value of the right type
}

func (e *ValueError) Error() string {
	return fmt.Sprintf("unexpected value %#v, want one of type %T", e.Value, e.Want)
}
