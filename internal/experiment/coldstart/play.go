package coldstart

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"tealpath/internal/emulator/cache"
	"tealpath/internal/emulator/discoveryserver"
	"tealpath/internal/experiment/testcluster"
	"tealpath/internal/lifecycle/startup"
	"tealpath/internal/server"
)

const (
	// maxLoadDuration limits how long requests are sent, since Result.ServedShare covers the first 10 s.
	maxLoadDuration = 10 * time.Second

	healthPollInterval = 100 * time.Millisecond
	listenPollInterval = 20 * time.Millisecond
	maxListenWait      = 10 * time.Second

	routerMemoryMB   = 32
	routerMaxSockets = 256
	warmUpDuration   = 8 * time.Second // time until a cache that has just started has its full capacity
)

// startupPhaseChanged is the name of the event that routers log when they enter another startup phase.
var startupPhaseChanged = server.StartupPhaseChanged{}.Kind().Name

// experimentRun holds the routers and emulators of one run, and what has been measured so far.
type experimentRun struct {
	Experiment
	build  Build
	result Result

	service      *discoveryserver.Service
	caches       []*cache.Cache
	endpoints    []string // the caches' entries in the endpoint list, as JSON
	addresses    []string // addresses on which the routers accept clients
	operatorPath string   // path of the operator's file; empty if there is none
	routers      []*testcluster.Process
	startedAt    time.Time
	healthyAtMS  []float64 // by router: ms from startedAt until it was first healthy; 0: not yet

	// attemptsBeforeDrain counts the attempts at the first cache before all routers had to stop sending to it.
	attemptsBeforeDrain int

	mu     sync.Mutex
	warmMS []float64 // guarded by mu; ms from each router's start to the phase startup.Warm
}

func (r *experimentRun) run(ctx context.Context) (Result, error) {
	defer r.close()
	if err := r.prepare(); err != nil {
		return r.result, err
	}
	if err := r.startRouters(); err != nil {
		return r.result, err
	}
	served, err := r.observe(ctx)
	if err != nil {
		return r.result, err
	}
	r.summarize(served)
	return r.result, nil
}

// close kills the routers and closes the emulators.
func (r *experimentRun) close() {
	for _, router := range r.routers {
		if router != nil {
			router.KillAndWait()
		}
	}
	for _, emulated := range r.caches {
		emulated.Close()
	}
	if r.service != nil {
		r.service.Close()
	}
}

// prepare starts the emulators, begins the fault and writes the routers' files.
func (r *experimentRun) prepare() error {
	service, err := discoveryserver.Start()
	if err != nil {
		return err
	}
	r.service = service
	if err := r.startCaches(); err != nil {
		return err
	}
	r.publishList(1)
	watchEvents := json.RawMessage(nil)
	if r.Fault == CacheDraining {
		// The routers' configurations contain only the events up to here, so that the routers start without
		// knowing that the cache drains.
		watchEvents = json.RawMessage(service.KnownEvents())
		service.Publish(testcluster.EndpointChangeEvent(2, testcluster.DrainingEndpoint(r.endpoints[0])))
	}
	r.beginFault()
	return r.writeFiles(watchEvents)
}

func (r *experimentRun) startCaches() error {
	for i := range r.Caches {
		emulated, err := cache.Start(testcluster.CacheName(i), "")
		if err != nil {
			return err
		}
		r.caches = append(r.caches, emulated)
		var listedStart time.Time
		startedAt := time.Unix(0, 0)
		if r.Fault == CachesWarmingUp {
			startedAt = time.Now()
			listedStart = startedAt
		}
		emulated.SetLimits(r.cacheLimits(i), startedAt)
		r.endpoints = append(r.endpoints, testcluster.EndpointJSON(emulated, listedStart))
	}
	return nil
}

func (r *experimentRun) cacheLimits(index int) cache.Limits {
	hangs := r.Fault == OneCacheHangs && index == 0
	isSilent := r.Fault == CachesUnresponsive && index%3 == 0
	return cache.Limits{
		MaxConnections: r.MaxConnections,
		Concurrency:    4,
		ServiceTime:    int64(5 * time.Millisecond),
		FillTime:       int64(20 * time.Millisecond),
		InitialShare:   0.16,
		OverloadFactor: 2.5,
		WarmUpDuration: int64(warmUpDuration),
		OverloadWindow: int64(1500 * time.Millisecond),
		DownTime:       int64(3 * time.Second),
		Unresponsive:   hangs || isSilent,
	}
}

// publishList makes the discovery service send a complete endpoint list with the given generation.
func (r *experimentRun) publishList(generation int) {
	r.service.Publish(testcluster.EndpointListEvent(generation, r.endpoints))
}

// writeFiles writes the configurations of all routers, and the operator's file that they share if the build needs
// one. watchEvents are the discovery service's events in the configurations; nil means none.
func (r *experimentRun) writeFiles(watchEvents json.RawMessage) error {
	for i := range r.Routers {
		address, err := testcluster.FreeAddress()
		if err != nil {
			return err
		}
		r.addresses = append(r.addresses, address)
		config := testcluster.RouterConfig{
			Name:           fmt.Sprintf("n%d", i),
			Listen:         address,
			Seed:           fmt.Sprintf("%016x", r.Seed*1000+uint64(i)+1),
			Cores:          1,
			MemoryMB:       routerMemoryMB,
			MaxSockets:     routerMaxSockets,
			Discovery:      r.service.Address(),
			WatchEvents:    watchEvents,
			Routers:        r.ConfiguredRouters,
			WarmUpDuration: int(warmUpDuration / time.Second),
		}
		if err := config.Write(r.configPath(i)); err != nil {
			return err
		}
	}
	text := r.operatorFile(r.build)
	if text == "" {
		return nil
	}
	r.operatorPath = filepath.Join(r.Dir, "operator.sx")
	return os.WriteFile(r.operatorPath, []byte(text), 0o600)
}

func (r *experimentRun) configPath(router int) string {
	return filepath.Join(r.Dir, fmt.Sprintf("n%d.json", router))
}

func (r *experimentRun) startRouters() error {
	r.startedAt = time.Now()
	r.routers = make([]*testcluster.Process, r.Routers)
	r.healthyAtMS = make([]float64, r.Routers)
	for i := range r.routers {
		if err := r.startRouter(i); err != nil {
			return err
		}
	}
	return nil
}

// startRouter starts the router with an index, for the first time or again after it was killed.
func (r *experimentRun) startRouter(index int) error {
	startedAt := time.Now()
	router, err := testcluster.StartProcess(testcluster.Command{
		Binary:       r.build.Binary,
		Config:       r.configPath(index),
		OperatorFile: r.operatorPath,
	}, func(line testcluster.LogLine) {
		if line.Event != startupPhaseChanged || line.Phase != startup.Warm.String() {
			return
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		r.warmMS = append(r.warmMS, milliseconds(time.Since(startedAt)))
	})
	if err != nil {
		return err
	}
	r.routers[index] = router
	return nil
}

// observe sends requests and continues the fault. It waits until each router has been healthy once or the
// experiment's duration is over.
func (r *experimentRun) observe(ctx context.Context) (testcluster.LoadResult, error) {
	ctx, stop := context.WithTimeout(ctx, r.Duration)
	defer stop()
	var watchers sync.WaitGroup
	var faultErr error
	for i := range r.addresses {
		watchers.Go(func() { r.waitForHealth(ctx, i) })
	}
	watchers.Go(func() { faultErr = r.continueFault(ctx) })
	r.waitForListeners()
	if r.Fault == CacheDraining {
		watchers.Go(func() { r.watchDrain(ctx) })
	}
	load := testcluster.Load{Rate: r.Rate, Addresses: r.addresses, ConnectionsPerAddress: 1}
	served, err := load.Run(ctx, min(r.Duration, maxLoadDuration))
	watchers.Wait()
	return served, errors.Join(faultErr, err)
}

// waitForHealth polls a router until it is healthy, and records when that was. It gives up when the context ends.
func (r *experimentRun) waitForHealth(ctx context.Context, router int) {
	for ctx.Err() == nil {
		if testcluster.IsHealthy(r.addresses[router]) {
			r.healthyAtMS[router] = milliseconds(time.Since(r.startedAt))
			return
		}
		time.Sleep(healthPollInterval)
	}
}

// waitForListeners waits until all routers accept connections, for maxListenWait at most.
func (r *experimentRun) waitForListeners() {
	deadline := time.Now().Add(maxListenWait)
	for time.Now().Before(deadline) && !allListen(r.addresses) {
		time.Sleep(listenPollInterval)
	}
}

func allListen(addresses []string) bool {
	return !slices.ContainsFunc(addresses, func(address string) bool { return !testcluster.IsListening(address) })
}

func milliseconds(duration time.Duration) float64 {
	return float64(duration) / float64(time.Millisecond)
}
