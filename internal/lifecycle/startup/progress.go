package startup

import "fmt"

// RateWindow is over which the decision module counts requests (docs/design.md, "λ"), ns: a younger router knows rates by less.
const RateWindow = 10 * second

// Phase is how far a start has come.
type Phase int

// The phases, in order.
const (
	NoList    Phase = iota // no endpoint list is known; the health check fails
	ListKnown              // from the configuration or a snapshot, so it may be out of date
	WarmingUp              // the discovery service was heard; rates and health of endpoints are known by less than RateWindow
	Warm
)

// phaseNames are the words of the log line, which docs/oncall.md names.
var phaseNames = [...]string{NoList: "alone", ListKnown: "listed", WarmingUp: "warming", Warm: "whole"}

func (p Phase) String() string {
	if p < 0 || int(p) >= len(phaseNames) {
		return fmt.Sprintf("phase %d", int(p))
	}
	return phaseNames[p]
}

// Progress is how far one start has come. It is not safe for use by two goroutines at once.
type Progress struct {
	startedAt    int64
	rateWindow   int64
	maxHold      int64 // until then at most the router is not ready before the service was heard
	phase        Phase
	listKnown    bool
	firstHeardAt int64 // when the service was first heard; 0: it was not
}

// NewProgress begins a start; rateWindow is over which requests are counted, ns.
func NewProgress(now, rateWindow int64, hold ReadinessHold) *Progress {
	return &Progress{startedAt: now, rateWindow: rateWindow, maxHold: hold.MaxDuration}
}

// ListReceived notes that an endpoint list is in force.
func (p *Progress) ListReceived() { p.listKnown = true }

// ServiceReached notes that the discovery service was heard.
func (p *Progress) ServiceReached(now int64) {
	if p.firstHeardAt == 0 {
		p.firstHeardAt = now
	}
}

// Update returns the phase at an instant, and whether it is another than before. A phase is never left for an earlier one: what a
// router has learned stays when the service goes.
func (p *Progress) Update(now int64) (phase Phase, changed bool) {
	next := p.phaseAt(now)
	if next <= p.phase {
		return p.phase, false
	}
	p.phase = next
	return next, true
}

func (p *Progress) phaseAt(now int64) Phase {
	switch {
	case !p.listKnown:
		return NoList
	case p.firstHeardAt == 0:
		return ListKnown
	case now < p.startedAt+p.rateWindow:
		return WarmingUp
	}
	return Warm
}

// Ready reports whether clients may come. Once its hold is over a router that knows endpoints serves, whether or not the service was
// heard: a service that is down must not take the fleet with it.
func (p *Progress) Ready(now int64) bool {
	return p.listKnown && (p.firstHeardAt > 0 || now >= p.startedAt+p.maxHold)
}
