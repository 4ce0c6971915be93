package membership

import (
	"cmp"
	"math"
	"slices"

	"tealpath/internal/cluster/timing"
)

// noTime is the next time of a part that has nothing to do: later than any other.
const noTime = int64(math.MaxInt64)

// State is what is believed of a member.
type State int

// The states. Unheard is a configured member that has not been heard of yet.
const (
	Unheard State = iota
	Alive
	Dead
	Left
)

// String is the state as logs and `tealpath members` print it.
func (state State) String() string { return []string{"unheard", "alive", "dead", "left"}[state] }

// Member is what is believed of one member.
type Member struct {
	Entry
	State   State
	Since   int64    // when it got into this state
	HeardAt int64    // when it last said something new, or sent a heartbeat here; 0 is never
	Reports []Report // that count, by observer
	HeldOut bool     // alive, but held out of the view handed on, as it keeps dying
}

// What a Change of the own instance says.
const (
	ReasonAway       = "away"        // this instance did nothing for longer than an interval
	ReasonCutOff     = "cut off"     // nothing is heard from any neighbour
	ReasonHeardAgain = "heard again" // neighbours are heard again
)

// Change reports that what is believed of a member has changed. Of the own instance it tells one of the reasons
// above.
type Change struct {
	Member
	Previous State
	Reason   string
}

// incarnations are the starts under one name: when each was last known to be there.
type incarnations map[uint64]int64

// observe notes a start, unless there are too many to keep apart.
func (starts incarnations) observe(now int64, incarnation uint64) (kept bool) {
	if _, known := starts[incarnation]; !known && len(starts) >= maxIncarnations {
		return false
	}
	starts[incarnation] = now
	return true
}

// forget drops the starts but the present one that were last there longer ago than a length of time.
func (starts incarnations) forget(now, age int64, present uint64) {
	for incarnation, at := range starts {
		if incarnation != present && now-at > age {
			delete(starts, incarnation)
		}
	}
}

// receivedReport is a report with when it came.
type receivedReport struct {
	Report
	at int64
}

// record is one member in the table.
type record struct {
	Member
	configured   bool
	incarnations incarnations
	reports      map[string]receivedReport // by observer
	confirmSince int64                     // since when most observers report it, or never
	deathClaims  map[string]bool           // neighbours that believe it dead
	deaths       []int64                   // when it was believed dead, of late
	link         *link                     // nil: it is no neighbour
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

// member is a copy with the reports that are kept.
func (member *record) member() Member {
	copied := member.Member
	for _, report := range member.reports {
		copied.Reports = append(copied.Reports, report.Report)
	}
	slices.SortFunc(copied.Reports, func(a, b Report) int { return cmp.Compare(a.Observer, b.Observer) })
	return copied
}

// announcement is the entry as it is passed on.
func (member *record) announcement() Entry {
	entry := member.Entry
	entry.Dead = member.State == Dead
	return entry
}

// countPresent counts the starts under the name that may be there.
func (member *record) countPresent(now, timeout int64) int {
	count := 0
	for incarnation, at := range member.incarnations {
		if now-at <= timeout || incarnation == member.Incarnation && member.State == Alive {
			count++
		}
	}
	return count
}

// holdOut is for how long a member must have been alive to count, ns: one that has died twice of late must
// stay for longer each time, as a link that flaps is no link.
func (member *record) holdOut(interval int64) int64 {
	const maxShift = 10 // far above the limit
	deaths := len(member.deaths)
	if deaths < 2 {
		return 0
	}
	return min(int64(1)<<min(deaths, maxShift), maxHoldOut) * interval
}
