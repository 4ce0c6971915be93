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
	// maxLoadDuration is how much of the experiment has active traffic: the first 10 s count.
	maxLoadDuration = 10 * time.Second

	healthPollInterval = 100 * time.Millisecond
	listenPollInterval = 20 * time.Millisecond
	maxListenWait      = 10 * time.Second

	routerMemoryMB   = 32
	routerMaxSockets = 256
	warmUpDuration   = 8 * time.Second // of a cache
)

// startupPhaseChanged is the event by which routers log that their start has come further.
var startupPhaseChanged = server.StartupPhaseChanged{}.Kind().Name

// play is one run of an experiment.
type play struct {
	Experiment
	build  Build
	result Result

	service      *discoveryserver.Service
	caches       []*cache.Cache
	endpoints    []string // the caches, as the endpoint list has them
	addresses    []string // where routers take clients
	operatorPath string   // empty is none
	routers      []*testcluster.Process
	startedAt    time.Time
	healthyAtMS  []float64 // by router, since startedAt; 0 is not yet

	attemptsBeforeDrain int // at the first cache, until all routers had to know that it drains

	mu     sync.Mutex
	warmMS []float64 // guarded by mu; what each start took until request rates could be relied on
}

func (p *play) run(ctx context.Context) (Result, error) {
	defer p.close()
	if err := p.prepare(); err != nil {
		return p.result, err
	}
	if err := p.startRouters(); err != nil {
		return p.result, err
	}
	served, err := p.observe(ctx)
	if err != nil {
		return p.result, err
	}
	p.summarize(served)
	return p.result, nil
}

// close kills the routers and ends the emulators.
func (p *play) close() {
	for _, router := range p.routers {
		if router != nil {
			router.KillAndWait()
		}
	}
	for _, emulated := range p.caches {
		emulated.Close()
	}
	if p.service != nil {
		p.service.Close()
	}
}

// prepare starts the emulators, lets the fault begin and writes the routers' files.
func (p *play) prepare() error {
	service, err := discoveryserver.Start()
	if err != nil {
		return err
	}
	p.service = service
	if err := p.startCaches(); err != nil {
		return err
	}
	p.publishList(1)
	watchEvents := json.RawMessage(nil)
	if p.Fault == CacheDrainsUnnoticed {
		// After the configurations were written, before the routers start.
		watchEvents = json.RawMessage(service.KnownEvents())
		service.Publish(testcluster.EndpointChangeEvent(2, testcluster.Draining(p.endpoints[0])))
	}
	p.beginFault()
	return p.writeFiles(watchEvents)
}

func (p *play) startCaches() error {
	for i := range p.Caches {
		emulated, err := cache.Start(testcluster.CacheName(i), "")
		if err != nil {
			return err
		}
		p.caches = append(p.caches, emulated)
		var listedStart time.Time
		startedAt := time.Unix(0, 0)
		if p.Fault == CachesWarmingUp {
			startedAt = time.Now()
			listedStart = startedAt
		}
		emulated.SetLimits(p.cacheLimits(i), startedAt)
		p.endpoints = append(p.endpoints, testcluster.EndpointJSON(emulated, listedStart))
	}
	return nil
}

func (p *play) cacheLimits(index int) cache.Limits {
	hangs := p.Fault == OneCacheHangs && index == 0
	isSilent := p.Fault == CachesUnresponsive && index%3 == 0
	return cache.Limits{
		MaxConnections: p.MaxConnections,
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

// publishList has the discovery service send a complete endpoint list.
func (p *play) publishList(generation int) {
	p.service.Publish(testcluster.EndpointListEvent(generation, p.endpoints))
}

// writeFiles writes the configurations of all routers and the operator's file that they share.
func (p *play) writeFiles(watchEvents json.RawMessage) error {
	for i := range p.Routers {
		address, err := testcluster.FreeAddress()
		if err != nil {
			return err
		}
		p.addresses = append(p.addresses, address)
		config := testcluster.RouterConfig{
			Name:           fmt.Sprintf("n%d", i),
			Listen:         address,
			Seed:           fmt.Sprintf("%016x", p.Seed*1000+uint64(i)+1),
			Cores:          1,
			MemoryMB:       routerMemoryMB,
			MaxSockets:     routerMaxSockets,
			Discovery:      p.service.Address(),
			WatchEvents:    watchEvents,
			Routers:        p.ConfiguredRouters,
			WarmUpDuration: int(warmUpDuration / time.Second),
		}
		if err := config.Write(p.configPath(i)); err != nil {
			return err
		}
	}
	text := p.operatorFile(p.build)
	if text == "" {
		return nil
	}
	p.operatorPath = filepath.Join(p.Dir, "operator.sx")
	return os.WriteFile(p.operatorPath, []byte(text), 0o600)
}

func (p *play) configPath(router int) string {
	return filepath.Join(p.Dir, fmt.Sprintf("n%d.json", router))
}

func (p *play) startRouters() error {
	p.startedAt = time.Now()
	p.routers = make([]*testcluster.Process, p.Routers)
	p.healthyAtMS = make([]float64, p.Routers)
	for i := range p.routers {
		if err := p.startRouter(i); err != nil {
			return err
		}
	}
	return nil
}

// startRouter starts a router, for the first time or again.
func (p *play) startRouter(index int) error {
	startedAt := time.Now()
	router, err := testcluster.StartProcess(testcluster.Command{
		Binary:       p.build.Binary,
		Config:       p.configPath(index),
		OperatorFile: p.operatorPath,
	}, func(line testcluster.LogLine) {
		if line.Event != startupPhaseChanged || line.Phase != startup.Warm.String() {
			return
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		p.warmMS = append(p.warmMS, milliseconds(time.Since(startedAt)))
	})
	if err != nil {
		return err
	}
	p.routers[index] = router
	return nil
}

// observe plays clients and the fault's course, and waits until all routers were healthy or the time is over.
func (p *play) observe(ctx context.Context) (testcluster.LoadResult, error) {
	ctx, stop := context.WithTimeout(ctx, p.Duration)
	defer stop()
	var watchers sync.WaitGroup
	var faultErr error
	for i := range p.addresses {
		watchers.Go(func() { p.waitForHealth(ctx, i) })
	}
	watchers.Go(func() { faultErr = p.continueFault(ctx) })
	p.waitForListeners()
	if p.Fault == CacheDrainsUnnoticed {
		watchers.Go(func() { p.watchDrain(ctx) })
	}
	load := testcluster.Load{Rate: p.Rate, Addresses: p.addresses, ConnectionsPer: 1}
	served, err := load.Run(ctx, min(p.Duration, maxLoadDuration))
	watchers.Wait()
	return served, errors.Join(faultErr, err)
}

// waitForHealth notes when a router is healthy for the first time.
func (p *play) waitForHealth(ctx context.Context, router int) {
	for ctx.Err() == nil {
		if testcluster.IsHealthy(p.addresses[router]) {
			p.healthyAtMS[router] = milliseconds(time.Since(p.startedAt))
			return
		}
		time.Sleep(healthPollInterval)
	}
}

// waitForListeners waits until all routers accept connections, for a while.
func (p *play) waitForListeners() {
	deadline := time.Now().Add(maxListenWait)
	for time.Now().Before(deadline) && !allListen(p.addresses) {
		time.Sleep(listenPollInterval)
	}
}

func allListen(addresses []string) bool {
	return !slices.ContainsFunc(addresses, func(address string) bool { return !testcluster.IsListening(address) })
}

func milliseconds(duration time.Duration) float64 {
	return float64(duration) / float64(time.Millisecond)
}
