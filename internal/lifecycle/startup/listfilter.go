package startup

import "fmt"

// ListSummary is what an endpoint list says of itself.
type ListSummary struct {
	Position       int64  // number of its event
	Generation     int64  // of the list, as the service counts; 0 is not known
	Complete       bool   // it names all endpoints; else only what changed
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
	Unconfirmed                // the one before stays in force, until the service sends the same list again
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
	// A complete list that names less than this share of the endpoints before is to be confirmed, if there were
	// at least so many. Of fewer, half may well be removed at once.
	minRemainingShare  = 0.5
	minShrinkEndpoints = 4

	// confirmationWindow is how long an unconfirmed list can be confirmed.
	confirmationWindow = 5 * second

	// firstPosition is the number of the first event after the service's own start.
	firstPosition = 1
)

// ListFilter decides which endpoint lists are put in force. A service that has just started or lost its state
// may send a complete list of no or few endpoints; a router that went by it would have nowhere to send
// requests. The zero value knows no list.
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

// isFromRestartedService reports whether a list is the first of a service that numbers its events anew.
// Positions can't be compared then; the list is newer if its generation is higher.
func (f *ListFilter) isFromRestartedService(next ListSummary) bool {
	return next.Position == firstPosition && next.Generation > f.generation
}

// confirms reports whether a list has the same content as the unconfirmed one before it.
func (f *ListFilter) confirms(now int64, next ListSummary) bool {
	return f.unconfirmedAt > 0 && now-f.unconfirmedAt <= confirmationWindow && f.unconfirmed.sameContent(next)
}

func (f *ListFilter) shrinks(next ListSummary) bool {
	return f.endpoints >= minShrinkEndpoints && float64(next.Endpoints) < minRemainingShare*float64(f.endpoints)
}
