package start

// List is what a list of members says of itself.
type List struct {
	Position   int64  // the event's number
	Generation int64  // of the list, as the service counts; 0 is not told
	Whole      bool   // else changes to the one before
	Members    int    // named
	Ready      int    // of them
	Digest     uint64 // of its content
}

// Verdict is what becomes of a list.
type Verdict int

// The verdicts. Doubt keeps the list that is in force and asks again at once: what the service says a second time is used.
// Old is of before the one in force; it is dropped.
const (
	Use Verdict = iota
	Doubt
	Old
)

func (v Verdict) String() string { return []string{"use", "doubt", "old"}[v] }

const (
	shrinksMost  = 0.5        // part of the members a whole list may lack without being asked for again
	shrinksFrom  = 4          // members before; of fewer, half may well go in one step
	doubtStands  = 5 * second // for so long a doubted list stands to be confirmed
	restartsFrom = 1          // the number of the first event after the service's own start
)

// Lists decides which lists are believed. Unknown is not empty: a service that has just started, or lost what it knew,
// tells a whole list of nobody, or of few, and a router that believed it had nowhere to send anything.
type Lists struct {
	members  int // of the list in force
	position int64
	newest   int64 // generation
	doubted  List
	since    int64
}

// Judge says what becomes of a list.
func (l *Lists) Judge(now int64, next List) Verdict {
	again := l.since > 0 && now-l.since <= doubtStands && l.doubted.Digest == next.Digest && l.doubted.Members == next.Members
	switch {
	case !next.Whole:
		if next.Position <= l.position {
			return Old
		}
	case l.members == 0: // nothing is in force
	case next.Position <= l.position && !l.begunAnew(next):
		return Old
	case next.Ready == 0 && !again, l.shrinks(next) && !again:
		l.doubted, l.since = next, now
		return Doubt
	}
	if l.since = 0; next.Whole {
		l.members = next.Members
	} else {
		l.members = max(l.members, next.Members)
	}
	l.position, l.newest = next.Position, max(l.newest, next.Generation)
	return Use
}

// Passed notes an event that is no list.
func (l *Lists) Passed(position int64) { l.position = max(l.position, position) }

// begunAnew tells whether a service that counts from the first event again has a list that is not older: its numbers say
// nothing then, its generation does.
func (l *Lists) begunAnew(next List) bool {
	return next.Position == restartsFrom && next.Generation > l.newest
}

func (l *Lists) shrinks(next List) bool {
	return l.members >= shrinksFrom && float64(next.Members) < shrinksMost*float64(l.members)
}
