package startup

import "fmt"

// ReadinessHold limits the calls of routers that start together: together they make their first calls at
// CallRate, and each one reports that it is not ready until the discovery service has answered it, for MaxDuration
// at most. The zero value is no hold: routers that serve from a list in their configuration call within
// maxFirstSpread, since they count as notified of a change as soon as the service has it.
type ReadinessHold struct {
	CallRate    float64 // calls per second of all routers together
	MaxDuration int64   // longest time for which a router that gets no answer is not ready, ns
}

// HoldTooShortError reports a ReadinessHold that is too short for all routers to call at its rate and get an answer.
type HoldTooShortError struct {
	Routers       int
	CallsDuration int64 // duration of the first calls of all routers at the rate of Hold, ns
	Hold          ReadinessHold
}

func (e *HoldTooShortError) Error() string {
	return fmt.Sprintf("a hold of %d ms is too short: %d routers need %d ms for their calls at %g per second, "+
		"and %d ms for the answer",
		e.Hold.MaxDuration/millisecond, e.Routers, e.CallsDuration/millisecond, e.Hold.CallRate,
		answerAllowance/millisecond)
}

// Check returns a *HoldTooShortError if the hold is too short for this number of routers to call at its rate and get
// an answer.
func (h ReadinessHold) Check(routers int) error {
	if h == (ReadinessHold{}) {
		return nil
	}
	callsDuration := int64(float64(max(1, routers)) / h.CallRate * float64(second))
	if callsDuration+answerAllowance > h.MaxDuration {
		return &HoldTooShortError{Routers: routers, CallsDuration: callsDuration, Hold: h}
	}
	return nil
}
