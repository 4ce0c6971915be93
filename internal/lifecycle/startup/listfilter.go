package startup

import "fmt"

// ListSummary is what an endpoint list says of itself.
type ListSummary struct {
	Position       int64  // number of its event
	Generation     int64  // of the list, as the service counts; 0 is not told
	Complete       bool   // the whole list; else changes to the one before
	Endpoints      int    // that it names
	ReadyEndpoints int    // of them
	Digest         uint64 // of its content
}

// sameContent reports whether two lists name the same.
func (l ListSummary) sameContent(other ListSummary) bool {
	return l.Digest == other.Digest && l.Endpoints == other.Endpoints
}

// Verdict is what becomes of an endpoint list.
type Verdict int

// The verdicts.
const (
	Accept      Verdict = iota // it is in force
	Unconfirmed                // the list before stays in force, and the service is asked again; what it says a second time is accepted
	Stale                      // it is older than the one in force, and dropped
)

var verdictNames = [...]string{Accept: "accept", Unconfirmed: "unconfirmed", Stale: "stale"}

func (v Verdict) String() string {
	if v < 0 || int(v) >= len(verdictNames) {
		return fmt.Sprintf("verdict %d", int(v))
	}
	return verdictNames[v]
}

const (
	// A complete list that names less than this part of the endpoints before, of so many at least, is to be confirmed. Of fewer, half
	// may well go in one step.
	minRemainingShare  = 0.5
	minShrinkEndpoints = 4

	// confirmationWindow is for how long an unconfirmed list stands to be confirmed.
	confirmationWindow = 5 * second

	// firstPosition is the number of the first event after the service's own start.
	firstPosition = 1
)

// ListFilter decides which endpoint lists are believed. Unknown is not empty: a service that has just started, or lost its state, tells
// a complete list of no or few endpoints, and a router that believed it had nowhere to send requests. The zero value knows no list.
type ListFilter struct {
	endpoints  int // of the list in force
	position   int64
	generation int64 // the highest

	unconfirmed   ListSummary
	unconfirmedAt int64 // 0: no list is unconfirmed
}

// Evaluate returns what becomes of a list that came now, and puts it in force if that is Accept.
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

// Advance notes an event that is no list.
func (f *ListFilter) Advance(position int64) { f.position = max(f.position, position) }

// isFromRestartedService reports whether a service that numbers its events anew has a list that is not older. Its positions say
// nothing then; its generation does.
func (f *ListFilter) isFromRestartedService(next ListSummary) bool {
	return next.Position == firstPosition && next.Generation > f.generation
}

// confirms reports whether a list says again what the unconfirmed one said.
func (f *ListFilter) confirms(now int64, next ListSummary) bool {
	return f.unconfirmedAt > 0 && now-f.unconfirmedAt <= confirmationWindow && f.unconfirmed.sameContent(next)
}

func (f *ListFilter) shrinks(next ListSummary) bool {
	return f.endpoints >= minShrinkEndpoints && float64(next.Endpoints) < minRemainingShare*float64(f.endpoints)
}
