package startup

import "fmt"

// ReadinessHold is what an operator says of a start: the first calls of all routers together come at Rate a second, and a router
// holds its health back until it has heard the list service, for Hold at most. The zero value holds nothing back and calls
// at once: then a change counts as told as soon as it is in the service.
type ReadinessHold struct {
	CallRate    float64 // calls a second
	MaxDuration int64   // ns
}

// Check tells whether a holding is long enough for so many routers to have called at its rate, and to be answered.
func (h ReadinessHold) Check(routers int) error {
	if h == (ReadinessHold{}) {
		return nil
	}
	if needs := int64(float64(max(1, routers))/h.CallRate*float64(second)) + answerTime; needs > h.MaxDuration {
		return fmt.Errorf("%d routers call for %d ms at %g a second and %d ms are for the answer: hold is %d ms",
			routers, (needs-answerTime)/millisecond, h.CallRate, answerTime/millisecond, h.MaxDuration/millisecond)
	}
	return nil
}
