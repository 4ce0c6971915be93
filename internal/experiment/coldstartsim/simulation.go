package coldstartsim

import (
	"math"
	"math/rand/v2"

	"tealpath/internal/emulator/cache"
	"tealpath/internal/experiment/simulation"
)

// runState holds the simulated routers, caches, discovery service and clients of one run, and the counts so far.
type runState struct {
	plan           Plan
	random         *rand.Rand
	scheduler      *simulation.Scheduler
	routers        []*simulatedRouter
	caches         []*simulatedCache
	discovery      discoveryService
	requests       map[requestKey]*clientRequest // requests whose router has not responded yet
	nextSeq        int32
	seconds        []Second
	connects       int
	clientRequests int
}

// simulatedCache is a cache with limited capacity, which may also not be reachable at all.
type simulatedCache struct {
	*cache.CapacityModel
	silent bool // it does not answer connection attempts
}

// discoveryService is a discovery service that handles one call at a time.
type discoveryService struct {
	freeAt      int64 // ns; when it can handle the next call
	timePerCall int64 // ns that it takes to handle one call
}

func newSimulation(plan Plan) *runState {
	run := &runState{
		plan:      plan,
		random:    rand.New(rand.NewPCG(plan.Seed, 0xc01d)),
		scheduler: simulation.NewScheduler(startTime),
		requests:  map[requestKey]*clientRequest{},
		seconds:   make([]Second, int64(plan.Duration)/1e9+2),
	}
	run.discovery.timePerCall = int64(1e9 / plan.DiscoveryCallRate)
	if plan.Fault == FaultDiscoverySlow {
		run.discovery.timePerCall *= slowDiscoveryFactor
	}
	cachesStartedAt := int64(0)
	if plan.Fault == FaultCachesWarmingUp || plan.Fault == FaultAggressiveRetries {
		cachesStartedAt = startTime
	}
	for i := range plan.Caches {
		run.caches = append(run.caches, &simulatedCache{
			CapacityModel: cache.NewCapacityModel(plan.cacheLimits(i), cachesStartedAt),
			silent:        plan.Fault == FaultCachesSilent && i%silentCachesOneIn == 0,
		})
	}
	return run
}

// scheduleRouters schedules the start of each router at a random time within startSpread, and the kills of
// FaultRoutersKilled.
func (s *runState) scheduleRouters() {
	for i := range s.plan.Routers {
		router := &simulatedRouter{run: s, index: i}
		s.routers = append(s.routers, router)
		s.scheduler.After(s.random.Int64N(startSpread), router.start)
	}
	if s.plan.Fault == FaultRoutersKilled {
		s.scheduler.After(faultDuration, s.killAndRestartRouters)
	}
}

func (s *runState) killAndRestartRouters() {
	for _, router := range s.routers[:s.plan.Routers*restartedRoutersPerTen/10] {
		router.kill()
		s.scheduler.After(1e8+s.random.Int64N(1e9), router.start)
	}
}

// scheduleClients schedules the clients' requests, which begin when all routers have started.
func (s *runState) scheduleClients() {
	meanInterval := int64(1e9 / s.plan.RequestRate)
	interval := func() int64 { return meanInterval/2 + s.random.Int64N(meanInterval) }
	s.scheduler.Repeat(startTime+startSpread, interval, func() {
		object := uint64(distinctObjects * math.Pow(s.random.Float64(), objectSkew))
		s.beginRequest(object)
	})
}

func (s *runState) now() int64 { return s.scheduler.Now() }

// second returns the index of the current second of the run.
func (s *runState) second() int { return int((s.now() - startTime) / 1e9) }

// currentSecond returns the counts of the current second.
func (s *runState) currentSecond() *Second { return &s.seconds[min(s.second(), len(s.seconds)-1)] }

// cacheCrashed counts the crash of an overloaded cache and ends all connections to it.
func (s *runState) cacheCrashed(cacheIndex int) {
	s.currentSecond().Crashes++
	for _, router := range s.routers {
		router.cacheCrashed(cacheIndex)
	}
}
