package links

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
			p := New(Config{Self: fmt.Sprint("n", i), Routers: c.routers, Holds: c.holds})
			p.Members(0, names(c.caches))
			for _, name := range names(c.caches) {
				if p.Keeps(name) {
					load[name]++
				}
			}
			kept = p.Kept
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
func TestSubsetsStay(t *testing.T) {
	for i := range 200 {
		p := New(Config{Self: fmt.Sprint("n", i), Routers: 300, Holds: 60})
		all := names(40)
		p.Members(0, all)
		before := slices.DeleteFunc(slices.Clone(all), func(n string) bool { return !p.Keeps(n) })
		p.Members(0, all[1:])
		gone, came := 0, 0
		for _, n := range all[1:] {
			switch had := slices.Contains(before, n); {
			case had && !p.Keeps(n):
				gone++
			case !had && p.Keeps(n):
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
				plans[i] = New(Config{Self: fmt.Sprint("n", i), Seed: uint64(i), Routers: c.routers, Holds: c.holds, Opens: c.opens})
				plans[i].Members(0, caches)
			}
			far, opened := 0, map[[2]int64]int{}
			standing := map[string]int{}
			for now := int64(0); now < 40*second; now += second / 10 {
				if now == 20*second { // one cache dies and is back
					for i := range plans {
						open[i] = slices.DeleteFunc(open[i], func(l link) bool {
							if l.cache == caches[0] {
								plans[i].Ended(now, l.cache, true)
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
						end := p.Closes(now, l.cache, have[l.cache], l.used)
						if end {
							standing[l.cache]--
							have[l.cache]--
						}
						return end
					})
					for range 6 { // all want the first caches most
						name := caches[int(float64(c.caches)*math.Pow(rng.Float64(), 3))]
						if !p.May(now, name, have[name]) {
							continue
						}
						if !p.Keeps(name) {
							far++
						}
						p.Opened(now, name)
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
			if plans[0].Kept < c.caches && far == 0 {
				t.Error("nobody ever reached a cache outside of the subset")
			}
		})
	}
}

// A cache that refuses, being full by more routers than the settings know of, is asked again ever later, and not in step.
func TestRefusedWaits(t *testing.T) {
	p := New(Config{Self: "n", Routers: 3, Holds: 24})
	p.Members(0, names(2))
	now, tries := int64(0), 0
	for ; now < 60*second; now += second / 100 {
		if p.May(now, "s-000", 0) {
			p.Opened(now, "s-000")
			p.Ended(now, "s-000", false)
			tries++
		}
	}
	if tries < 8 || tries > 40 {
		t.Errorf("%d tries in a minute", tries)
	}
	p.Stood("s-000")
	if p.Ended(now+refusedM, "s-000", true); !p.May(now+2*refusedM, "s-000", 0) {
		t.Error("one that took a connection is not dialled again")
	}
}

func TestAhead(t *testing.T) {
	p := New(Config{Self: "n", Routers: 100, Holds: 50, Opens: 50})
	p.Members(0, names(10))
	met := map[string]bool{}
	for now := int64(0); now < 3*second; now += second / 10 {
		for _, n := range p.Ahead(now) {
			if met[n] || !p.Keeps(n) {
				t.Errorf("%s is met again, or is none of the subset", n)
			}
			met[n] = true
			p.Opened(now, n)
		}
	}
	if len(met) != p.Kept {
		t.Errorf("%d of %d met", len(met), p.Kept)
	}
	p.Members(3*second, names(11)) // what is known of those that stay is kept
	for _, n := range p.Ahead(3 * second) {
		if met[n] {
			t.Errorf("%s is met again", n)
		}
	}
	var none *Plan
	if none.Members(0, nil); !none.May(0, "x", 99) || !none.Takes(0, "x") || none.Closes(0, "x", 9, 0) || none.Ahead(0) != nil || !none.Keeps("x") {
		t.Error("a plan that is not there bounds something")
	}
}

func TestCheck(t *testing.T) {
	for _, c := range []struct {
		Config
		good bool
	}{{Config{Routers: 300, Holds: 60, Opens: 20}, true}, {Config{Routers: 300, Holds: 60, Opens: 5}, false}, {Config{Routers: 3}, false}} {
		if err := c.Check(); (err == nil) != c.good {
			t.Errorf("%+v: %v", c.Config, err)
		}
	}
}

// Whatever comes and goes, and in whichever order it is named, the plan is the one that ranking all caches anew gives.
func TestMembersAgainstRankingAll(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	for play := range 100 {
		plan := New(Config{Self: fmt.Sprint("n", play), Seed: 1, Routers: 300, Holds: 100, Opens: 50})
		other := New(Config{Self: fmt.Sprint("n", play), Seed: 1, Routers: 300, Holds: 100, Opens: 50})
		var listed []string
		for step := range 100 {
			listed = slices.DeleteFunc(listed, func(string) bool { return rng.IntN(20) == 0 })
			for n := range rng.IntN(10) {
				listed = append(listed, fmt.Sprintf("s-%d-%d", step, n))
			}
			plan.Members(int64(step), listed)
			rng.Shuffle(len(listed), func(a, b int) { listed[a], listed[b] = listed[b], listed[a] })
			other.Members(int64(step), listed)
			ranked := slices.Clone(listed)
			slices.SortFunc(ranked, func(a, b string) int {
				return cmp.Compare(xxhash.Sum64String(plan.set.Self+"\x00"+a), xxhash.Sum64String(plan.set.Self+"\x00"+b))
			})
			if want := Subset(300, len(ranked), 100); plan.Kept != want || len(plan.order) != len(ranked) || len(plan.caches) != len(ranked) {
				t.Fatalf("%d of %d caches are kept, want %d of %d", plan.Kept, len(plan.order), want, len(ranked))
			}
			for i, name := range ranked {
				if plan.order[i].name != name || plan.Keeps(name) != (i < plan.Kept) || *plan.order[i] != *other.order[i] {
					t.Fatalf("step %d, place %d: %+v and %+v, want %s", step, i, plan.order[i], other.order[i], name)
				}
			}
		}
	}
}
