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

// Settings without the number of routers in the location must not count as a location without routers: the number of
// all routers is used.
func TestRoutersOfLocationDefaultsToAll(t *testing.T) {
	for _, c := range []struct {
		name          string
		location, all int
		want          int
	}{
		{"stated for the location", 3, 40, 3},
		{"stated for all routers only", 0, 40, 40},
		{"not stated", 0, 0, 1},
		{"below one", 0, -2, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := routersInLocation(control.Settings{LocationRouters: c.location, Routers: c.all})
			if got != c.want {
				t.Errorf("%d routers in the location, want %d", got, c.want)
			}
		})
	}
}

func TestShortestGrace(t *testing.T) {
	for _, c := range []struct {
		name               string
		drain, purge, want int64
	}{
		{"both unknown", 0, 0, 0},
		{"only drains", 3, 0, 3},
		{"only purges", 0, 2, 2},
		{"both, purges shorter", 3, 2, 2},
		{"both, drains shorter", 2, 3, 2},
		{"a negative one counts as unknown", -1, 3, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			settings := control.Settings{DrainGrace: c.drain, PurgeGrace: c.purge}
			s := New(&config.Config{Settings: settings}, nil, zerolog.Nop())
			if got := s.shortestGracePeriod(); got != c.want {
				t.Errorf("shortest grace period %d, want %d", got, c.want)
			}
		})
	}
}

func TestLongestDeadlineIsFromSettings(t *testing.T) {
	settings := control.Settings{LongestDeadline: int64(3 * time.Second)}
	if got := New(&config.Config{Settings: settings}, nil, zerolog.Nop()).longestDeadline(); got != 3*time.Second {
		t.Errorf("longest deadline %v, want 3s", got)
	}
}

// Caches and parents that are ready are probed, each kind with its own duration of slow start. Origins, and endpoints
// that are not ready, are not probed.
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
		t.Fatalf("%d targets, want 3: %+v", len(targets), targets)
	}
	names := targets[0].Name + targets[1].Name + targets[2].Name
	if names != "abe" || targets[0].Parent || !targets[1].Parent || targets[2].Parent {
		t.Errorf("targets %+v, want a, b and e, with b as the only parent", targets)
	}
	later := time.Duration(targets[1].WarmAt - targets[0].WarmAt)
	if later != time.Hour || targets[2].WarmAt != targets[0].WarmAt {
		t.Errorf("the slow start of a parent ends %v after that of a cache, want %v", later, time.Hour)
	}
}

// Check returns an ErrConfig with the reason if settings are invalid. An operator's file can still be checked against
// the other settings.
func TestCheckRejectsInvalidSettings(t *testing.T) {
	wrong := &control.SettingError{Key: "routers", Reason: "is missing"}
	c := &config.Config{Settings: control.DefaultSettings(), SettingsError: wrong}
	err := Check(c)
	var settingError *control.SettingError
	if !errors.Is(err, ErrConfig) || !errors.As(err, &settingError) {
		t.Errorf("error %v of type %T, want an ErrConfig with a *control.SettingError", err, err)
	}
	if want := ErrConfig.Error() + ": settings: " + wrong.Error(); err == nil || err.Error() != want {
		t.Errorf("error %v, want %s", err, want)
	}
	if err := CheckOperatorConfig(&operatorconfig.File{}, c); err != nil {
		t.Errorf("the operator's file is rejected: %v", err)
	}
	c.SettingsError = nil
	if err := Check(c); err != nil {
		t.Errorf("valid settings are rejected: %v", err)
	}
}
