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
	Cores            float64         // that the router may use; 0: unknown
	MemoryMB         int64           // MiB that the router may use; 0: unknown
	MaxSockets       int64           // descriptors that may be open at once; 0: unknown
	KnownEvents      json.RawMessage // watch events of the discovery service up to the start
	Settings         control.Settings

	// SettingsError reports invalid settings, nil if there are none. Settings has defaults in their place. A
	// router can't start with it, but a running one can reload: it uses only the discovery address then.
	SettingsError error

	// SettingsDigest is a hash of all settings, those that no router uses included. Snapshots have it, because
	// what was learned under other settings must not be restored.
	SettingsDigest uint64

	// rawSettings is what Settings was decoded from. RestartRequired compares it, as it has all settings.
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

// Reload loads the configuration again for the router that runs with c. The name and the address come from the
// file alone, since LB_NAME and LB_LISTEN are as they were at the start. If the file is another router's, the
// error is an *OtherRouterError.
func (c *Config) Reload(getenv func(string) string) (*Config, error) {
	next, err := Load(func(variable string) string {
		if variable == pathVariable {
			return getenv(variable)
		}
		return ""
	})
	if err != nil {
		return nil, err
	}
	if next.Name != c.Name {
		return nil, &OtherRouterError{Path: getenv(pathVariable), Router: next.Name}
	}
	return next, nil
}

// RestartRequired returns the names of the parts in which a newer configuration differs from c and that are in
// force only after a restart, separated by commas. It is empty if there are none.
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
