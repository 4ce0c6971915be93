package connpool

import (
	"cmp"
	"fmt"
	"math"
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
			if float64(n) > keptShare*float64(c.holds) {
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

// All routers together, whatever each wants: what stands at a cache stays within what it holds, what is opened within the
// rate, through a loss of all links of a cache, and caches outside of the subset can be had at times.
func TestSumOverAllRouters(t *testing.T) {
	for _, c := range []struct {
		routers, caches, holds int
		opens                  float64
	}{{300, 20, 400, 100}, {300, 20, 200, 100}, {300, 20, 60, 60}, {40, 5, 200, 20}, {1, 3, 10, 5}, {300, 20, 200, 0}} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(7, 7))
			type link struct {
				cache      string
				born, used int64
			}
			plans, open := make([]*Plan, c.routers), make([][]link, c.routers)
			caches := names(c.caches)
			for i := range plans {
				plans[i] = New(Config{Router: fmt.Sprint("n", i), Seed: uint64(i), Routers: c.routers, MaxConnections: c.holds, MaxConnectRate: c.opens})
				plans[i].SetEndpoints(0, caches)
			}
			far, opened := 0, map[[2]int64]int{}
			standing := map[string]int{}
			for now := int64(0); now < 40*second; now += second / 10 {
				if now == 20*second { // one cache dies and is back
					for i := range plans {
						open[i] = slices.DeleteFunc(open[i], func(l link) bool {
							if l.cache == caches[0] {
								plans[i].ConnectionEnded(now, l.cache, true)
							}
							return l.cache == caches[0]
						})
					}
					standing[caches[0]] = 0
				}
				for i, p := range plans {
					have := map[string]int{}
					for _, l := range open[i] {
						have[l.cache]++
					}
					open[i] = slices.DeleteFunc(open[i], func(l link) bool {
						end := p.ShouldClose(now, l.cache, have[l.cache], l.used)
						if end {
							standing[l.cache]--
							have[l.cache]--
						}
						return end
					})
					for range 6 { // all want the first caches most
						name := caches[int(float64(c.caches)*math.Pow(rng.Float64(), 3))]
						if !p.CanConnect(now, name, have[name]) {
							continue
						}
						if !p.InSubset(name) {
							far++
						}
						p.Dialled(now, name)
						open[i] = append(open[i], link{name, now, now})
						have[name]++
						opened[[2]int64{now / second, int64(slices.Index(caches, name))}]++
						if standing[name]++; standing[name] > c.holds {
							t.Fatalf("%d links to %s", standing[name], name)
						}
					}
				}
			}
			for at, n := range opened {
				if bound := c.opens*1.3 + 3*math.Sqrt(c.opens) + 2; c.opens > 0 && float64(n) > bound {
					t.Errorf("%d links to cache %d opened in second %d, %.0f", n, at[1], at[0], bound)
				}
			}
			if plans[0].SubsetSize < c.caches && far == 0 {
				t.Error("nobody ever reached a cache outside of the subset")
			}
		})
	}
}

// A cache that refuses, being full by more routers than the settings know of, is asked again ever later, and not in step.
func TestRefusedBacksOff(t *testing.T) {
	p := New(Config{Router: "n", Routers: 3, MaxConnections: 24})
	p.SetEndpoints(0, names(2))
	now, tries := int64(0), 0
	for ; now < 60*second; now += second / 100 {
		if p.CanConnect(now, "s-000", 0) {
			p.Dialled(now, "s-000")
			p.ConnectionEnded(now, "s-000", false)
			tries++
		}
	}
	if tries < 8 || tries > 40 {
		t.Errorf("%d tries in a minute", tries)
	}
	p.Established("s-000")
	if p.ConnectionEnded(now+refusedM, "s-000", true); !p.CanConnect(now+2*refusedM, "s-000", 0) {
		t.Error("one that took a connection is not dialled again")
	}
}

func TestPreconnect(t *testing.T) {
	p := New(Config{Router: "n", Routers: 100, MaxConnections: 50, MaxConnectRate: 50})
	p.SetEndpoints(0, names(10))
	met := map[string]bool{}
	for now := int64(0); now < 3*second; now += second / 10 {
		for _, n := range p.Preconnect(now) {
			if met[n] || !p.InSubset(n) {
				t.Errorf("%s is met again, or is none of the subset", n)
			}
			met[n] = true
			p.Dialled(now, n)
		}
	}
	if len(met) != p.SubsetSize {
		t.Errorf("%d of %d met", len(met), p.SubsetSize)
	}
	p.SetEndpoints(3*second, names(11)) // what is known of those that stay is kept
	for _, n := range p.Preconnect(3 * second) {
		if met[n] {
			t.Errorf("%s is met again", n)
		}
	}
	var none *Plan
	if none.SetEndpoints(0, nil); !none.CanConnect(0, "x", 99) || !none.CanSend(0, "x") || none.ShouldClose(0, "x", 9, 0) || none.Preconnect(0) != nil || !none.InSubset("x") {
		t.Error("a plan that is not there bounds something")
	}
}

func TestCheck(t *testing.T) {
	for _, c := range []struct {
		Config
		good bool
	}{{Config{Routers: 300, MaxConnections: 60, MaxConnectRate: 20}, true}, {Config{Routers: 300, MaxConnections: 60, MaxConnectRate: 5}, false}, {Config{Routers: 3}, false}} {
		if err := c.Check(); (err == nil) != c.good {
			t.Errorf("%+v: %v", c.Config, err)
		}
	}
}

// Whatever comes and goes, and in whichever order it is named, the plan is the one that ranking all caches anew gives.
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
				return cmp.Compare(xxhash.Sum64String(plan.set.Router+"\x00"+a), xxhash.Sum64String(plan.set.Router+"\x00"+b))
			})
			if want := SubsetSize(300, len(ranked), 100); plan.SubsetSize != want || len(plan.order) != len(ranked) || len(plan.caches) != len(ranked) {
				t.Fatalf("%d of %d caches are kept, want %d of %d", plan.SubsetSize, len(plan.order), want, len(ranked))
			}
			for i, name := range ranked {
				if plan.order[i].name != name || plan.InSubset(name) != (i < plan.SubsetSize) || *plan.order[i] != *other.order[i] {
					t.Fatalf("step %d, place %d: %+v and %+v, want %s", step, i, plan.order[i], other.order[i], name)
				}
			}
		}
	}
}
