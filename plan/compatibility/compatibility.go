// Package compatibility says which settings that instances share may be in force side by side, which not and by which rule, what is
// safe while it is unknown which of several are in force, and by which steps one becomes another. It does no input or output,
// reads no clock. docs/agreement.md has the reasons.
package compatibility

import (
	"cmp"
	"fmt"
	"maps"
	"reflect"
	"slices"

	"tealpath/fleet/duty"
)

// Settings are what all instances of a fleet share. Spans are ns.
type Settings struct {
	Routers          int         `json:"Routers"`    // by which cold budgets are divided
	Slots            int         `json:"Slots"`      // to which duties hash
	LeaseDuration    int64       `json:"Lease"`      // of duties
	MaxClockDrift    float64     `json:"Drift"`      // of clocks, at most
	Voters           duty.Voters `json:"Voters"`     // who grant duties
	PurgeWindow      int64       `json:"PurgeTakes"` // for how long a told purge is enforced
	DrainedEndpoints []string    `json:"Withdrawn"`  // members that get nothing, whatever a list says
	MaxConnections   int         `json:"Holds"`      // connections that a cache holds; 0 is not said
	ProbePeriod      int64       `json:"ProbeEach"`  // period of probes; 0: none
}

// Severity is how bad it is that two settings are in force side by side.
type Severity int

// The degrees. Harmless costs nothing but order. Bounded may stand for the stated time T, as the rule has slack for it.
// Exclusive may never: no instance takes the one up before none can act on the other.
const (
	Harmless Severity = iota
	Bounded
	Exclusive
)

func (d Severity) String() string { return []string{"harmless", "bounded", "exclusive"}[d] }

// Conflict is one setting in which two versions differ.
type Conflict struct {
	Setting  string
	Severity Severity
	Rule     int // of the users' five; 0 is none of them
	Reason   string
}

func (c Conflict) String() string {
	rule := ""
	if c.Rule > 0 {
		rule = fmt.Sprintf(", rule %d", c.Rule)
	}
	return fmt.Sprintf("%s (%s%s): %s", c.Setting, c.Severity, rule, c.Reason)
}

// Compare says in which settings two versions differ, and how bad that is; the worst first.
func Compare(a, b Settings) (out []Conflict) {
	add := func(differs bool, setting string, degree Severity, rule int, why string, args ...any) {
		if differs {
			out = append(out, Conflict{setting, degree, rule, fmt.Sprintf(why, args...)})
		}
	}
	few, many := min(a.Routers, b.Routers), max(a.Routers, b.Routers)
	add(few != many, "routers", Bounded, 4, "%d routers of which some divide by %d send %.2f of what a cold member bears",
		many, few, float64(many)/float64(max(1, few)))
	add(a.Slots != b.Slots, "slots", Exclusive, 0, "a duty hashes to other slots of %d than of %d: it has two owners", a.Slots, b.Slots)
	add(a.LeaseDuration != b.LeaseDuration || a.MaxClockDrift != b.MaxClockDrift, "lease", Exclusive, 0,
		"a voter counts a holder in for %d ms at a drift of %g, another for %d ms at %g: one may outlast the other", a.LeaseDuration/1e6, a.MaxClockDrift, b.LeaseDuration/1e6, b.MaxClockDrift)
	if why := votersApart(a.Voters, b.Voters); why != "" {
		add(true, "voters", Exclusive, 0, "%s", why)
	}
	add(a.PurgeWindow != b.PurgeWindow, "purge-takes", Bounded, 5, "who enforces a purge for %d ms may take a copy that others hold for purged until %d ms",
		min(a.PurgeWindow, b.PurgeWindow)/1e6, max(a.PurgeWindow, b.PurgeWindow)/1e6)
	for _, name := range onlyOne(a.DrainedEndpoints, b.DrainedEndpoints) {
		add(true, "withdrawn", Bounded, 3, "%s is withdrawn in one alone", name)
	}
	add(a.MaxConnections != b.MaxConnections, "holds", Harmless, 0, "a cache may be asked for more connections than the lower of %d and %d for a while, and refuses them", a.MaxConnections, b.MaxConnections)
	add(a.ProbePeriod != b.ProbePeriod, "probe-period", Harmless, 0, "each target has one owner, which goes by its own")
	slices.SortStableFunc(out, func(x, y Conflict) int { return cmp.Compare(y.Severity, x.Severity) })
	return out
}

// WorstSeverity is the worst degree among conflicts.
func WorstSeverity(conflicts []Conflict) (worst Severity) {
	for _, c := range conflicts {
		worst = max(worst, c.Severity)
	}
	return worst
}

// votersApart says why two sets of voters can't stand side by side; empty is that they can: majorities of the two always meet.
func votersApart(a, b duty.Voters) string {
	if a.Epoch > b.Epoch {
		a, b = b, a
	}
	switch {
	case a.Epoch == b.Epoch && slices.Equal(a.Now, b.Now):
		return ""
	case a.Epoch == b.Epoch:
		return fmt.Sprintf("two sets of voters under epoch %d", a.Epoch)
	case b.Epoch > a.Epoch+1:
		return fmt.Sprintf("epoch %d does not follow epoch %d", b.Epoch, a.Epoch)
	case !sameSet(b.Before, a.Now):
		return fmt.Sprintf("epoch %d names others before it than epoch %d has", b.Epoch, a.Epoch)
	case len(onlyOne(a.Now, b.Now)) > 1:
		return fmt.Sprintf("epochs %d and %d differ by more than one voter", a.Epoch, b.Epoch)
	}
	return ""
}

// onlyOne is the names in one list alone, in order.
func onlyOne(a, b []string) []string {
	count := map[string]int{}
	for _, n := range slices.Compact(slices.Sorted(slices.Values(a))) {
		count[n]++
	}
	for _, n := range slices.Compact(slices.Sorted(slices.Values(b))) {
		count[n]++
	}
	maps.DeleteFunc(count, func(_ string, n int) bool { return n == 2 })
	return slices.Sorted(maps.Keys(count))
}

func sameSet(a, b []string) bool { return len(onlyOne(a, b)) == 0 }

// Conservative is what contradicts none of several versions that may be in force: whoever does not know which of them is acts on it.
// Settings that are exclusive have no floor: ok is false where versions differ in one, and then no duty is acted for.
func Conservative(versions ...Settings) (floor Settings, ok bool) {
	if len(versions) == 0 {
		return Settings{}, false
	}
	floor, ok = versions[0], true
	floor.DrainedEndpoints = slices.Clone(floor.DrainedEndpoints)
	for _, v := range versions[1:] {
		ok = ok && WorstSeverity(Compare(versions[0], v)) < Exclusive
		floor.Routers = max(floor.Routers, v.Routers)             // the smallest share
		floor.PurgeWindow = max(floor.PurgeWindow, v.PurgeWindow) // enforced for longest
		floor.DrainedEndpoints = append(floor.DrainedEndpoints, v.DrainedEndpoints...)
		floor.ProbePeriod = max(floor.ProbePeriod, v.ProbePeriod)
		switch {
		case floor.MaxConnections == 0:
			floor.MaxConnections = v.MaxConnections
		case v.MaxConnections > 0:
			floor.MaxConnections = min(floor.MaxConnections, v.MaxConnections)
		}
	}
	floor.DrainedEndpoints = slices.Compact(slices.Sorted(slices.Values(floor.DrainedEndpoints)))
	return floor, ok
}

// MigrationPath is the versions by which one becomes another so that each step but exclusive ones is at most bounded: voters change by
// one at a time. Exclusive settings come last, in a step of their own. An error says what no steps can do.
func MigrationPath(from, to Settings) (steps []Settings, err error) {
	if to.Voters.Epoch < from.Voters.Epoch {
		return nil, fmt.Errorf("voters of epoch %d can't follow those of epoch %d", to.Voters.Epoch, from.Voters.Epoch)
	}
	at := from
	take := func(next Settings) {
		if !reflect.DeepEqual(at, next) {
			steps, at = append(steps, next), next
		}
	}
	next := to
	next.Voters, next.Slots, next.LeaseDuration, next.MaxClockDrift = from.Voters, from.Slots, from.LeaseDuration, from.MaxClockDrift
	take(next)
	lost, gained := minus(from.Voters.Now, to.Voters.Now), minus(to.Voters.Now, from.Voters.Now)
	for len(lost)+len(gained) > 0 { // one more before one less, so that a majority bears as many failures all the way
		v := duty.Voters{Epoch: at.Voters.Epoch + 1, Before: slices.Clone(at.Voters.Now), Now: slices.Clone(at.Voters.Now)}
		if len(gained) > 0 && len(v.Now) <= len(from.Voters.Now) {
			v.Now, gained = append(v.Now, gained[0]), gained[1:]
		} else if len(lost) > 0 {
			v.Now = slices.DeleteFunc(v.Now, func(n string) bool { return n == lost[0] })
			lost = lost[1:]
		} else {
			v.Now, gained = append(v.Now, gained[0]), gained[1:]
		}
		slices.Sort(v.Now)
		next = at
		next.Voters = v
		take(next)
	}
	next = to
	next.Voters = at.Voters
	take(next)
	return steps, nil
}

func minus(a, b []string) (out []string) {
	for _, n := range a {
		if !slices.Contains(b, n) {
			out = append(out, n)
		}
	}
	slices.Sort(out)
	return out
}
