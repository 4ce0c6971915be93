package server

// Phase is a phase in the life of a server, from its start to its exit.
type Phase int

// The phases, in chronological order.
const (
	Starting Phase = iota
	Serving
	Draining
	Stopped
)

var phaseNames = [...]string{Starting: "starting", Serving: "serving", Draining: "draining", Stopped: "stopped"}

func (phase Phase) String() string { return phaseNames[phase] }

// enter sets the server's phase to next and logs the change.
func (s *Server) enter(next Phase) {
	s.phase = next
	s.emit(PhaseChanged{Phase: next.String()})
}

// advanceStartup sets whether health checks of this router report that it is ready, and logs the startup's phase if it
// has changed.
func (s *Server) advanceStartup() {
	s.downstream.SetReady(s.phase < Draining && s.progress.Ready(s.clock.Now()))
	if phase, changed := s.progress.Update(s.clock.Now()); changed {
		s.emit(StartupPhaseChanged{Phase: phase.String()})
	}
}
