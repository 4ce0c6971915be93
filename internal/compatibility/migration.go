package compatibility

import (
	"fmt"
	"reflect"
	"slices"

	"tealpath/internal/cluster/lease"
)

// EpochOrderError is a migration to voters of an earlier epoch.
type EpochOrderError struct{ From, To uint64 }

// Error names both epochs.
func (err *EpochOrderError) Error() string {
	return fmt.Sprintf("voters of epoch %d can't follow those of epoch %d", err.To, err.From)
}

// MigrationPath returns the versions by which one becomes another, the last one being the goal but for the
// voters' epoch. What is at most bounded comes first, in one step. Then voters change, one a step. What is
// exclusive comes last, in a step of its own, as all instances have to stop acting for it. An *EpochOrderError
// says that no steps lead there.
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

// migration is a path as far as it has been built.
type migration struct {
	current Settings
	steps   []Settings
}

// add appends a step, unless it changes nothing.
func (path *migration) add(next Settings) {
	if reflect.DeepEqual(path.current, next) {
		return
	}
	path.current = next
	path.steps = append(path.steps, next)
}

// changeVoters adds and removes voters, one a step. One more comes before one less, so that a quorum bears as
// many failures all the way as it did at the start.
func (path *migration) changeVoters(goal []string) {
	start := path.current.Voters.Current
	removed, added := difference(start, goal), difference(goal, start)
	for len(removed)+len(added) > 0 {
		voters := path.current.Voters
		names := slices.Clone(voters.Current)
		if len(added) > 0 && (len(names) <= len(start) || len(removed) == 0) {
			names, added = append(names, added[0]), added[1:]
		} else {
			gone := slices.Index(names, removed[0])
			names, removed = slices.Delete(names, gone, gone+1), removed[1:]
		}
		slices.Sort(names)

		next := path.current
		next.Voters = lease.Voters{Epoch: voters.Epoch + 1, Previous: slices.Clone(voters.Current), Current: names}
		path.add(next)
	}
}
