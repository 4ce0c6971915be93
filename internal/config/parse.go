package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strconv"

	"tealpath/control"

	"github.com/cespare/xxhash/v2"
)

// bytesPerSecondSetting is the key under which control.DecodeSettings expects the file's flow_bytes_per_s.
const bytesPerSecondSetting = "answer.bytesPerS"

// fileContent is the JSON object in the configuration file.
type fileContent struct {
	Name, Listen, Seed, Journal string
	Limits                      struct {
		Cores    float64
		MemoryMB int64 `json:"memory_mb"`
		Sockets  int64
	}
	FlowBytesPerSecond float64 `json:"flow_bytes_per_s"`
	Known, Settings    json.RawMessage
}

// Parse decodes a configuration file. name is the router's name and listen its address for clients; if they are not
// empty, they take precedence over those of the file.
func Parse(raw []byte, name, listen string) (*Config, error) {
	var parsed fileContent
	if err := json.Unmarshal(raw, &parsed); err != nil {
		return nil, withLine(raw, err)
	}
	if name != "" {
		parsed.Name = name
	}
	if listen != "" {
		parsed.Listen = listen
	}
	return parsed.config()
}

// config checks the file's content and returns the configuration.
func (f *fileContent) config() (*Config, error) {
	if err := checkAddress("listen", f.Listen); err != nil {
		return nil, err
	}
	if err := checkAddress("journal", f.Journal); err != nil {
		return nil, err
	}
	if f.Limits.Cores < 0 || f.Limits.MemoryMB < 0 || f.Limits.Sockets < 0 {
		return nil, fmt.Errorf("%w: cores %g, memory_mb %d, sockets %d",
			ErrNegativeLimits, f.Limits.Cores, f.Limits.MemoryMB, f.Limits.Sockets)
	}
	seed, err := parseSeed(f.Seed)
	if err != nil {
		return nil, err
	}
	rawSettings, err := f.rawSettings()
	if err != nil {
		return nil, err
	}
	settings, settingsError := control.DecodeSettings(rawSettings)
	return &Config{
		Name:             f.Name,
		Listen:           f.Listen,
		DiscoveryAddress: f.Journal,
		Seed:             seed,
		Cores:            f.Limits.Cores,
		MemoryMB:         f.Limits.MemoryMB,
		MaxSockets:       f.Limits.Sockets,
		KnownEvents:      f.Known,
		Settings:         settings,
		SettingsError:    settingsError,
		SettingsDigest:   settingsDigest(rawSettings),
		rawSettings:      rawSettings,
	}, nil
}

// rawSettings returns the settings for control.DecodeSettings. They include the rate of responses, which is not among
// the settings in the file.
func (f *fileContent) rawSettings() (control.RawSettings, error) {
	if len(f.Settings) == 0 {
		return nil, &MissingError{Field: "settings"}
	}
	settings, err := ParseSettings(f.Settings)
	if err != nil {
		return nil, err
	}
	if f.FlowBytesPerSecond > 0 {
		settings[bytesPerSecondSetting] = f.FlowBytesPerSecond
	}
	return settings, nil
}

// settingsDigest hashes settings as fmt prints them, sorted by key. Stored snapshots have the digest, so they would
// become unusable if it changed for the same settings.
func settingsDigest(settings control.RawSettings) uint64 {
	return xxhash.Sum64String(fmt.Sprint(settings))
}

// checkAddress checks that an address is HOST:PORT. field is its key in the file.
func checkAddress(field, address string) error {
	if address == "" {
		return &MissingError{Field: field}
	}
	if _, _, err := net.SplitHostPort(address); err != nil {
		return fmt.Errorf("%s: %w", field, err)
	}
	return nil
}

// parseSeed parses a hexadecimal seed. An empty text gives 0.
func parseSeed(text string) (uint64, error) {
	if text == "" {
		return 0, nil
	}
	seed, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return 0, &SeedError{Seed: text}
	}
	return seed, nil
}

// withLine returns an error of the JSON decoder as a *LineError if it has an offset, otherwise unchanged.
func withLine(raw []byte, err error) error {
	var syntaxError *json.SyntaxError
	var typeError *json.UnmarshalTypeError
	var offset int64
	switch {
	case errors.As(err, &syntaxError):
		offset = syntaxError.Offset
	case errors.As(err, &typeError):
		offset = typeError.Offset
	default:
		return err
	}
	if offset < 0 || offset > int64(len(raw)) {
		return err
	}
	line := 1 + bytes.Count(raw[:offset], []byte("\n"))
	return &LineError{Line: line, Err: err}
}
