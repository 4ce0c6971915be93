package server

// Phase is where a server stands between its start and its exit.
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

// advanceStartup reports to clients whether this router is ready, and logs when its start has come further.
func (s *Server) advanceStartup() {
	s.downstream.SetReady(s.phase < Draining && s.progress.Ready(s.clock.Now()))
	if phase, changed := s.progress.Update(s.clock.Now()); changed {
		s.emit(StartupPhaseChanged{Phase: phase.String()})
	}
}
