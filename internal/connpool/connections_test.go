package connpool

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// openConnection is an open connection of one simulated router.
type openConnection struct {
	cache     string
	idleSince int64
}

// simulatedRouters is the simulated state of all routers of a location, which try to open connections to random caches
// whenever their plans allow it.
type simulatedRouters struct {
	config  Config // configuration of each router, except for its name and seed
	caches  []string
	rng     *rand.Rand
	plans   []*Plan
	open    [][]openConnection // open connections, by index of the router
	atCache map[string]int     // number of open connections from all routers, by cache

	outsideSubset int                 // number of connections opened so far to caches outside a router's subset
	opened        map[cacheSecond]int // number of connections opened by all routers, by cache and second
	accepted      func(cache string)  // called after a router has opened a connection to the cache
}

// cacheSecond identifies a cache and a second of the simulated time.
type cacheSecond struct {
	second int64
	cache  string
}

func newSimulatedRouters(config Config, caches int) *simulatedRouters {
	simulated := &simulatedRouters{
		config:  config,
		caches:  names(caches),
		rng:     rand.New(rand.NewPCG(7, 7)),
		open:    make([][]openConnection, config.Routers),
		atCache: map[string]int{},
		opened:  map[cacheSecond]int{},
	}
	for i := range config.Routers {
		own := config
		own.Router, own.Seed = fmt.Sprint("n", i), uint64(i)
		plan := New(own)
		plan.SetEndpoints(0, simulated.caches)
		simulated.plans = append(simulated.plans, plan)
	}
	return simulated
}

// crash ends the connections of all routers to a cache.
func (s *simulatedRouters) crash(now int64, cache string) {
	for i, plan := range s.plans {
		s.open[i] = slices.DeleteFunc(s.open[i], func(connection openConnection) bool {
			if connection.cache == cache {
				plan.Disconnected(now, cache)
			}
			return connection.cache == cache
		})
	}
	s.atCache[cache] = 0
}

// step closes the connections of one router for which ShouldClose of its plan returns true, and then tries to open
// connections to six random caches.
func (s *simulatedRouters) step(now int64, router int) {
	plan, own := s.plans[router], map[string]int{}
	for _, connection := range s.open[router] {
		own[connection.cache]++
	}
	s.open[router] = slices.DeleteFunc(s.open[router], func(connection openConnection) bool {
		closes := plan.ShouldClose(now, connection.cache, own[connection.cache], connection.idleSince)
		if closes {
			s.atCache[connection.cache]--
			own[connection.cache]--
		}
		return closes
	})
	for range 6 { // the caches at the beginning of the list are tried most often
		cache := s.caches[int(float64(len(s.caches))*math.Pow(s.rng.Float64(), 3))]
		if !plan.CanConnect(now, cache, own[cache]) {
			continue
		}
		if !plan.InSubset(cache) {
			s.outsideSubset++
		}
		plan.Dialled(now, cache)
		s.open[router] = append(s.open[router], openConnection{cache, now})
		own[cache]++
		s.opened[cacheSecond{now / second, cache}]++
		s.atCache[cache]++
		s.accepted(cache)
	}
}

// All routers together stay within the connections and the connect rate that each cache accepts, also after a cache
// has crashed. Some of the connections are to caches outside the routers' subsets.
func TestAllRoutersTogetherStayWithinTheBounds(t *testing.T) {
	for _, test := range []struct {
		routers, caches, maxConnections int
		maxConnectRate                  float64
	}{
		{300, 20, 400, 100},
		{300, 20, 200, 100},
		{300, 20, 60, 60},
		{40, 5, 200, 20},
		{1, 3, 10, 5},
		{300, 20, 200, 0},
	} {
		t.Run(fmt.Sprint(test), func(t *testing.T) {
			config := Config{
				Routers:        test.routers,
				MaxConnections: test.maxConnections,
				MaxConnectRate: test.maxConnectRate,
			}
			simulated := newSimulatedRouters(config, test.caches)
			simulated.accepted = func(cache string) {
				if count := simulated.atCache[cache]; count > test.maxConnections {
					t.Fatalf("%d connections to %s, want at most %d", count, cache, test.maxConnections)
				}
			}
			for now := int64(0); now < 40*second; now += second / 10 {
				if now == 20*second {
					simulated.crash(now, simulated.caches[0])
				}
				for router := range simulated.plans {
					simulated.step(now, router)
				}
			}
			bound := test.maxConnectRate*1.3 + 3*math.Sqrt(test.maxConnectRate) + 2
			for key, count := range simulated.opened {
				if test.maxConnectRate > 0 && float64(count) > bound {
					t.Errorf("%d connections to %s opened in second %d, want at most %.0f",
						count, key.cache, key.second, bound)
				}
			}
			if simulated.plans[0].SubsetSize < test.caches && simulated.outsideSubset == 0 {
				t.Error("no router ever connected to a cache outside its subset")
			}
		})
	}
}

// A cache that refuses connections, because there are more routers than the settings state, is dialled again after
// random delays that grow.
func TestBackoffAfterRefusedConnections(t *testing.T) {
	plan := New(Config{Router: "n", Routers: 3, MaxConnections: 24})
	plan.SetEndpoints(0, names(2))
	now, dials := int64(0), 0
	for ; now < 60*second; now += second / 100 {
		if plan.CanConnect(now, "s-000", 0) {
			plan.Dialled(now, "s-000")
			plan.ConnectFailed(now, "s-000")
			dials++
		}
	}
	if dials < 8 || dials > 40 {
		t.Errorf("%d dials in a minute, want 8 to 40", dials)
	}
	plan.Established("s-000")
	plan.Disconnected(now+maxRefusedDelay, "s-000")
	if !plan.CanConnect(now+2*maxRefusedDelay, "s-000", 0) {
		t.Error("a cache that accepted a connection is not dialled again after the connection ended")
	}
}

func TestPreconnectReturnsEachCacheOfTheSubsetOnce(t *testing.T) {
	plan := New(Config{Router: "n", Routers: 100, MaxConnections: 50, MaxConnectRate: 50})
	plan.SetEndpoints(0, names(10))
	returned := map[string]bool{}
	for now := int64(0); now < 3*second; now += second / 10 {
		for _, name := range plan.Preconnect(now) {
			if returned[name] || !plan.InSubset(name) {
				t.Errorf("Preconnect returned %s, which it returned before or which is not in the subset", name)
			}
			returned[name] = true
			plan.Dialled(now, name)
		}
	}
	if len(returned) != plan.SubsetSize {
		t.Errorf("Preconnect returned %d caches, want the %d of the subset", len(returned), plan.SubsetSize)
	}
	plan.SetEndpoints(3*second, names(11)) // one more cache; the first ten keep their state
	for _, name := range plan.Preconnect(3 * second) {
		if returned[name] {
			t.Errorf("Preconnect returned %s again after an update of the list", name)
		}
	}
}

func TestNilPlanAllowsAll(t *testing.T) {
	var plan *Plan
	plan.SetEndpoints(0, nil)
	allowsAll := plan.CanConnect(0, "x", 99) && plan.CanSend(0, "x") && plan.InSubset("x")
	if !allowsAll || plan.ShouldClose(0, "x", 9, 0) || plan.Preconnect(0) != nil {
		t.Error("a nil plan restricts connections")
	}
}

// If Preconnect did not return a cache again after a dial failed because of an error on this machine, the first
// request for the cache would have to wait for a connection.
func TestPreconnectAfterLocalError(t *testing.T) {
	plan := New(Config{Router: "n", Routers: 10, MaxConnections: 100, MaxConnectRate: 100})
	plan.SetEndpoints(0, names(1))
	if got := plan.Preconnect(second); len(got) != 1 || len(plan.Preconnect(second)) != 0 {
		t.Fatalf("Preconnect returned %v first, want one cache, and none on the second call", got)
	}
	plan.LocalError(names(1)[0])
	if got := plan.Preconnect(second); len(got) != 1 {
		t.Error("Preconnect does not return the cache again after the error on this machine")
	}
	plan.LocalError("unknown")
	(*Plan)(nil).LocalError("unknown")
}
