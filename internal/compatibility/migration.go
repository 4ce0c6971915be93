package compatibility

import (
	"fmt"
	"reflect"
	"slices"

	"tealpath/internal/cluster/lease"
)

// EpochOrderError reports that the voters of the target version have the epoch To, which is before From, the epoch of
// the current voters.
type EpochOrderError struct{ From, To uint64 }

// Error returns a text with both epochs.
func (err *EpochOrderError) Error() string {
	return fmt.Sprintf("voters of epoch %d can't follow those of epoch %d", err.To, err.From)
}

// MigrationPath returns the versions to put in force one after another to get from one version to a target. The last
// of them equals the target, except that its voters may have another epoch. The first step makes all changes whose
// conflicts are at most bounded. In the next steps the voters change, one in each step. The last step makes the
// changes with exclusive conflicts, because no instance may still act under the old version when it takes effect.
// MigrationPath returns an *EpochOrderError if the target's voters have an earlier epoch.
func MigrationPath(from, to Settings) ([]Settings, error) {
	if to.Voters.Epoch < from.Voters.Epoch {
		return nil, &EpochOrderError{From: from.Voters.Epoch, To: to.Voters.Epoch}
	}
	path := migration{current: from}

	bounded := to
	bounded.Voters, bounded.Slots = from.Voters, from.Slots
	bounded.LeaseDuration, bounded.MaxClockDrift = from.LeaseDuration, from.MaxClockDrift
	path.add(bounded)

	path.changeVoters(to.Voters.Current)

	exclusive := to
	exclusive.Voters = path.current.Voters
	path.add(exclusive)
	return path.steps, nil
}

// migration is a migration path that is being computed.
type migration struct {
	current Settings // version after the latest step, or the start if there is none
	steps   []Settings
}

// add appends a step to a version, unless the version equals the current one.
func (path *migration) add(next Settings) {
	if reflect.DeepEqual(path.current, next) {
		return
	}
	path.current = next
	path.steps = append(path.steps, next)
}

// changeVoters appends steps that each add or remove one voter, until the voters are those of goal. A voter is added
// before another is removed, so that at every step a quorum tolerates at least as many failures as at the start,
// unless goal has fewer voters.
func (path *migration) changeVoters(goal []string) {
	start := path.current.Voters.Current
	removed, added := difference(start, goal), difference(goal, start)
	for len(removed)+len(added) > 0 {
		voters := path.current.Voters
		names := slices.Clone(voters.Current)
		if len(added) > 0 && (len(names) <= len(start) || len(removed) == 0) {
			names, added = append(names, added[0]), added[1:]
		} else {
			index := slices.Index(names, removed[0])
			names, removed = slices.Delete(names, index, index+1), removed[1:]
		}
		slices.Sort(names)

		next := path.current
		next.Voters = lease.Voters{Epoch: voters.Epoch + 1, Previous: slices.Clone(voters.Current), Current: names}
		path.add(next)
	}
}
