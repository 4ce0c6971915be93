package server

import (
	"fmt"
	"runtime"
	"runtime/debug"
	"tealpath/internal/discovery"
	"tealpath/internal/lifecycle/startup"
	"tealpath/internal/router"
)

// prepare sets the runtime's limits and gives the reducer all that is known before anything is listened on.
// It returns what discovery goes on from.
func (s *Server) prepare() (history discovery.History, err error) {
	s.limitRuntime()
	if err := s.config.SettingsError; err != nil {
		return history, fmt.Errorf("%w: settings: %w", ErrConfig, err)
	}
	now := s.clock.Now()
	limits := router.Limits{
		MaxInFlight:    s.config.Settings.MaxInFlight,
		MaxBodyBytes:   s.memory(bodyMemoryShare),
		MaxConnections: s.maxUpstreamSockets(),
		ConnectionPlan: s.connectionPlan(),
	}
	s.router = router.New(now, s.config.Seed, s.config.Settings, limits)
	s.progress = startup.NewProgress(now, startup.RateWindow, s.readinessHold())
	history, known, err := discovery.ParseHistory(s.config.KnownEvents)
	if err != nil {
		return history, fmt.Errorf("%w: %w", ErrConfig, err)
	}
	s.restore(now, &history)
	for _, event := range known {
		s.applyKnown(now, event)
	}
	return history, nil
}

// limitRuntime has the Go runtime keep to the configured cores and memory.
func (s *Server) limitRuntime() {
	if s.config.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(s.config.Cores)))
	}
	if s.config.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(s.memory(collectorMemoryShare)))
	}
}

// applyKnown hands the reducer an event of the configuration file. There are no connections yet: of its
// effects only what is logged counts.
func (s *Server) applyKnown(now int64, event router.Event) {
	if _, isList := event.(router.EndpointListUpdated); isList {
		s.progress.ListReceived()
	}
	for _, effect := range s.router.Handle(now, event) {
		if line, ok := effect.(router.Log); ok {
			s.emitOfRouter(line)
		}
	}
}
