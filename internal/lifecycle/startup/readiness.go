package startup

import "fmt"

// ReadinessHold delays the readiness of routers that start at the same time, so that they can spread their first calls
// of the discovery service: all routers together make CallRate calls per second. Each router reports that it is not
// ready until the service has answered it, or until MaxDuration has passed.
//
// The zero value is no hold. Without one, routers with a list from their configuration serve at once, and make their
// first calls within maxFirstSpread: they count as notified of a change as soon as the service has it.
type ReadinessHold struct {
	CallRate    float64 // calls per second of all routers together
	MaxDuration int64   // longest time for which a router that gets no answer is not ready, ns
}

// HoldTooShortError reports a ReadinessHold that is too short for all routers to call at its rate and get an answer.
type HoldTooShortError struct {
	Routers       int
	CallsDuration int64 // time that all routers need for their first calls at Hold.CallRate, ns
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
