package startup

import "fmt"

// RateWindow is the duration over which the control package counts requests (docs/design.md, "λ"), ns. A router
// that started more recently knows request rates from a shorter time.
const RateWindow = 10 * second

// Phase is how far a start has come.
type Phase int

// The phases, in order.
const (
	NoList    Phase = iota // no endpoint list is known; the health check fails
	ListKnown              // from the configuration or a snapshot, so it may be out of date
	WarmingUp              // the discovery service has answered; rates and health are known from less than RateWindow
	Warm                   // rates and health are known from RateWindow
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
	maxHold      int64 // for so long at most the router waits for the service before it is ready
	phase        Phase
	hasList      bool
	firstHeardAt int64 // when the service first answered; 0: not yet
}

// NewProgress begins a start. Requests are counted over rateWindow, ns.
func NewProgress(now, rateWindow int64, hold ReadinessHold) *Progress {
	return &Progress{startedAt: now, rateWindow: rateWindow, maxHold: hold.MaxDuration}
}

// ListReceived notes that an endpoint list is in force.
func (p *Progress) ListReceived() { p.hasList = true }

// ServiceReached notes that the discovery service has answered.
func (p *Progress) ServiceReached(now int64) {
	if p.firstHeardAt == 0 {
		p.firstHeardAt = now
	}
}

// Update returns the phase at an instant, and whether it has changed. A phase is never left for an earlier one,
// because a router keeps what it has learned when the service is down.
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
	case p.firstHeardAt == 0:
		return ListKnown
	case now < p.startedAt+p.rateWindow:
		return WarmingUp
	}
	return Warm
}

// Ready reports whether clients may connect. Once its hold is over a router that knows endpoints is ready,
// whether or not the service has answered, so that a service that is down does not keep all routers from
// serving.
func (p *Progress) Ready(now int64) bool {
	return p.hasList && (p.firstHeardAt > 0 || now >= p.startedAt+p.maxHold)
}
