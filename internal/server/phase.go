package server

// Phase is a phase in the life of a server, from its start to its exit.
type Phase int

// The phases, in order.
const (
	Starting Phase = iota
	Serving
	Draining
	Stopped
)

var phaseNames = [...]string{Starting: "starting", Serving: "serving", Draining: "draining", Stopped: "stopped"}

func (phase Phase) String() string { return phaseNames[phase] }

// enter begins a phase.
func (s *Server) enter(next Phase) {
	s.phase = next
	s.emit(PhaseChanged{Phase: next.String()})
}

// advanceStartup sets what health checks report of this router, ready or not, and logs a new phase of the
// startup.
func (s *Server) advanceStartup() {
	s.downstream.SetReady(s.phase < Draining && s.progress.Ready(s.clock.Now()))
	if phase, changed := s.progress.Update(s.clock.Now()); changed {
		s.emit(StartupPhaseChanged{Phase: phase.String()})
	}
}
