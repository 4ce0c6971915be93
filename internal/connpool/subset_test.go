package connpool

import (
	"fmt"
	"math"
	"slices"
	"testing"
)

// Each cache is in about as many subsets as any other, and never in more than its connections for them.
func TestSubsetsAreEven(t *testing.T) {
	for _, test := range []struct{ routers, caches, maxConnections int }{
		{300, 40, 225},
		{300, 40, 60},
		{300, 200, 24},
		{1000, 40, 200},
		{5000, 200, 500},
	} {
		routersAt := map[string]int{} // by cache
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
			t.Fatalf("%+v: %d of the caches are in subsets, which have %d each", test, len(routersAt), size)
		}
		for name, n := range routersAt {
			if float64(n) > subsetShare*float64(test.maxConnections) {
				t.Errorf("%+v: %s is in %d subsets", test, name, n)
			}
			mean := float64(test.routers) * float64(size) / float64(test.caches)
			if float64(n) < mean-5*math.Sqrt(mean)-1 {
				t.Errorf("%+v: %s is in %d subsets, %f in the mean", test, name, n, mean)
			}
		}
	}
}

// The removal of one cache changes a subset by at most one other cache.
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
			t.Fatalf("one cache less removed %d others and added %d", removed, added)
		}
	}
}
