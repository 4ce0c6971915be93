// Package config reads what the platform gives a router at its start: the environment variables LB_NAME,
// LB_LISTEN and LB_CONFIG, and the JSON file that the last one names.
package config

import (
	"encoding/json"
	"fmt"
	"os"
	"reflect"
	"strings"
	"tealpath/control"
)

// The environment variables.
const (
	pathVariable   = "LB_CONFIG"
	nameVariable   = "LB_NAME"
	listenVariable = "LB_LISTEN"
)

// Config is one router's configuration.
type Config struct {
	Name             string
	Listen           string // address for clients
	DiscoveryAddress string
	Seed             uint64          // of the random numbers
	Cores            float64         // that the router may use; 0: not known
	MemoryMB         int64           // that the router may use; 0: not known
	MaxSockets       int64           // open at once; 0: not known
	KnownEvents      json.RawMessage // the discovery service's watch events up to the start
	Settings         control.Settings

	// SettingsError is what is wrong with Settings, which have defaults in the places concerned. It keeps a
	// router from starting, but not a running one from reloading: that takes only the discovery address over.
	SettingsError error

	// SettingsDigest identifies all settings, those that no router uses included. A snapshot stores it, since
	// what was learned under other settings must not be restored.
	SettingsDigest uint64

	// rawSettings is what Settings was decoded from. RestartRequired compares it, since it holds all settings.
	rawSettings control.RawSettings
}

// Load reads the configuration that LB_CONFIG names. LB_NAME and LB_LISTEN, where set, take precedence over the
// file. getenv returns an environment variable, empty if it is not set.
func Load(getenv func(string) string) (*Config, error) {
	path := getenv(pathVariable)
	if path == "" {
		return nil, ErrNoFile
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	config, err := Parse(raw, getenv(nameVariable), getenv(listenVariable))
	if err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	return config, nil
}

// Reload loads the configuration again for the router that runs with c. A configuration of another router is an
// *OtherRouterError.
func (c *Config) Reload(getenv func(string) string) (*Config, error) {
	next, err := Load(func(variable string) string {
		if variable == pathVariable {
			return getenv(variable)
		}
		return "" // the file itself says whose it is
	})
	if err != nil {
		return nil, err
	}
	if next.Name != c.Name {
		return nil, &OtherRouterError{Path: getenv(pathVariable), Router: next.Name}
	}
	return next, nil
}

// RestartRequired names what of a newer configuration is in force only after a restart, with commas between.
func (c *Config) RestartRequired(next *Config) string {
	var changed []string
	if c.Listen != next.Listen {
		changed = append(changed, "listen")
	}
	if c.Cores != next.Cores || c.MemoryMB != next.MemoryMB || c.MaxSockets != next.MaxSockets {
		changed = append(changed, "limits")
	}
	if !reflect.DeepEqual(c.rawSettings, next.rawSettings) {
		changed = append(changed, "settings")
	}
	return strings.Join(changed, ", ")
}
