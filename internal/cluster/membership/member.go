package membership

import (
	"cmp"
	"math"
	"slices"

	"tealpath/internal/cluster/timing"
)

// noTime is the next due time of a component that has nothing to do. It is later than any other time.
const noTime = int64(math.MaxInt64)

// State is what this instance believes about a member.
type State int

// The states of a member. Unheard: it is known, usually from the configuration, but no entry of it has arrived yet.
// Left: it has announced its shutdown.
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
	Since   int64    // when the member entered this state
	HeardAt int64    // when a newer entry of the member, or a heartbeat from it, last arrived; 0: never
	Reports []Report // reports about the member, sorted by observer
	HeldOut bool     // alive, but not in the published view because it keeps failing
}

// These are the values of Change.Reason for a change of this instance's own condition.
const (
	ReasonAway        = "away"        // this instance was paused for a heartbeat interval or longer
	ReasonCutOff      = "cut off"     // all watched neighbours are silent
	ReasonReconnected = "heard again" // ReasonCutOff no longer holds
)

// Change is a change of a member's state or of this instance's own condition. In the second case, Member has this
// instance's entry and Reason is one of the constants above.
type Change struct {
	Member
	Previous State
	Reason   string
}

// incarnations holds the incarnations seen under one name and, for each, the time when it was last seen.
type incarnations map[uint64]int64

// observe records that an incarnation was seen now. It returns false and records nothing if the incarnation is new and
// maxIncarnations others are recorded.
func (seen incarnations) observe(now int64, incarnation uint64) (kept bool) {
	if _, known := seen[incarnation]; !known && len(seen) >= maxIncarnations {
		return false
	}
	seen[incarnation] = now
	return true
}

// forget removes the incarnations, except present, that were last seen more than age ns ago.
func (seen incarnations) forget(now, age int64, present uint64) {
	for incarnation, at := range seen {
		if incarnation != present && now-at > age {
			delete(seen, incarnation)
		}
	}
}

// receivedReport is a report with the time at which it arrived here.
type receivedReport struct {
	Report
	at int64
}

// record holds all that a table knows about one member.
type record struct {
	Member
	configured   bool // the configuration names the member as a contact
	incarnations incarnations
	reports      map[string]receivedReport // by observer: its latest report about the member
	confirmSince int64                     // since when most observers have reported it; timing.Never: they do not
	deathClaims  map[string]bool           // names of peers that claim that the member is dead
	deaths       []int64                   // when it was marked as dead, within flapWindow
	link         *link                     // nil: no heartbeats are exchanged with the member
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

// member returns the exported part of the record, with a copy of the reports.
func (member *record) member() Member {
	copied := member.Member
	for _, report := range member.reports {
		copied.Reports = append(copied.Reports, report.Report)
	}
	slices.SortFunc(copied.Reports, func(a, b Report) int { return cmp.Compare(a.Observer, b.Observer) })
	return copied
}

// announcement returns the member's entry as this instance passes it on, marked as dead if the member is believed
// dead.
func (member *record) announcement() Entry {
	entry := member.Entry
	entry.Dead = member.State == Dead
	return entry
}

// countPresent counts the incarnations under the member's name that may be running: those seen within the last timeout
// ns and, if the member is alive, its present one.
func (member *record) countPresent(now, timeout int64) int {
	count := 0
	for incarnation, at := range member.incarnations {
		if now-at <= timeout || incarnation == member.Incarnation && member.State == Alive {
			count++
		}
	}
	return count
}

// holdOut returns how long a member must have been alive before it returns to the published view, ns. It is 0 unless
// the member died twice within flapWindow, and doubles with each further death up to maxHoldOut intervals, because a
// member that keeps failing is of no use.
func (member *record) holdOut(interval int64) int64 {
	const maxShift = 10 // prevents an overflow; maxHoldOut is reached at fewer deaths
	deaths := len(member.deaths)
	if deaths < 2 {
		return 0
	}
	return min(int64(1)<<min(deaths, maxShift), maxHoldOut) * interval
}
