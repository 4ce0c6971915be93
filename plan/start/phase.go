package start

// Phase is how far a start has come.
type Phase int

// The phases, in order. Alone knows no members and says by health that it is not to be asked; Listed has a list that may be
// out of date, from the configuration or a snapshot; Warming has heard the list service itself, and its rates and its
// judgement of members start from nothing; Whole has counted for as long as its window.
const (
	Alone Phase = iota
	Listed
	Warming
	Whole
)

func (p Phase) String() string { return []string{"alone", "listed", "warming", "whole"}[p] }

// CountWindow is the span over which the module counts requests (docs/design.md, "λ"), ns: a router younger than that
// knows rates by less.
const CountWindow = 10 * second

// Start is one start.
type Start struct {
	window int64 // over which rates are counted
	hold   int64 // for so long at most health is held back until the service was heard
	begun  int64
	listed bool
	heard  int64 // when the service was first heard
	Phase  Phase
}

// NewStart begins a start; window is the span over which the module counts, ns.
func NewStart(now, window int64, holding Holding) *Start {
	return &Start{begun: now, window: window, hold: holding.Hold}
}

// List notes that a list of members is in force.
func (s *Start) List() { s.listed = true }

// Service notes that the list service was heard.
func (s *Start) Service(now int64) {
	if s.heard == 0 {
		s.heard = now
	}
}

// Step gives the phase at a time, and whether it is another than before. A later phase is never left again: what a router
// has learned stays when the service goes.
func (s *Start) Step(now int64) (Phase, bool) {
	p := Alone
	switch {
	case !s.listed:
	case s.heard == 0:
		p = Listed
	case now < s.begun+s.window:
		p = Warming
	default:
		p = Whole
	}
	if p <= s.Phase {
		return s.Phase, false
	}
	s.Phase = p
	return p, true
}

// Ready tells whether clients may come. Once its hold is over a router that knows members serves, heard or not: a service
// that is down must not take the fleet with it.
func (s *Start) Ready(now int64) bool {
	return s.listed && (s.heard > 0 || now >= s.begun+s.hold)
}
