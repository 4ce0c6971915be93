package membership

import (
	"cmp"
	"math"
	"slices"

	"tealpath/internal/cluster/timing"
)

// noTime is the next due time of a component that has nothing to do. It is later than any other time.
const noTime = int64(math.MaxInt64)

// State is the state of a member as this instance sees it.
type State int

// The states. An Unheard member is known, usually from the configuration, but no entry of it has arrived yet. A
// member in the state Left has announced its shutdown.
const (
	Unheard State = iota
	Alive
	Dead
	Left
)

// String returns the state as logs and `tealpath members` print it.
func (state State) String() string { return []string{"unheard", "alive", "dead", "left"}[state] }

// Member is another instance as this instance sees it.
type Member struct {
	Entry
	State   State
	Since   int64    // when it entered this state
	HeardAt int64    // when a new entry of it or a heartbeat from it last arrived; 0: never
	Reports []Report // of its observers, sorted by observer
	HeldOut bool     // alive, but left out of the published view because it keeps failing
}

// Reasons of a Change of this instance's own condition.
const (
	ReasonAway        = "away"        // this instance did not run for an interval or longer
	ReasonCutOff      = "cut off"     // no heartbeats arrive from any neighbour
	ReasonReconnected = "heard again" // heartbeats from neighbours arrive again
)

// Change is a change of a member's state, or of this instance's own condition. In the second case Reason is one
// of the reasons above.
type Change struct {
	Member
	Previous State
	Reason   string
}

// incarnations holds the incarnations seen under one name, each with the time when it was last seen.
type incarnations map[uint64]int64

// observe records that an incarnation was seen, unless too many others are recorded.
func (seen incarnations) observe(now int64, incarnation uint64) (kept bool) {
	if _, known := seen[incarnation]; !known && len(seen) >= maxIncarnations {
		return false
	}
	seen[incarnation] = now
	return true
}

// forget drops the incarnations, except the present one, that were last seen more than age ago.
func (seen incarnations) forget(now, age int64, present uint64) {
	for incarnation, at := range seen {
		if incarnation != present && now-at > age {
			delete(seen, incarnation)
		}
	}
}

// receivedReport is a report with its time of arrival.
type receivedReport struct {
	Report
	at int64
}

// record is a member in the table.
type record struct {
	Member
	configured   bool // it is a contact of the configuration
	incarnations incarnations
	reports      map[string]receivedReport // by observer
	confirmSince int64                     // since when most observers report it, or timing.Never
	deathClaims  map[string]bool           // peers whose entries say that it is dead
	deaths       []int64                   // times at which it was marked as dead, within flapWindow
	link         *link                     // nil: none
}

func newRecord(now int64, name string) *record {
	return &record{
		Member:       Member{Since: now, Entry: Entry{Name: name}},
		incarnations: incarnations{},
		reports:      map[string]receivedReport{},
		deathClaims:  map[string]bool{},
		confirmSince: timing.Never,
	}
}

// member returns a copy of the member with its reports.
func (member *record) member() Member {
	copied := member.Member
	for _, report := range member.reports {
		copied.Reports = append(copied.Reports, report.Report)
	}
	slices.SortFunc(copied.Reports, func(a, b Report) int { return cmp.Compare(a.Observer, b.Observer) })
	return copied
}

// announcement returns the member's entry as it is passed on.
func (member *record) announcement() Entry {
	entry := member.Entry
	entry.Dead = member.State == Dead
	return entry
}

// countPresent counts the incarnations under the name that may be running: those seen within timeout, and the
// present one of a live member.
func (member *record) countPresent(now, timeout int64) int {
	count := 0
	for incarnation, at := range member.incarnations {
		if now-at <= timeout || incarnation == member.Incarnation && member.State == Alive {
			count++
		}
	}
	return count
}

// holdOut returns how long a member must have been alive before it is in the published view, ns. After two deaths
// within flapWindow the time doubles with each death, because a member with a flapping link is of no use.
func (member *record) holdOut(interval int64) int64 {
	const maxShift = 10 // prevents overflow; maxHoldOut is reached before
	deaths := len(member.deaths)
	if deaths < 2 {
		return 0
	}
	return min(int64(1)<<min(deaths, maxShift), maxHoldOut) * interval
}
