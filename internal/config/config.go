// Package config reads the configuration that the platform gives a router: the environment variables LB_NAME,
// LB_LISTEN and LB_CONFIG, and the JSON file whose path is in LB_CONFIG.
package config

import (
	"encoding/json"
	"fmt"
	"os"
	"reflect"
	"strings"

	"tealpath/control"
)

// Environment variables that Load reads.
const (
	pathVariable   = "LB_CONFIG"
	nameVariable   = "LB_NAME"
	listenVariable = "LB_LISTEN"
)

// Config is the configuration of one router, decoded from its file and the environment variables.
type Config struct {
	Name             string
	Listen           string          // HOST:PORT on which clients connect
	DiscoveryAddress string          // HOST:PORT of the discovery service
	Seed             uint64          // seed of the router's random numbers
	Cores            float64         // number of CPU cores that the router may use; 0: unknown
	MemoryMB         int64           // memory that the router may use, MiB; 0: unknown
	MaxSockets       int64           // number of descriptors that may be open at once; 0: unknown
	KnownEvents      json.RawMessage // watch events that the discovery service sent before the router's start
	Settings         control.Settings

	// SettingsError reports invalid settings, for which Settings has defaults; nil: all settings are valid. A
	// router can't start with invalid settings, but a running one can reload the file, since it applies only the
	// address of the discovery service.
	SettingsError error

	// SettingsDigest is a hash of all settings, including those that no router uses. It is stored in snapshots,
	// because a snapshot that was taken under other settings must not be restored.
	SettingsDigest uint64

	// rawSettings is the input from which Settings was decoded. RestartRequired compares it because it has all
	// settings.
	rawSettings control.RawSettings
}

// Load reads the configuration file whose path is in LB_CONFIG. LB_NAME and LB_LISTEN take precedence over the file if
// they are set. getenv returns the value of an environment variable, empty if it is not set.
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

// Reload loads the configuration again for the router that runs with c. The name and the address for clients are those
// of the file, since the environment variables LB_NAME and LB_LISTEN of a running process do not change. If the file
// is for another router, the error is an *OtherRouterError.
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
		return nil, &OtherRouterError{Path: getenv(pathVariable), Router: next.Name, Own: c.Name}
	}
	return next, nil
}

// RestartRequired compares c with a newer configuration. It returns the names, separated by commas, of the changed
// parts that take effect only after a restart, or an empty text if there are none.
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
