// Package server takes a router from its start to its exit: it joins the reducer with the connections and
// owns their lifetimes.
package server

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"tealpath/internal/clock"
	"tealpath/internal/config"
	"tealpath/internal/connpool"
	"tealpath/internal/discovery"
	"tealpath/internal/downstream"
	"tealpath/internal/lifecycle/shutdown"
	"tealpath/internal/lifecycle/startup"
	"tealpath/internal/neterr"
	"tealpath/internal/operatorconfig"
	"tealpath/internal/router"
	"tealpath/internal/snapshot"
	"tealpath/internal/upstream"
)

// Phase is where a process stands between its start and its exit.
type Phase int

// The phases, in order.
const (
	Starting Phase = iota
	Serving
	Draining
	Stopped
)

func (p Phase) String() string { return []string{"starting", "serving", "draining", "stopped"}[p] }

// clientAlive is how the system asks whether a client is there: a peer that vanished is found within 150 s, as with Go's
// own 15 s. At that a hundred thousand idle connections took 6,700 segments a second to be asked.
var clientAlive = net.KeepAliveConfig{Enable: true, Idle: 90 * time.Second, Interval: 20 * time.Second, Count: 3}

// shutGap is how far apart a router that ends looks for connections to shut: each look asks the system of every one.
const shutGap = 10 * time.Millisecond

// addressWait is how long an address in use is waited for.
const addressWait = time.Second

// Shares of the limits.
const (
	memoryShare  = 0.7 // from which the collector works harder
	answerShare  = 0.2 // for answers waiting for slow clients, and as much for large requests being read
	bodyShare    = 0.1 // for the bodies of requests in hand
	clientShare  = 0.5 // of the descriptors; clients hold a third at most
	linkShare    = 0.25
	openMost     = 32 // requests on one client's connection
	inboxMost    = 64 // events on their way to the reducer
	leastSockets = 64
	usualMemory  = 64 // MB, where no limit is set
)

// Process is one router's process.
type Process struct {
	config *config.Config
	log    zerolog.Logger
	clock  clock.Clock
	phase  Phase
	inbox  chan arrival
	front  *downstream.Front
	pool   *upstream.Pool
	router *router.Router
	start  *startup.Progress
	file   *operatorconfig.File
	shared *sharing // nil: this instance shares nothing with others
	keeper *keeper  // nil: nothing is kept for the next start

	snapshots func(path string) *snapshot.Store
}

// ErrConfig is a configuration that cannot be served by.
var ErrConfig = errors.New("configuration")

type arrival struct {
	at    int64
	event router.Event
}

// Option changes how a process is made.
type Option func(*Process)

// WithClock has a process take its time from a clock; without it that is clock.System.
func WithClock(c clock.Clock) Option { return func(p *Process) { p.clock = c } }

// New makes a process that has not started. With an operator's file it has what that says in common with others.
func New(c *config.Config, file *operatorconfig.File, log zerolog.Logger, options ...Option) *Process {
	p := &Process{config: c, file: file, log: log.With().Str("router", c.Name).Logger(), clock: clock.System(),
		inbox: make(chan arrival, inboxMost), snapshots: snapshot.NewStore}
	for _, option := range options {
		option(p)
	}
	return p
}

// Check tells what would keep a process with this configuration from serving, but for its addresses.
func Check(c *config.Config) error {
	_, err := New(c, nil, zerolog.Nop()).prepare()
	return err
}

func (p *Process) enter(next Phase) {
	p.phase = next
	p.line("phase: " + next.String())
}

func (p *Process) line(text string) { p.log.Info().Msg(text) }

func (p *Process) note(l router.Log) {
	logger := p.log
	if l.Instance != "" {
		logger = logger.With().Str("instance", l.Instance).Logger()
	}
	writeEvent(logger, l.Event)
}

// Run serves until leave ends and all that was taken is answered, or until ctx ends, which answers nothing. At
// each signal of again the configuration is loaded anew.
func (p *Process) Run(ctx context.Context, leave <-chan struct{}, again <-chan os.Signal,
	load func() (*config.Config, *operatorconfig.File, error)) error {
	p.enter(Starting)
	defer p.enter(Stopped)
	past, err := p.prepare()
	if err != nil {
		return err
	}
	listener, err := listenSoon(ctx, leave, p.config.Listen, clientAlive)
	if listener == nil {
		return err
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	group, ctx := errgroup.WithContext(ctx)
	post := func(e router.Event) {
		select {
		case p.inbox <- arrival{p.clock.Now(), e}:
		case <-ctx.Done():
		}
	}
	report, _ := p.config.Settings["report.fields"].([]string)
	p.pool = upstream.New(ctx, report, post, upstream.WithClock(p.clock))
	flow, _ := p.config.Settings["answer.bytesPerS"].(float64)
	p.pool.Pace(flow)
	connections, keep := p.keeping()
	p.front = downstream.New(listener, downstream.Limits{Connections: connections, Keep: keep,
		Open:  openMost,
		Bytes: int64(p.bytes(answerShare)), Cores: p.config.Cores, Seed: p.config.Seed, Clock: p.clock,
		Crowded: func() bool { return len(p.inbox) >= inboxMost/2 }}, post, p.line)
	if p.file != nil && p.file.Fleet != nil {
		p.shared, err = newSharing(ctx, p.file, p.config.Settings, p.log, p.clock, func(e router.Event) {
			select { // a probe's result is not worth waiting for
			case p.inbox <- arrival{p.clock.Now(), e}:
			default:
			}
		})
		if err != nil {
			listener.Close()
			return err
		}
		p.shared.list(p.router.Endpoints(), p.config.Settings)
		group.Go(func() error { return p.shared.run(ctx, leave) })
	}
	if p.file != nil && p.file.Socket != "" {
		handlers := map[string]operatorconfig.Handler{"connections": p.connections}
		if p.shared != nil {
			handlers["duties"], handlers["members"] = p.shared.status, p.shared.members
		}
		group.Go(func() error { return operatorconfig.Serve(ctx, p.file.Socket, handlers) })
	}
	p.enter(Serving)
	p.step()
	group.Go(func() error {
		defer stop()
		return p.reduce(ctx, leave)
	})
	group.Go(func() error { return p.front.Serve(ctx) })
	routers, _ := p.config.Settings["routers"].(int64)
	calls := startup.NewCallSchedule(p.config.Seed, int(routers), p.holding())
	calls.SetDrainGrace(p.grace())
	journal := discovery.New(p.config.DiscoveryAddress, past, calls, post, p.line, discovery.WithClock(p.clock))
	group.Go(func() error { return journal.Run(ctx) })
	group.Go(func() error {
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-again:
				p.reload(ctx, load, journal)
			}
		}
	})
	err = group.Wait()
	p.pool.Wait()
	p.keeper.stop()
	return err
}

// keeping is how many connections clients may hold, and how they are kept; nil is as the platform states it.
func (p *Process) keeping() (int, *downstream.Keep) {
	usual := int(clientShare * float64(p.sockets()))
	if p.file == nil || p.file.Idle == nil {
		return usual, nil
	}
	k := p.file.Idle
	keep := &downstream.Keep{By: k.By}
	for _, n := range k.Networks {
		n.FirstRequestTimeout = downstream.FreshMost
		keep.Networks = append(keep.Networks, n)
	}
	return cmp.Or(k.Most, usual), keep
}

// Connections is what a process says of its connections and of what they cost.
type Connections struct {
	downstream.Counts
	Goroutines int    `json:"goroutines"`
	HeapBytes  uint64 `json:"heap_bytes"` // in use after a collection
	StackBytes uint64 `json:"stack_bytes"`
}

// connections answers how many connections there are. It has the collector run: it is for people and experiments.
func (p *Process) connections(context.Context, []string) (any, error) {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return Connections{p.front.Counts(), runtime.NumGoroutine(), m.HeapAlloc, m.StackInuse}, nil
}

// reload takes the journal service's address from the configuration as it is now. All else is in force from the
// next start on; one that cannot be used changes nothing.
func (p *Process) reload(ctx context.Context, load func() (*config.Config, *operatorconfig.File, error), journal *discovery.Feed) {
	next, file, err := loadWhenPossible(ctx, load, p.line)
	if err == nil && p.shared != nil && file != nil {
		err = p.shared.reload(ctx, file)
	}
	if err != nil {
		p.line("configuration kept as it was: " + err.Error())
		return
	}
	if file != nil && p.file != nil && ((p.shared == nil) != (file.Fleet == nil) || !file.Idle.Same(p.file.Idle)) {
		p.line("operator's file: in force after a restart only: idle, and fleet where there was none")
	}
	line := "configuration read again: journal service at " + next.DiscoveryAddress
	if differs := p.config.RestartRequired(next); differs != "" {
		line += "; in force after a restart only: " + differs
	}
	p.line(line)
	journal.Move(next.DiscoveryAddress)
}

// mayPass tells whether an address that could not be listened on may be had in a moment: another process lets go of it, or of what
// this machine lacks.
func mayPass(err error) bool { return errors.Is(err, syscall.EADDRINUSE) || neterr.IsExhausted(err) }

func (p *Process) sockets() int64 { return max(p.config.MaxSockets, leastSockets) }

// bytes is a share of the memory.
func (p *Process) bytes(share float64) int {
	return int(share * float64(cmp.Or(p.config.MemoryMB, usualMemory)<<20))
}

// prepare sets the limits and gives the reducer all that is known at the start.
func (p *Process) prepare() (past discovery.Past, err error) {
	if p.config.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(p.config.Cores)))
	}
	if p.config.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(p.bytes(memoryShare)))
	}
	hands, ok := p.config.Settings["hands.most"].(int64)
	if !ok || hands <= 0 {
		hands = 1 << 14
	}
	now := p.clock.Now()
	p.router, err = router.New(now, p.config.Seed, p.config.Settings, router.Limits{MaxInFlight: int(hands), MaxBodyBytes: p.bytes(bodyShare),
		MaxConnections: int(linkShare * float64(p.sockets())), ConnectionPlan: p.links()})
	if err != nil {
		return past, fmt.Errorf("%w: settings: %w", ErrConfig, err)
	}
	p.start = startup.NewProgress(now, startup.RateWindow, p.holding())
	past, told, err := discovery.Known(p.config.KnownEvents)
	if err != nil {
		return past, fmt.Errorf("%w: %w", ErrConfig, err)
	}
	p.recall(now, &past)
	for _, e := range told {
		if _, list := e.(router.EndpointListUpdated); list {
			p.start.ListReceived()
		}
		for _, effect := range p.router.Handle(now, e) {
			if line, ok := effect.(router.Log); ok {
				p.note(line)
			}
		}
	}
	return past, nil
}

// holding is what the operator's file says of a start.
func (p *Process) holding() startup.ReadinessHold {
	if p.file == nil {
		return startup.ReadinessHold{}
	}
	return p.file.Start
}

// links is the plan of links to caches, where the operator's file says what those bear.
func (p *Process) links() *connpool.Plan {
	if p.file == nil || p.file.Links == nil {
		return nil
	}
	c := *p.file.Links
	c.Router, c.Seed, c.Routers = p.config.Name, p.config.Seed, neighbours(p.config.Settings)
	return connpool.New(c)
}

// step takes the start on: health, and a line for a new phase of it.
func (p *Process) step() {
	p.front.SetReady(p.phase < Draining && p.start.Ready(p.clock.Now()))
	if phase, another := p.start.Update(p.clock.Now()); another {
		p.line("start: " + phase.String())
	}
}

// reduce is the one goroutine that runs the reducer and carries out what it asks for.
func (p *Process) reduce(ctx context.Context, leave <-chan struct{}) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var leaving *shutdown.Plan // nil: not leaving
	var shut time.Time         // when resting connections were last told that they end
	var looks <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-leave:
			now := p.clock.Now()
			leave, leaving = nil, shutdown.New(now, p.longest())
			// Where nothing comes the reducer's own timer is up to 100 ms apart, and the platform kills 100 ms after the plan ends.
			each := time.NewTicker(shutGap)
			defer each.Stop()
			looks = each.C
			p.enter(Draining)
			p.keeper.keepLast(p.router, now, time.Duration(leaving.DiskDeadline()-now))
			p.front.SetReady(false)
			p.handle(now, router.ShutdownStarted{AnswerDeadline: leaving.AnswerDeadline()}, timer)
		case a := <-p.inbox:
			switch e := a.event.(type) {
			case router.ConnectionDown:
				a.event = p.pool.Ended(e)
			case discovery.Heard:
				p.start.ServiceReached(a.at)
				p.step()
				continue
			case discovery.Told:
				p.keeper.told(e)
				continue
			case router.EndpointListUpdated:
				p.start.ListReceived()
				p.step()
			}
			p.handle(a.at, a.event, timer)
			if _, list := a.event.(router.EndpointListUpdated); list {
				if p.shared != nil {
					p.shared.list(p.router.Endpoints(), p.config.Settings)
				}
			}
		case <-timer.C:
			p.handle(p.clock.Now(), router.TimerFired{}, timer)
			p.step()
		case <-p.keeper.due():
			p.keeper.keep(p.router, p.clock.Now())
		case <-looks:
		}
		if leaving == nil {
			continue
		}
		s := shutdown.State{InFlight: p.router.InFlight(), QueuedEvents: len(p.inbox), OpenConnections: p.front.Open()}
		s.Flushed = s.InFlight == 0 && s.QueuedEvents == 0 && p.front.Flushed()
		switch leaving.Next(p.clock.Now(), s) {
		case shutdown.CloseIdle:
			if now := time.Now(); now.Sub(shut) >= shutGap {
				shut = now
				p.front.Shut()
			}
		case shutdown.Exit:
			return nil
		}
	}
}

// grace is the shortest time in which a router has to heed what the journal service tells; 0 is not known.
func (p *Process) grace() int64 {
	shortest := int64(0)
	for _, name := range []string{"drain.grace", "purge.grace"} {
		if grace, _ := p.config.Settings[name].(int64); grace > 0 && (shortest == 0 || grace < shortest) {
			shortest = grace
		}
	}
	return shortest
}

// longest is the longest time that a client may wait.
func (p *Process) longest() time.Duration {
	most := time.Duration(0)
	stops, _ := p.config.Settings["product.hardStop"].([]int64)
	for _, stop := range stops {
		most = max(most, time.Duration(stop))
	}
	return most
}

func (p *Process) handle(at int64, e router.Event, timer *time.Timer) {
	for _, effect := range p.router.Handle(at, e) {
		switch effect := effect.(type) {
		case router.Respond:
			p.front.Answer(effect)
		case router.Send:
			p.pool.Send(effect)
		case router.WithdrawAttempt:
			p.pool.Withdraw(effect)
		case router.CancelAttempt:
			p.pool.GiveUp(effect)
		case router.Dial:
			p.pool.Dial(effect)
		case router.Close:
			p.pool.Close(effect)
		case router.SetTimer:
			timer.Reset(clock.Until(p.clock, effect.At))
		case router.Log:
			p.note(effect)
		}
	}
}
