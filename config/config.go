// Package config reads what the platform tells a router when it starts: LB_NAME, LB_LISTEN, LB_CONFIG, and
// the JSON file that the last one names.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"reflect"
	"strconv"
	"strings"

	"tealpath/control"
)

// Config is one router's configuration.
type Config struct {
	Name             string
	Listen           string
	DiscoveryAddress string // address of the journal service
	Seed             uint64
	Cores            float64
	MemoryMB         int64
	MaxSockets       int64
	KnownEvents      json.RawMessage // the journal service's events up to the start
	Settings         control.Settings
}

// Load reads the configuration named by LB_CONFIG; LB_NAME and LB_LISTEN, where set, win over the file.
func Load(env func(string) string) (*Config, error) {
	path := env("LB_CONFIG")
	if path == "" {
		return nil, errors.New("LB_CONFIG is not set: it names the configuration file")
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	c, err := Parse(raw, env("LB_NAME"), env("LB_LISTEN"))
	if err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	return c, nil
}

// Reload loads the configuration anew for the router that runs with c. One for another router is an error.
func (c *Config) Reload(env func(string) string) (*Config, error) {
	next, err := Load(func(name string) string {
		if name == "LB_CONFIG" {
			return env(name)
		}
		return "" // the file's own words tell whose it is
	})
	if err != nil {
		return nil, err
	}
	if next.Name != c.Name {
		return nil, fmt.Errorf("configuration %s: name: it is for router %q", env("LB_CONFIG"), next.Name)
	}
	return next, nil
}

// RestartRequired names what of a newer configuration is in force only after a restart.
func (c *Config) RestartRequired(next *Config) string {
	var names []string
	for _, f := range []struct {
		name string
		same bool
	}{{"listen", c.Listen == next.Listen},
		{"limits", c.Cores == next.Cores && c.MemoryMB == next.MemoryMB && c.MaxSockets == next.MaxSockets},
		{"settings", reflect.DeepEqual(c.Settings, next.Settings)}} {
		if !f.same {
			names = append(names, f.name)
		}
	}
	return strings.Join(names, ", ")
}

// Parse decodes a configuration file; a name and an address that are not empty win over the file's.
func Parse(raw []byte, name, listen string) (*Config, error) {
	var file struct {
		Name, Listen, Seed, Journal string
		Limits                      struct {
			Cores   float64
			Memory  int64 `json:"memory_mb"`
			Sockets int64
		}
		Flow            float64 `json:"flow_bytes_per_s"`
		Known, Settings json.RawMessage
	}
	if err := json.Unmarshal(raw, &file); err != nil {
		return nil, place(raw, err)
	}
	c := &Config{Name: file.Name, Listen: file.Listen, DiscoveryAddress: file.Journal, Cores: file.Limits.Cores,
		MemoryMB: file.Limits.Memory, MaxSockets: file.Limits.Sockets, KnownEvents: file.Known}
	if name != "" {
		c.Name = name
	}
	if listen != "" {
		c.Listen = listen
	}
	for _, a := range []struct{ field, address string }{{"listen", c.Listen}, {"journal", c.DiscoveryAddress}} {
		if a.address == "" {
			return nil, fmt.Errorf("%s is missing", a.field)
		}
		if _, _, err := net.SplitHostPort(a.address); err != nil {
			return nil, fmt.Errorf("%s: %w", a.field, err)
		}
	}
	if c.Cores < 0 || c.MemoryMB < 0 || c.MaxSockets < 0 {
		return nil, errors.New("limits: negative")
	}
	var err error
	if file.Seed != "" {
		if c.Seed, err = strconv.ParseUint(file.Seed, 16, 64); err != nil {
			return nil, fmt.Errorf("seed %q is not a hexadecimal number of 64 bits", file.Seed)
		}
	}
	if len(file.Settings) == 0 {
		return nil, errors.New("settings is missing")
	}
	if c.Settings, err = ParseSettings(file.Settings); err == nil && file.Flow > 0 {
		c.Settings["answer.bytesPerS"] = file.Flow
	}
	return c, err
}

// place adds the line to an error of the JSON decoder.
func place(raw []byte, err error) error {
	offset := int64(-1)
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		offset = syntax.Offset
	case errors.As(err, &kind):
		offset = kind.Offset
	}
	if offset < 0 || offset > int64(len(raw)) {
		return err
	}
	line := 1
	for _, b := range raw[:offset] {
		if b == '\n' {
			line++
		}
	}
	return fmt.Errorf("line %d: %w", line, err)
}
