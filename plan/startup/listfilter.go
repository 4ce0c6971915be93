package startup

// ListSummary is what a list of members says of itself.
type ListSummary struct {
	Position       int64  // the event's number
	Generation     int64  // of the list, as the service counts; 0 is not told
	Complete       bool   // else changes to the one before
	Endpoints      int    // named
	ReadyEndpoints int    // of them
	Digest         uint64 // of its content
}

// Verdict is what becomes of a list.
type Verdict int

// The verdicts. Unconfirmed keeps the list that is in force and asks again at once: what the service says a second time is used.
// Stale is of before the one in force; it is dropped.
const (
	Accept Verdict = iota
	Unconfirmed
	Stale
)

func (v Verdict) String() string { return []string{"use", "doubt", "old"}[v] }

const (
	shrinksMost  = 0.5        // part of the members a whole list may lack without being asked for again
	shrinksFrom  = 4          // members before; of fewer, half may well go in one step
	doubtStands  = 5 * second // for so long a doubted list stands to be confirmed
	restartsFrom = 1          // the number of the first event after the service's own start
)

// ListFilter decides which lists are believed. Unknown is not empty: a service that has just started, or lost what it knew,
// tells a whole list of nobody, or of few, and a router that believed it had nowhere to send anything.
type ListFilter struct {
	members  int // of the list in force
	position int64
	newest   int64 // generation
	doubted  ListSummary
	since    int64
}

// Evaluate says what becomes of a list.
func (l *ListFilter) Evaluate(now int64, next ListSummary) Verdict {
	again := l.since > 0 && now-l.since <= doubtStands && l.doubted.Digest == next.Digest && l.doubted.Endpoints == next.Endpoints
	switch {
	case !next.Complete:
		if next.Position <= l.position {
			return Stale
		}
	case l.members == 0: // nothing is in force
	case next.Position <= l.position && !l.begunAnew(next):
		return Stale
	case next.ReadyEndpoints == 0 && !again, l.shrinks(next) && !again:
		l.doubted, l.since = next, now
		return Unconfirmed
	}
	if l.since = 0; next.Complete {
		l.members = next.Endpoints
	} else {
		l.members = max(l.members, next.Endpoints)
	}
	l.position, l.newest = next.Position, max(l.newest, next.Generation)
	return Accept
}

// Advance notes an event that is no list.
func (l *ListFilter) Advance(position int64) { l.position = max(l.position, position) }

// begunAnew tells whether a service that counts from the first event again has a list that is not older: its numbers say
// nothing then, its generation does.
func (l *ListFilter) begunAnew(next ListSummary) bool {
	return next.Position == restartsFrom && next.Generation > l.newest
}

func (l *ListFilter) shrinks(next ListSummary) bool {
	return l.members >= shrinksFrom && float64(next.Endpoints) < shrinksMost*float64(l.members)
}
