package connpool

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"
)

func names(n int) (out []string) {
	for i := range n {
		out = append(out, fmt.Sprintf("s-%03d", i))
	}
	return out
}

// The ranking is updated for each change of the list. If an update left a cache at the wrong rank, the subset of the
// plan would differ from the subset of a router that has just started.
func TestSetEndpointsEqualsRankingAllCaches(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	for run := range 100 {
		config := Config{
			Router:         fmt.Sprint("n", run),
			Seed:           1,
			Routers:        300,
			MaxConnections: 100,
			MaxConnectRate: 50,
		}
		plan, shuffled := New(config), New(config)
		var listed []string
		for step := range 100 {
			listed = slices.DeleteFunc(listed, func(string) bool { return rng.IntN(20) == 0 })
			for n := range rng.IntN(10) {
				listed = append(listed, fmt.Sprintf("s-%d-%d", step, n))
			}
			plan.SetEndpoints(int64(step), listed)
			rng.Shuffle(len(listed), func(a, b int) { listed[a], listed[b] = listed[b], listed[a] })
			shuffled.SetEndpoints(int64(step), listed)
			comparePlan(t, plan, listed)
			for rank, endpoint := range plan.ranking {
				if *endpoint != *shuffled.ranking[rank] {
					t.Fatalf("step %d, rank %d: %+v, but %+v if the list is in another order",
						step, rank, endpoint, shuffled.ranking[rank])
				}
			}
		}
	}
}

// comparePlan fails the test unless the ranking and the subset of a plan are those of the listed caches in the order
// of their hashes.
func comparePlan(t *testing.T, plan *Plan, listed []string) {
	t.Helper()
	ranked := slices.Clone(listed)
	score := func(name string) uint64 { return xxhash.Sum64String(plan.config.Router + "\x00" + name) }
	slices.SortFunc(ranked, func(a, b string) int { return cmp.Compare(score(a), score(b)) })
	size := SubsetSize(plan.config.Routers, len(ranked), plan.config.MaxConnections)
	if plan.SubsetSize != size || len(plan.ranking) != len(ranked) || len(plan.endpoints) != len(ranked) {
		t.Fatalf("%d of %d caches are in the subset, want %d of %d",
			plan.SubsetSize, len(plan.ranking), size, len(ranked))
	}
	for rank, name := range ranked {
		if plan.ranking[rank].name != name || plan.InSubset(name) != (rank < plan.SubsetSize) {
			t.Fatalf("rank %d: %+v, want %s, in the subset: %v",
				rank, plan.ranking[rank], name, rank < plan.SubsetSize)
		}
	}
}
