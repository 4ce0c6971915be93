package server

import (
	"errors"
	"testing"
	"time"

	"tealpath/control"
	"tealpath/internal/clock/clocktest"
	"tealpath/internal/config"
	"tealpath/internal/operatorconfig"
	"tealpath/internal/router"

	"github.com/rs/zerolog"
)

// If the settings do not state the number of routers in the location, all routers count as there.
func TestRoutersOfLocationDefaultsToAll(t *testing.T) {
	for _, c := range []struct {
		name          string
		location, all int
		want          int
	}{
		{"stated for the location", 3, 40, 3},
		{"stated for all", 0, 40, 40},
		{"not stated", 0, 0, 1},
		{"below one", 0, -2, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := routersHere(control.Settings{LocationRouters: c.location, Routers: c.all})
			if got != c.want {
				t.Errorf("%d routers, want %d", got, c.want)
			}
		})
	}
}

func TestShortestGrace(t *testing.T) {
	for _, c := range []struct {
		name               string
		drain, purge, want int64
	}{
		{"none is known", 0, 0, 0},
		{"of drains alone", 3, 0, 3},
		{"of purges alone", 0, 2, 2},
		{"both", 3, 2, 2},
		{"the other way round", 2, 3, 2},
		{"a negative one is not known", -1, 3, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			settings := control.Settings{DrainGrace: c.drain, PurgeGrace: c.purge}
			s := New(&config.Config{Settings: settings}, nil, zerolog.Nop())
			if got := s.shortestGrace(); got != c.want {
				t.Errorf("%d, want %d", got, c.want)
			}
		})
	}
}

func TestLongestDeadlineIsOfTheSettings(t *testing.T) {
	settings := control.Settings{LongestDeadline: int64(3 * time.Second)}
	if got := New(&config.Config{Settings: settings}, nil, zerolog.Nop()).longestDeadline(); got != 3*time.Second {
		t.Errorf("%v", got)
	}
}

// Ready caches and parents are probed, each kind with its own duration of slow start. The origin and endpoints that are
// not ready are not probed.
func TestTargetsByKind(t *testing.T) {
	const started = int64(10 * time.Second)
	parent, origin := "parent", "origin"
	settings := control.Settings{
		ParentKind:      &parent,
		OriginKind:      &origin,
		CacheSlowStart:  control.SlowStartSettings{WarmUpDuration: int64(time.Hour)},
		ParentSlowStart: control.SlowStartSettings{WarmUpDuration: int64(2 * time.Hour)},
	}
	var entries []router.EndpointEntry
	for _, entry := range []struct{ name, kind, phase string }{
		{"a", "cache", "ready"},
		{"b", "parent", "ready"},
		{"c", "origin", "ready"},
		{"d", "cache", "draining"},
		{"e", "", "ready"},
	} {
		endpoint := control.Endpoint{Kind: entry.kind, Phase: entry.phase, StartedAt: started}
		entries = append(entries, router.EndpointEntry{Instance: entry.name, Endpoint: endpoint})
	}
	node := &clusterNode{clock: clocktest.Running(0), targetsChanged: make(chan struct{}, 1)}
	node.setEndpoints(entries, settings)
	targets := *node.targets.Load()
	if len(targets) != 3 {
		t.Fatalf("%d targets: %+v", len(targets), targets)
	}
	names := targets[0].Name + targets[1].Name + targets[2].Name
	if names != "abe" || targets[0].Parent || !targets[1].Parent || targets[2].Parent {
		t.Errorf("%+v", targets)
	}
	later := time.Duration(targets[1].WarmAt - targets[0].WarmAt)
	if later != time.Hour || targets[2].WarmAt != targets[0].WarmAt {
		t.Errorf("a parent is warm %v after a cache", later)
	}
}

// A server can't start with unusable settings, and the error has the reason. An operator's file can still be checked
// against the other settings.
func TestUnusableSettingsAreAnErrorOfTheConfiguration(t *testing.T) {
	wrong := &control.SettingError{Key: "routers", Reason: "is missing"}
	c := &config.Config{Settings: control.DefaultSettings(), SettingsError: wrong}
	err := Check(c)
	var settingError *control.SettingError
	if !errors.Is(err, ErrConfig) || !errors.As(err, &settingError) {
		t.Errorf("error %v of type %T", err, err)
	}
	if want := ErrConfig.Error() + ": settings: " + wrong.Error(); err == nil || err.Error() != want {
		t.Errorf("error %v, want %s", err, want)
	}
	if err := CheckOperatorConfig(&operatorconfig.File{}, c); err != nil {
		t.Error(err)
	}
	c.SettingsError = nil
	if err := Check(c); err != nil {
		t.Error(err)
	}
}
