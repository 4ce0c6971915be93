package connpool

import (
	"fmt"
	"math"
	"slices"
	"testing"
)

// Each cache is in about as many subsets as any other, and never in more than its connections for them.
func TestSubsetsAreEven(t *testing.T) {
	for _, c := range []struct{ routers, caches, holds int }{{300, 40, 225}, {300, 40, 60}, {300, 200, 24}, {1000, 40, 200}, {5000, 200, 500}} {
		load := map[string]int{}
		kept := 0
		for i := range c.routers {
			p := New(Config{Router: fmt.Sprint("n", i), Routers: c.routers, MaxConnections: c.holds})
			p.SetEndpoints(0, names(c.caches))
			for _, name := range names(c.caches) {
				if p.InSubset(name) {
					load[name]++
				}
			}
			kept = p.SubsetSize
		}
		if kept == 0 || len(load) != c.caches {
			t.Fatalf("%+v: %d of the caches are kept by anyone, %d by each", c, len(load), kept)
		}
		for name, n := range load {
			if float64(n) > subsetShare*float64(c.holds) {
				t.Errorf("%+v: %s is kept by %d routers", c, name, n)
			}
			if mean := float64(c.routers) * float64(kept) / float64(c.caches); float64(n) < mean-5*math.Sqrt(mean)-1 {
				t.Errorf("%+v: %s is kept by %d routers, %f in the mean", c, name, n, mean)
			}
		}
	}
}

// A cache that comes or goes changes a subset by itself alone.
func TestSubsetsAreStable(t *testing.T) {
	for i := range 200 {
		p := New(Config{Router: fmt.Sprint("n", i), Routers: 300, MaxConnections: 60})
		all := names(40)
		p.SetEndpoints(0, all)
		before := slices.DeleteFunc(slices.Clone(all), func(n string) bool { return !p.InSubset(n) })
		p.SetEndpoints(0, all[1:])
		gone, came := 0, 0
		for _, n := range all[1:] {
			switch had := slices.Contains(before, n); {
			case had && !p.InSubset(n):
				gone++
			case !had && p.InSubset(n):
				came++
			}
		}
		if gone > 1 || came > 1 {
			t.Fatalf("one cache less took %d others out and %d in", gone, came)
		}
	}
}
