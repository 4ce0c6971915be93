package server

import (
	"fmt"
	"runtime"
	"runtime/debug"

	"tealpath/internal/discovery"
	"tealpath/internal/lifecycle/startup"
	"tealpath/internal/router"
)

// prepare does all steps of a start that come before the first socket is opened: it sets the runtime's limits, creates
// the reducer, restores the snapshot, and handles the watch events in the configuration file. It returns the history
// after which the watch of the discovery service resumes.
func (s *Server) prepare() (history discovery.History, err error) {
	s.limitRuntime()
	if err := s.config.SettingsError; err != nil {
		return history, fmt.Errorf("%w: settings: %w", ErrConfig, err)
	}
	now := s.clock.Now()
	limits := router.Limits{
		MaxInFlight:    s.config.Settings.MaxInFlight,
		MaxBodyBytes:   s.memoryBytes(bodyMemoryShare),
		MaxAbandoned:   s.memoryBytes(requestIDMemoryShare) / bytesPerRequestID,
		MaxExecuted:    s.memoryBytes(requestIDMemoryShare) / bytesPerRequestID,
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
		s.handleKnownEvent(now, event)
	}
	return history, nil
}

// limitRuntime sets the limits of the Go runtime according to the configured cores and memory.
func (s *Server) limitRuntime() {
	if s.config.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(s.config.Cores)))
	}
	if s.config.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(s.memoryBytes(collectorMemoryShare)))
	}
}

// handleKnownEvent passes a watch event in the configuration file to the reducer. Since there are no connections yet,
// it carries out only the effects that write log lines.
func (s *Server) handleKnownEvent(now int64, event router.Event) {
	if _, isList := event.(router.EndpointListUpdated); isList {
		s.progress.ListReceived()
	}
	for _, effect := range s.router.Handle(now, event) {
		if line, ok := effect.(router.Log); ok {
			s.emitRouterEvent(line)
		}
	}
}
