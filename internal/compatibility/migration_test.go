package compatibility

import (
	"errors"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"

	"tealpath/internal/cluster/lease"
)

// Each step of a path between two random versions must change at most one voter, so that quorums before and after it
// share a voter. Only the last step may have an exclusive conflict.
func TestMigrationPath(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 8))
	names := []string{"a", "b", "c", "d", "e", "f", "g"}
	for range 2000 {
		from, to := exampleSettings(), exampleSettings()
		rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
		to.Voters = lease.Voters{Epoch: 4, Current: slices.Sorted(slices.Values(names[:1+rng.IntN(6)]))}
		if slices.Equal(to.Voters.Current, from.Voters.Current) {
			continue
		}
		to.Routers, to.Slots = 1+rng.IntN(400), 32<<rng.IntN(3)
		steps, err := MigrationPath(from, to)
		if err != nil {
			t.Fatal(err)
		}
		checkSteps(t, from, steps)
		end := steps[len(steps)-1]
		if !slices.Equal(end.Voters.Current, to.Voters.Current) {
			t.Fatalf("the path ends at voters %v, want %v", end.Voters.Current, to.Voters.Current)
		}
		end.Voters, to.Voters = lease.Voters{}, lease.Voters{}
		if !reflect.DeepEqual(end, to) {
			t.Fatalf("the path ends at %+v, want %+v", end, to)
		}
	}
}

// checkSteps fails the test if a step has invalid voters, or a conflict with the previous step that is not allowed at
// its place in the path.
func checkSteps(t *testing.T, from Settings, steps []Settings) {
	t.Helper()
	current := from
	for i, step := range steps {
		last := i == len(steps)-1
		for _, conflict := range Compare(current, step) {
			if conflict.Setting == "voters" || conflict.Severity == Exclusive && !last {
				t.Fatalf("step %d of %d has the conflict %v, which is not allowed there", i+1, len(steps), conflict)
			}
		}
		if err := step.Voters.Check(); err != nil {
			t.Fatalf("step %d of %d has invalid voters: %v", i+1, len(steps), err)
		}
		current = step
	}
}

func TestMigrationToEarlierEpochFails(t *testing.T) {
	earlier := exampleSettings()
	earlier.Voters.Epoch = 3
	_, err := MigrationPath(exampleSettings(), earlier)
	var order *EpochOrderError
	if !errors.As(err, &order) || order.From != 4 || order.To != 3 {
		t.Fatalf("error %v, want an *EpochOrderError from epoch 4 to 3", err)
	}
	if want := "voters of epoch 3 can't follow those of epoch 4"; err.Error() != want {
		t.Errorf("error text %q, want %q", err, want)
	}
}
