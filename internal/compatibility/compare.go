package compatibility

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"tealpath/internal/cluster/lease"
)

// These are the names of the settings in Conflict.Setting and SettingError.Setting.
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

// Severity says how much damage a conflict does while both versions are in force.
type Severity int

// Harmless conflicts do no damage. Bounded ones may last as long as a lease, because the rule that they affect allows
// for that time. Exclusive ones must not occur: no instance puts one of the versions in force as long as another
// instance may still act on the other one.
const (
	Harmless Severity = iota
	Bounded
	Exclusive
)

// String returns "harmless", "bounded" or "exclusive", as `tealpath diff` prints it.
func (severity Severity) String() string {
	return []string{"harmless", "bounded", "exclusive"}[severity]
}

// Rule is the number of a routing rule in docs/design.md.
type Rule int

// These are the rules that a conflict can affect; NoRule means that it affects none.
const (
	NoRule         Rule = 0
	RuleDrained    Rule = 3 // no new attempt goes to an endpoint that is draining or removed
	RuleColdBudget Rule = 4 // all routers together do not overload an endpoint that is warming up
	RulePurge      Rule = 5 // once the grace period of a purge is over, no older copy is served
)

// Conflict is a setting that differs between two versions, with the effect that the difference has while both are in
// force.
type Conflict struct {
	Setting  string
	Severity Severity
	Rule     Rule
	Reason   string
}

// String returns the conflict in one line, as `tealpath diff` prints it.
func (conflict Conflict) String() string {
	rule := ""
	if conflict.Rule != NoRule {
		rule = fmt.Sprintf(", rule %d", conflict.Rule)
	}
	return fmt.Sprintf("%s (%s%s): %s", conflict.Setting, conflict.Severity, rule, conflict.Reason)
}

// Compare returns the conflicts between two versions, the most severe ones first, or nil if there are none.
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

// WorstSeverity returns the highest severity of the conflicts, or Harmless if there are none.
func WorstSeverity(conflicts []Conflict) Severity {
	worst := Harmless
	for _, conflict := range conflicts {
		worst = max(worst, conflict.Severity)
	}
	return worst
}

// Incompatible reports whether two encoded versions must never be in force at the same time. It returns true and an
// error if one of them cannot be decoded, if the proposed version is invalid, or if its voters cannot follow the
// current ones. It implements sharedconfig.IncompatibleFunc.
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

// compareRouters returns a conflict if the numbers of routers differ. Each router divides the slow-start budgets by
// the number that it knows.
func compareRouters(a, b Settings) []Conflict {
	fewer, more := min(a.Routers, b.Routers), max(a.Routers, b.Routers)
	if fewer == more {
		return nil
	}
	return []Conflict{{settingRouters, Bounded, RuleColdBudget, fmt.Sprintf(
		"%d routers of which some divide by %d send %.2f of what a cold member bears",
		more, fewer, float64(more)/float64(max(1, fewer)))}}
}

// compareSlots returns a conflict if the numbers of slots differ, because periodic tasks then hash to different slots.
func compareSlots(a, b Settings) []Conflict {
	if a.Slots == b.Slots {
		return nil
	}
	return []Conflict{{settingSlots, Exclusive, NoRule, fmt.Sprintf(
		"a duty hashes to other slots of %d than of %d: it has two owners", a.Slots, b.Slots)}}
}

// compareLeases returns a conflict if the lease durations or the clock drifts differ.
func compareLeases(a, b Settings) []Conflict {
	if a.LeaseDuration == b.LeaseDuration && a.MaxClockDrift == b.MaxClockDrift {
		return nil
	}
	return []Conflict{{settingLease, Exclusive, NoRule, fmt.Sprintf(
		"a voter counts a holder in for %d ms at a drift of %g, another for %d ms at %g: one may outlast the other",
		milliseconds(a.LeaseDuration), a.MaxClockDrift, milliseconds(b.LeaseDuration), b.MaxClockDrift)}}
}

// compareVoters returns a conflict if the two sets of voters must not be in force at the same time.
func compareVoters(a, b Settings) []Conflict {
	reason := votersConflict(a.Voters, b.Voters)
	if reason == "" {
		return nil
	}
	return []Conflict{{settingVoters, Exclusive, NoRule, reason}}
}

// comparePurges returns a conflict if the versions enforce a purge for different times.
func comparePurges(a, b Settings) []Conflict {
	shorter, longer := min(a.PurgeWindow, b.PurgeWindow), max(a.PurgeWindow, b.PurgeWindow)
	if shorter == longer {
		return nil
	}
	return []Conflict{{settingPurge, Bounded, RulePurge, fmt.Sprintf(
		"who enforces a purge for %d ms may take a copy that others hold for purged until %d ms",
		milliseconds(shorter), milliseconds(longer))}}
}

// compareDrained returns one conflict for each endpoint that is drained in only one of the versions.
func compareDrained(a, b Settings) []Conflict {
	var conflicts []Conflict
	for _, name := range symmetricDifference(a.DrainedEndpoints, b.DrainedEndpoints) {
		reason := name + " is withdrawn in one alone"
		conflicts = append(conflicts, Conflict{settingDrained, Bounded, RuleDrained, reason})
	}
	return conflicts
}

// compareConnections returns a conflict if the connection limits of a cache differ.
func compareConnections(a, b Settings) []Conflict {
	if a.MaxConnections == b.MaxConnections {
		return nil
	}
	return []Conflict{{settingConnections, Harmless, NoRule, fmt.Sprintf(
		"a cache may be asked for more connections than the lower of %d and %d for a while, and refuses them",
		a.MaxConnections, b.MaxConnections)}}
}

// compareProbes returns a conflict if the periods of health checks differ.
func compareProbes(a, b Settings) []Conflict {
	if a.ProbePeriod == b.ProbePeriod {
		return nil
	}
	return []Conflict{{settingProbePeriod, Harmless, NoRule, "each target has one owner, which goes by its own"}}
}

// votersConflict returns why two sets of voters must not be in force at the same time, or "" if they may be. They may
// be if every quorum of one set shares a voter with every quorum of the other. That holds for equal sets, and for sets
// of consecutive epochs that differ by at most one voter.
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

// milliseconds converts a duration from ns to ms and truncates it toward zero.
func milliseconds(nanoseconds int64) int64 { return time.Duration(nanoseconds).Milliseconds() }

// symmetricDifference returns the sorted names that are in exactly one of two lists.
func symmetricDifference(a, b []string) []string {
	names := slices.Concat(difference(a, b), difference(b, a))
	slices.Sort(names)
	return slices.Compact(names)
}

// difference returns the sorted names that are in a and not in b.
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
