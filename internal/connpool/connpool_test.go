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

// Whatever comes and goes, and in whichever order it is named, the plan is the one that ranking all caches anew
// gives.
func TestSetEndpointsAgainstRankingAll(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	for play := range 100 {
		plan := New(Config{Router: fmt.Sprint("n", play), Seed: 1, Routers: 300, MaxConnections: 100, MaxConnectRate: 50})
		other := New(Config{Router: fmt.Sprint("n", play), Seed: 1, Routers: 300, MaxConnections: 100, MaxConnectRate: 50})
		var listed []string
		for step := range 100 {
			listed = slices.DeleteFunc(listed, func(string) bool { return rng.IntN(20) == 0 })
			for n := range rng.IntN(10) {
				listed = append(listed, fmt.Sprintf("s-%d-%d", step, n))
			}
			plan.SetEndpoints(int64(step), listed)
			rng.Shuffle(len(listed), func(a, b int) { listed[a], listed[b] = listed[b], listed[a] })
			other.SetEndpoints(int64(step), listed)
			ranked := slices.Clone(listed)
			slices.SortFunc(ranked, func(a, b string) int {
				return cmp.Compare(xxhash.Sum64String(plan.config.Router+"\x00"+a), xxhash.Sum64String(plan.config.Router+"\x00"+b))
			})
			if want := SubsetSize(300, len(ranked), 100); plan.SubsetSize != want || len(plan.ranking) != len(ranked) || len(plan.endpoints) != len(ranked) {
				t.Fatalf("%d of %d caches are kept, want %d of %d", plan.SubsetSize, len(plan.ranking), want, len(ranked))
			}
			for i, name := range ranked {
				if plan.ranking[i].name != name || plan.InSubset(name) != (i < plan.SubsetSize) || *plan.ranking[i] != *other.ranking[i] {
					t.Fatalf("step %d, place %d: %+v and %+v, want %s", step, i, plan.ranking[i], other.ranking[i], name)
				}
			}
		}
	}
}
