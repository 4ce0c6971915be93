package server

import (
	"errors"
	"tealpath/control"
	"tealpath/internal/clock/clocktest"
	"tealpath/internal/config"
	"tealpath/internal/operatorconfig"
	"tealpath/internal/router"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// Routers share what a location's endpoints bear. Where a location's number is not told, all are taken to be there.
func TestRoutersOfLocation(t *testing.T) {
	for _, c := range []struct {
		name          string
		location, all int
		want          int
	}{
		{"told for the location", 3, 40, 3},
		{"told for all", 0, 40, 40},
		{"not told", 0, 0, 1},
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

// The discovery service is called as often as the shortest of the known graces needs.
func TestShortestGrace(t *testing.T) {
	for _, c := range []struct {
		name               string
		drain, purge, want int64
	}{
		{"neither is known", 0, 0, 0},
		{"of drains alone", 3, 0, 3},
		{"of purges alone", 0, 2, 2},
		{"both", 3, 2, 2},
		{"the other way round", 2, 3, 2},
		{"a negative one is not known", -1, 3, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			settings := control.Settings{DrainGrace: c.drain, PurgeGrace: c.purge}
			p := New(&config.Config{Settings: settings}, nil, zerolog.Nop())
			if got := p.shortestGrace(); got != c.want {
				t.Errorf("%d, want %d", got, c.want)
			}
		})
	}
}

// A shutdown takes as long as the longest deadline.
func TestLongestDeadline(t *testing.T) {
	settings := control.Settings{LongestDeadline: int64(3 * time.Second)}
	if got := New(&config.Config{Settings: settings}, nil, zerolog.Nop()).longestDeadline(); got != 3*time.Second {
		t.Errorf("%v", got)
	}
}

// Caches and parents are probed, each by its own time of warming up; the origin, and what is not ready, are not.
func TestTargetsByKind(t *testing.T) {
	const started = int64(10 * time.Second)
	parent, origin := "parent", "origin"
	settings := control.Settings{
		ParentKind:      &parent,
		OriginKind:      &origin,
		CacheSlowStart:  control.SlowStartSettings{WarmUpDuration: int64(time.Hour)},
		ParentSlowStart: control.SlowStartSettings{WarmUpDuration: int64(2 * time.Hour)},
	}
	var lines []router.EndpointEntry
	for _, line := range []struct{ name, kind, phase string }{
		{"a", "cache", "ready"},
		{"b", "parent", "ready"},
		{"c", "origin", "ready"},
		{"d", "cache", "draining"},
		{"e", "", "ready"},
	} {
		endpoint := control.Endpoint{Kind: line.kind, Phase: line.phase, StartedAt: started}
		lines = append(lines, router.EndpointEntry{Instance: line.name, Endpoint: endpoint})
	}
	node := &clusterNode{clock: clocktest.Running(0), targetsChanged: make(chan struct{}, 1)}
	node.setEndpoints(lines, settings)
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

// Settings that can't be used keep a process from starting, with all that is wrong in the error. An operator's file is checked
// against the rest of them all the same.
func TestUnusableSettings(t *testing.T) {
	wrong := &control.SettingError{Key: "routers", Reason: "is missing"}
	c := &config.Config{Settings: control.DefaultSettings(), SettingsError: wrong}
	err := Check(c)
	var settingError *control.SettingError
	if !errors.Is(err, ErrConfig) || !errors.As(err, &settingError) || err.Error() != ErrConfig.Error()+": settings: "+wrong.Error() {
		t.Error(err)
	}
	if err := CheckOperatorConfig(&operatorconfig.File{}, c); err != nil {
		t.Error(err)
	}
	c.SettingsError = nil
	if err := Check(c); err != nil {
		t.Error(err)
	}
}
