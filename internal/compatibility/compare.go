package compatibility

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"tealpath/internal/cluster/lease"
)

// The settings as conflicts and errors name them.
const (
	settingRouters     = "routers"
	settingSlots       = "slots"
	settingLease       = "lease"
	settingDrift       = "drift"
	settingVoters      = "voters"
	settingPurge       = "purge-takes"
	settingDrained     = "withdrawn"
	settingConnections = "holds"
	settingProbePeriod = "probe-period"
)

// Severity is how bad it is that two versions are in force side by side.
type Severity int

// The severities. Harmless costs nothing. Bounded may last as long as a lease, because the rule that it touches
// allows for that time. Exclusive may not happen at all: no instance puts the one version in force before none
// can act on the other.
const (
	Harmless Severity = iota
	Bounded
	Exclusive
)

// String is the severity in lower case, as `tealpath diff` prints it.
func (severity Severity) String() string {
	return []string{"harmless", "bounded", "exclusive"}[severity]
}

// Rule is the number of the routing rule that a conflict touches (docs/design.md).
type Rule int

// The rules that shared settings can touch; NoRule is a conflict that touches none.
const (
	NoRule         Rule = 0
	RuleDrained    Rule = 3 // no new attempt goes to an endpoint that is draining or removed
	RuleColdBudget Rule = 4 // all routers together stay within the capacity of an endpoint that is warming up
	RulePurge      Rule = 5 // after a purge's grace no older copy is served
)

// Conflict is one setting in which two versions differ.
type Conflict struct {
	Setting  string
	Severity Severity
	Rule     Rule
	Reason   string
}

// String is the conflict on one line, as `tealpath diff` prints it.
func (conflict Conflict) String() string {
	rule := ""
	if conflict.Rule != NoRule {
		rule = fmt.Sprintf(", rule %d", conflict.Rule)
	}
	return fmt.Sprintf("%s (%s%s): %s", conflict.Setting, conflict.Severity, rule, conflict.Reason)
}

// Compare returns the conflicts of two versions, the worst first.
func Compare(a, b Settings) []Conflict {
	var conflicts []Conflict
	for _, compare := range []func(a, b Settings) []Conflict{
		compareRouters, compareSlots, compareLeases, compareVoters,
		comparePurges, compareDrained, compareConnections, compareProbes,
	} {
		conflicts = append(conflicts, compare(a, b)...)
	}
	slices.SortStableFunc(conflicts, func(x, y Conflict) int { return cmp.Compare(y.Severity, x.Severity) })
	return conflicts
}

// WorstSeverity is the highest severity among conflicts; without any it is Harmless.
func WorstSeverity(conflicts []Conflict) Severity {
	worst := Harmless
	for _, conflict := range conflicts {
		worst = max(worst, conflict.Severity)
	}
	return worst
}

// Incompatible tells whether two encoded versions may never be in force at once; err says why the proposed one
// can't be in force at all. internal/cluster/sharedconfig judges versions by it.
func Incompatible(current, proposed []byte) (incompatible bool, err error) {
	before, err := Decode(current)
	if err != nil {
		return true, err
	}
	after, err := Decode(proposed)
	if err != nil {
		return true, err
	}
	if err := after.Validate(); err != nil {
		return true, err
	}
	if after.Voters.Epoch != before.Voters.Epoch {
		if reason := votersConflict(before.Voters, after.Voters); reason != "" {
			return true, &SettingError{settingVoters, after.Voters.Current, reason}
		}
	}
	return WorstSeverity(Compare(before, after)) == Exclusive, nil
}

func compareRouters(a, b Settings) []Conflict {
	fewer, more := min(a.Routers, b.Routers), max(a.Routers, b.Routers)
	if fewer == more {
		return nil
	}
	return []Conflict{{settingRouters, Bounded, RuleColdBudget, fmt.Sprintf(
		"%d routers of which some divide by %d send %.2f of what a cold member bears",
		more, fewer, float64(more)/float64(max(1, fewer)))}}
}

func compareSlots(a, b Settings) []Conflict {
	if a.Slots == b.Slots {
		return nil
	}
	return []Conflict{{settingSlots, Exclusive, NoRule, fmt.Sprintf(
		"a duty hashes to other slots of %d than of %d: it has two owners", a.Slots, b.Slots)}}
}

func compareLeases(a, b Settings) []Conflict {
	if a.LeaseDuration == b.LeaseDuration && a.MaxClockDrift == b.MaxClockDrift {
		return nil
	}
	return []Conflict{{settingLease, Exclusive, NoRule, fmt.Sprintf(
		"a voter counts a holder in for %d ms at a drift of %g, another for %d ms at %g: one may outlast the other",
		milliseconds(a.LeaseDuration), a.MaxClockDrift, milliseconds(b.LeaseDuration), b.MaxClockDrift)}}
}

func compareVoters(a, b Settings) []Conflict {
	reason := votersConflict(a.Voters, b.Voters)
	if reason == "" {
		return nil
	}
	return []Conflict{{settingVoters, Exclusive, NoRule, reason}}
}

func comparePurges(a, b Settings) []Conflict {
	shorter, longer := min(a.PurgeWindow, b.PurgeWindow), max(a.PurgeWindow, b.PurgeWindow)
	if shorter == longer {
		return nil
	}
	return []Conflict{{settingPurge, Bounded, RulePurge, fmt.Sprintf(
		"who enforces a purge for %d ms may take a copy that others hold for purged until %d ms",
		milliseconds(shorter), milliseconds(longer))}}
}

func compareDrained(a, b Settings) []Conflict {
	var conflicts []Conflict
	for _, name := range symmetricDifference(a.DrainedEndpoints, b.DrainedEndpoints) {
		reason := name + " is withdrawn in one alone"
		conflicts = append(conflicts, Conflict{settingDrained, Bounded, RuleDrained, reason})
	}
	return conflicts
}

func compareConnections(a, b Settings) []Conflict {
	if a.MaxConnections == b.MaxConnections {
		return nil
	}
	return []Conflict{{settingConnections, Harmless, NoRule, fmt.Sprintf(
		"a cache may be asked for more connections than the lower of %d and %d for a while, and refuses them",
		a.MaxConnections, b.MaxConnections)}}
}

func compareProbes(a, b Settings) []Conflict {
	if a.ProbePeriod == b.ProbePeriod {
		return nil
	}
	return []Conflict{{settingProbePeriod, Harmless, NoRule, "each target has one owner, which goes by its own"}}
}

// votersConflict says why two sets of voters can't be in force side by side. It is empty where they can: where
// any majority of the one meets any majority of the other, as at epochs next to each other that differ by one
// voter.
func votersConflict(a, b lease.Voters) string {
	older, newer := a, b
	if older.Epoch > newer.Epoch {
		older, newer = newer, older
	}
	switch {
	case older.Epoch == newer.Epoch && slices.Equal(older.Current, newer.Current):
		return ""
	case older.Epoch == newer.Epoch:
		return fmt.Sprintf("two sets of voters under epoch %d", older.Epoch)
	case newer.Epoch > older.Epoch+1:
		return fmt.Sprintf("epoch %d does not follow epoch %d", newer.Epoch, older.Epoch)
	case len(symmetricDifference(newer.Previous, older.Current)) > 0:
		return fmt.Sprintf("epoch %d names others before it than epoch %d has", newer.Epoch, older.Epoch)
	case len(symmetricDifference(older.Current, newer.Current)) > 1:
		return fmt.Sprintf("epochs %d and %d differ by more than one voter", older.Epoch, newer.Epoch)
	}
	return ""
}

// milliseconds converts a length of time in ns, cutting off what is under a millisecond.
func milliseconds(nanoseconds int64) int64 { return time.Duration(nanoseconds).Milliseconds() }

// symmetricDifference returns the names that are in one list alone, sorted.
func symmetricDifference(a, b []string) []string {
	names := slices.Concat(difference(a, b), difference(b, a))
	slices.Sort(names)
	return slices.Compact(names)
}

// difference returns the names of a that are not in b, sorted.
func difference(a, b []string) []string {
	var names []string
	for _, name := range a {
		if !slices.Contains(b, name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
