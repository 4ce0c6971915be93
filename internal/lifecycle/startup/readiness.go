package startup

import "fmt"

// ReadinessHold bounds how routers start together: their first calls together come at CallRate a second, and a
// router is not ready until it has had an answer of the discovery service, for MaxDuration at most. The zero
// value holds nothing back: the first calls come at once, since routers count as notified of a change as soon
// as the service has it.
type ReadinessHold struct {
	CallRate    float64 // calls a second
	MaxDuration int64   // ns
}

// HoldTooShortError is a ReadinessHold in which not all routers could call at its rate and be answered. Times
// are ns.
type HoldTooShortError struct {
	Routers       int
	CallsDuration int64 // that the calls of all routers take
	Hold          ReadinessHold
}

func (e *HoldTooShortError) Error() string {
	return fmt.Sprintf("%d routers call for %d ms at %g a second and %d ms are for the answer: hold is %d ms",
		e.Routers, e.CallsDuration/millisecond, e.Hold.CallRate,
		answerAllowance/millisecond, e.Hold.MaxDuration/millisecond)
}

// Check returns a *HoldTooShortError if a hold is too short for so many routers to call at its rate and to be
// answered.
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
