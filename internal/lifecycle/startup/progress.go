package startup

import "fmt"

// RateWindow is the duration over which package control counts requests (docs/design.md, "λ"), ns. A router that
// has run for less time has counted requests for that time only.
const RateWindow = 10 * second

// Phase is how far the startup of a router has come.
type Phase int

// Phases of the startup, in order.
const (
	NoList    Phase = iota // no endpoint list is known; the health check fails
	ListKnown              // the list is from the configuration or a snapshot, so it may be out of date
	WarmingUp              // the discovery service has answered; request rates were counted for less than RateWindow
	Warm                   // request rates were counted for at least RateWindow
)

// phaseNames are the names of phases in log lines, which docs/oncall.md explains.
var phaseNames = [...]string{NoList: "alone", ListKnown: "listed", WarmingUp: "warming", Warm: "whole"}

func (p Phase) String() string {
	if p < 0 || int(p) >= len(phaseNames) {
		return fmt.Sprintf("phase %d", int(p))
	}
	return phaseNames[p]
}

// Progress tracks the startup of one router. It is not safe for concurrent use.
type Progress struct {
	startedAt     int64
	rateWindow    int64
	maxHold       int64 // longest time for which the router waits for the service before it is ready
	phase         Phase
	hasList       bool
	firstAnswerAt int64 // when the service first answered; 0: it has not answered yet
}

// NewProgress returns the progress of a startup that begins now. rateWindow is the duration over which requests are
// counted, ns.
func NewProgress(now, rateWindow int64, hold ReadinessHold) *Progress {
	return &Progress{startedAt: now, rateWindow: rateWindow, maxHold: hold.MaxDuration}
}

// ListReceived records that an endpoint list is in force. Without one the router is not ready.
func (p *Progress) ListReceived() { p.hasList = true }

// ServiceReached records the time of the discovery service's first answer. Later calls have no effect.
func (p *Progress) ServiceReached(now int64) {
	if p.firstAnswerAt == 0 {
		p.firstAnswerAt = now
	}
}

// Update returns the phase at time now, and whether it differs from the phase that the last call returned. A phase is
// never followed by an earlier one, because a router keeps its list and its request rates while the service is down.
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
	case !p.hasList:
		return NoList
	case p.firstAnswerAt == 0:
		return ListKnown
	case now < p.startedAt+p.rateWindow:
		return WarmingUp
	}
	return Warm
}

// Ready reports whether the router may report that it is ready. This takes an endpoint list, and an answer of the
// discovery service or the end of the hold: a service that is down must not keep all routers from serving.
func (p *Progress) Ready(now int64) bool {
	return p.hasList && (p.firstAnswerAt > 0 || now >= p.startedAt+p.maxHold)
}
