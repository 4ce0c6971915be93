package startup

// Phase is how far a start has come.
type Phase int

// The phases, in order. NoList knows no members and says by health that it is not to be asked; ListKnown has a list that may be
// out of date, from the configuration or a snapshot; WarmingUp has heard the list service itself, and its rates and its
// judgement of members start from nothing; Warm has counted for as long as its window.
const (
	NoList Phase = iota
	ListKnown
	WarmingUp
	Warm
)

func (p Phase) String() string { return []string{"alone", "listed", "warming", "whole"}[p] }

// RateWindow is the span over which the module counts requests (docs/design.md, "λ"), ns: a router younger than that
// knows rates by less.
const RateWindow = 10 * second

// Progress is one start.
type Progress struct {
	window int64 // over which rates are counted
	hold   int64 // for so long at most health is held back until the service was heard
	begun  int64
	listed bool
	heard  int64 // when the service was first heard
	Phase  Phase
}

// NewProgress begins a start; window is the span over which the module counts, ns.
func NewProgress(now, window int64, holding ReadinessHold) *Progress {
	return &Progress{begun: now, window: window, hold: holding.MaxDuration}
}

// ListReceived notes that a list of members is in force.
func (s *Progress) ListReceived() { s.listed = true }

// ServiceReached notes that the list service was heard.
func (s *Progress) ServiceReached(now int64) {
	if s.heard == 0 {
		s.heard = now
	}
}

// Update gives the phase at a time, and whether it is another than before. A later phase is never left again: what a router
// has learned stays when the service goes.
func (s *Progress) Update(now int64) (Phase, bool) {
	p := NoList
	switch {
	case !s.listed:
	case s.heard == 0:
		p = ListKnown
	case now < s.begun+s.window:
		p = WarmingUp
	default:
		p = Warm
	}
	if p <= s.Phase {
		return s.Phase, false
	}
	s.Phase = p
	return p, true
}

// Ready tells whether clients may come. Once its hold is over a router that knows members serves, heard or not: a service
// that is down must not take the fleet with it.
func (s *Progress) Ready(now int64) bool {
	return s.listed && (s.heard > 0 || now >= s.begun+s.hold)
}
