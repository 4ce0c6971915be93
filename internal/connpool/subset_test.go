package connpool

import (
	"fmt"
	"math"
	"slices"
	"testing"
)

// If a cache were in the subsets of too many routers, it would have to refuse connections. All caches must be in about
// the same number of subsets, and none in more than subsetShare of its connections.
func TestSubsetsAreEven(t *testing.T) {
	for _, test := range []struct{ routers, caches, maxConnections int }{
		{300, 40, 225},
		{300, 40, 60},
		{300, 200, 24},
		{1000, 40, 200},
		{5000, 200, 500},
	} {
		routersAt := map[string]int{} // by cache: number of routers that have it in their subset
		size := 0
		for i := range test.routers {
			plan := New(Config{Router: fmt.Sprint("n", i), Routers: test.routers, MaxConnections: test.maxConnections})
			plan.SetEndpoints(0, names(test.caches))
			for _, name := range names(test.caches) {
				if plan.InSubset(name) {
					routersAt[name]++
				}
			}
			size = plan.SubsetSize
		}
		if size == 0 || len(routersAt) != test.caches {
			t.Fatalf("%+v: subsets of size %d contain %d different caches, want all", test, size, len(routersAt))
		}
		for name, n := range routersAt {
			if float64(n) > subsetShare*float64(test.maxConnections) {
				t.Errorf("%+v: %s is in %d subsets, want at most %.0f",
					test, name, n, subsetShare*float64(test.maxConnections))
			}
			mean := float64(test.routers) * float64(size) / float64(test.caches)
			if float64(n) < mean-5*math.Sqrt(mean)-1 {
				t.Errorf("%+v: %s is in %d subsets, too few for the mean of %f", test, name, n, mean)
			}
		}
	}
}

// When one cache leaves the list, routers must keep nearly all of their connections: each subset loses at most one
// other cache and gains at most one.
func TestSubsetsAreStable(t *testing.T) {
	for i := range 200 {
		plan := New(Config{Router: fmt.Sprint("n", i), Routers: 300, MaxConnections: 60})
		all := names(40)
		plan.SetEndpoints(0, all)
		before := slices.DeleteFunc(slices.Clone(all), func(n string) bool { return !plan.InSubset(n) })
		plan.SetEndpoints(0, all[1:])
		removed, added := 0, 0
		for _, n := range all[1:] {
			switch had := slices.Contains(before, n); {
			case had && !plan.InSubset(n):
				removed++
			case !had && plan.InSubset(n):
				added++
			}
		}
		if removed > 1 || added > 1 {
			t.Fatalf("the subset lost %d of the other caches and gained %d, want at most 1 each", removed, added)
		}
	}
}
