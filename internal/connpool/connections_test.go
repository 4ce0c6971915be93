package connpool

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// All routers together, whatever each wants: what stands at a cache stays within what it holds, what is opened
// within the rate, through a loss of all links of a cache, and caches outside of the subset can be had at
// times.
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
								plans[i].Disconnected(now, l.cache)
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

// A cache that refuses, being full by more routers than the settings know of, is asked again ever later, and
// not in step.
func TestRefusedBacksOff(t *testing.T) {
	p := New(Config{Router: "n", Routers: 3, MaxConnections: 24})
	p.SetEndpoints(0, names(2))
	now, tries := int64(0), 0
	for ; now < 60*second; now += second / 100 {
		if p.CanConnect(now, "s-000", 0) {
			p.Dialled(now, "s-000")
			p.ConnectFailed(now, "s-000")
			tries++
		}
	}
	if tries < 8 || tries > 40 {
		t.Errorf("%d tries in a minute", tries)
	}
	p.Established("s-000")
	if p.Disconnected(now+maxRefusedDelay, "s-000"); !p.CanConnect(now+2*maxRefusedDelay, "s-000", 0) {
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

// A link that was not dialled for a shortage is dialled ahead again.
func TestPreconnectAfterLocalError(t *testing.T) {
	p := New(Config{Router: "n", Routers: 10, MaxConnections: 100, MaxConnectRate: 100})
	p.SetEndpoints(0, names(1))
	if got := p.Preconnect(second); len(got) != 1 || len(p.Preconnect(second)) != 0 {
		t.Fatalf("ahead %v", got)
	}
	p.LocalError(names(1)[0])
	if got := p.Preconnect(second); len(got) != 1 {
		t.Error("it is not dialled again")
	}
	p.LocalError("unknown")
	(*Plan)(nil).LocalError("unknown")
}
