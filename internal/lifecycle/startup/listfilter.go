package startup

import "fmt"

// ListSummary summarizes a watch event with an endpoint list: a complete list, or changes of it.
type ListSummary struct {
	Position       int64  // number of the watch event
	Generation     int64  // generation of the list, counted by the service; 0: unknown
	Complete       bool   // the event lists all endpoints; otherwise only those that changed
	Endpoints      int    // number of endpoints in the event
	ReadyEndpoints int    // number of endpoints in the event that are ready
	Digest         uint64 // hash of all fields of the endpoints
}

// sameContent reports whether two lists have the same digest and the same number of endpoints.
func (l ListSummary) sameContent(other ListSummary) bool {
	return l.Digest == other.Digest && l.Endpoints == other.Endpoints
}

// Verdict is what a router does with an endpoint list that it has received.
type Verdict int

// Verdicts of ListFilter.Evaluate.
const (
	Accept      Verdict = iota // the list is in force from now on
	Unconfirmed                // the previous list stays in force until the service sends the new one again
	Stale                      // the list is not newer than the one in force, and is dropped
)

var verdictNames = [...]string{Accept: "accept", Unconfirmed: "unconfirmed", Stale: "stale"}

func (v Verdict) String() string {
	if v < 0 || int(v) >= len(verdictNames) {
		return fmt.Sprintf("verdict %d", int(v))
	}
	return verdictNames[v]
}

const (
	// A complete list with less than minRemainingShare of the previous number of endpoints has to be confirmed if
	// that number was at least minShrinkEndpoints. Of fewer endpoints, more than half may well be removed at once.
	minRemainingShare  = 0.5
	minShrinkEndpoints = 4

	// confirmationWindow is how long after an unconfirmed list was received a list with the same content confirms it.
	confirmationWindow = 5 * second

	// firstPosition is the number of the first event after a start of the service.
	firstPosition = 1
)

// ListFilter decides which endpoint lists a router accepts. A service that has just started or lost its state may
// send a complete list with no or few endpoints; a router that accepted it would have no endpoint for its requests.
// The zero value has no list yet.
type ListFilter struct {
	endpoints  int   // number of endpoints in the list in force; 0: there is none
	position   int64 // position of the last event that was processed
	generation int64 // highest generation of all accepted lists

	unconfirmed   ListSummary
	unconfirmedAt int64 // when that list was received; 0: no list is unconfirmed
}

// Evaluate returns the verdict on a list that is received now. If it is Accept, later lists are compared with this
// one.
func (f *ListFilter) Evaluate(now int64, next ListSummary) Verdict {
	verdict := f.verdict(now, next)
	switch verdict {
	case Accept:
		f.accept(next)
	case Unconfirmed:
		f.unconfirmed, f.unconfirmedAt = next, now
	}
	return verdict
}

func (f *ListFilter) verdict(now int64, next ListSummary) Verdict {
	switch {
	case !next.Complete:
		if next.Position <= f.position {
			return Stale
		}
		return Accept
	case f.endpoints == 0: // no list is in force
		return Accept
	case next.Position <= f.position && !f.isFromRestartedService(next):
		return Stale
	case (next.ReadyEndpoints == 0 || f.shrinks(next)) && !f.confirms(now, next):
		return Unconfirmed
	}
	return Accept
}

func (f *ListFilter) accept(next ListSummary) {
	f.unconfirmedAt = 0
	if next.Complete {
		f.endpoints = next.Endpoints
	} else {
		f.endpoints = max(f.endpoints, next.Endpoints)
	}
	f.position = next.Position
	f.generation = max(f.generation, next.Generation)
}

// Advance records the position of an event without a list. The positions of later lists are compared with it.
func (f *ListFilter) Advance(position int64) { f.position = max(f.position, position) }

// isFromRestartedService reports whether a list is the first event of a service that has started again and numbers
// its events from 1. Positions can't be compared then; the list is newer if its generation is higher.
func (f *ListFilter) isFromRestartedService(next ListSummary) bool {
	return next.Position == firstPosition && next.Generation > f.generation
}

// confirms reports whether a list has the same content as the unconfirmed one, and comes within confirmationWindow.
func (f *ListFilter) confirms(now int64, next ListSummary) bool {
	return f.unconfirmedAt > 0 && now-f.unconfirmedAt <= confirmationWindow && f.unconfirmed.sameContent(next)
}

// shrinks reports whether a complete list has so few endpoints that it has to be confirmed.
func (f *ListFilter) shrinks(next ListSummary) bool {
	return f.endpoints >= minShrinkEndpoints && float64(next.Endpoints) < minRemainingShare*float64(f.endpoints)
}
