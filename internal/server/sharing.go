package server

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"tealpath/control"
	"tealpath/internal/clock"
	"tealpath/internal/cluster"
	"tealpath/internal/cluster/lease"
	"tealpath/internal/cluster/peer"
	"tealpath/internal/cluster/probe"
	"tealpath/internal/config"
	"tealpath/internal/downstream/idle"
	"tealpath/internal/operatorconfig"
	"tealpath/internal/router"
	"tealpath/internal/upstream"
)

const (
	sharingInbox = 256 // messages on their way to the reducer of the fleet
	probesMost   = 256 // under way
	flushWithin  = 300 * time.Millisecond
	frameCost    = 4 + 22 // bytes: a frame's length, and what TLS 1.3 adds to a record
)

// sharing is what an instance has in common with others: the reducer of the fleet, and the links and probes round it.
type sharing struct {
	file    *operatorconfig.File
	node    *cluster.Node
	links   *peer.Links
	log     zerolog.Logger
	clock   clock.Clock // for stamps of other machines; the fleet's own spans go by bootTime
	inbox   chan cluster.Event
	asks    chan chan cluster.Status
	targets atomic.Pointer[[]probe.Target]
	relist  chan struct{}
	tell    func(router.Event) // does not wait
	report  []string
	probing chan struct{}
	held    []atomic.Uint64 // by slot: the number that it is held under, 0 if it is not
	probes  atomic.Int64    // sent
	frames  atomic.Int64    // sent
	bytes   atomic.Int64    // sent
	views   chan chan cluster.MembersStatus
}

// coldOf takes what cold members bear from the settings.
func coldOf(set control.Settings) (cache, parent probe.ColdLimit) {
	cache = probe.ColdLimit{Share: setting(set, "cold.share", 1.), Factor: setting(set, "cold.factor", 1.),
		Window: setting(set, "cold.window", int64(time.Second)), WarmUpDuration: setting(set, "cold.span", int64(0))}
	parent = cache
	parent.Share, parent.WarmUpDuration = setting(set, "parent.coldShare", 1.), setting(set, "parent.coldSpan", int64(0))
	parent.Factor = setting(set, "parent.coldFactor", cache.Factor)
	return cache, parent
}

// unixMilli is the wall clock in ms. It only lifts the numbers that slots are held under (docs/duties.md): no span goes by it.
func unixMilli(c clock.Clock) int64 { return c.Wall() / int64(time.Millisecond) }

func setting[T any](set control.Settings, name string, fallback T) T {
	if v, ok := set[name].(T); ok {
		return v
	}
	return fallback
}

// neighbours is how many routers the own location has, with this one; all, where the settings don't tell by location.
func neighbours(set control.Settings) int {
	here := slices.Index(setting(set, "locations", []string(nil)), setting(set, "location", ""))
	if all := setting(set, "location.routers", []int64(nil)); here >= 0 && here < len(all) {
		return int(max(1, all[here]))
	}
	return int(max(1, setting(set, "routers", int64(1))))
}

// Bind checks an operator's file against a configuration: the deployment's settings and the limits.
func Bind(file *operatorconfig.File, c *config.Config) error {
	cache, parent := coldOf(c.Settings)
	p := New(c, file, zerolog.Nop())
	return errors.Join(file.Bound(setting(c.Settings, "probe", false), cache, parent),
		file.Fits(idle.Resources{Descriptors: int(p.sockets()), UpstreamConnections: int(linkShare * float64(p.sockets())), MemoryBytes: int64(p.bytes(1))},
			int(clientShare*float64(p.sockets()))),
		file.Holds(int(setting(c.Settings, "routers", int64(1)))), file.Spreads(neighbours(c.Settings)))
}

// newSharing makes the fleet's part of a process, with its listener open.
func newSharing(ctx context.Context, file *operatorconfig.File, set control.Settings, log zerolog.Logger, c clock.Clock,
	tell func(router.Event)) (*sharing, error) {
	f := file.Fleet
	var draw [16]byte
	if _, err := rand.Read(draw[:]); err != nil {
		return nil, err
	}
	self := lease.Instance{Name: f.Name, Incarnation: binary.LittleEndian.Uint64(draw[:8]) | 1}
	keys, err := f.TLS.Load()
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrConfig, err)
	}
	node, err := cluster.New(bootTime(), cluster.Config{Self: self, Address: f.Listen, Weight: f.Weight, Contacts: f.Instances,
		Lease: lease.Config{Slots: f.Slots, LeaseDuration: f.Lease, RenewInterval: f.Renewal, MaxClockDrift: f.Drift, Voters: f.Voters},
		Seed:  binary.LittleEndian.Uint64(draw[8:]), Probe: f.Probe, WallMS: unixMilli(c), Membership: f.Members})
	if err != nil {
		return nil, fmt.Errorf("%w: fleet: %w", ErrConfig, err)
	}
	listener, err := listenSoon(ctx, nil, f.Listen, net.KeepAliveConfig{Enable: true})
	if err != nil {
		return nil, fmt.Errorf("links to instances: %w", err)
	}
	s := &sharing{file: file, node: node, log: log, clock: c, inbox: make(chan cluster.Event, sharingInbox),
		asks: make(chan chan cluster.Status), views: make(chan chan cluster.MembersStatus), relist: make(chan struct{}, 1), tell: tell, probing: make(chan struct{}, probesMost),
		held: make([]atomic.Uint64, f.Slots)}
	s.report, _ = set["report.fields"].([]string)
	s.links = peer.New(peer.Config{Name: self.Name, Incarnation: self.Incarnation, Listener: listener, Keys: keys,
		Allow: f.Allow, Log: func(line, who, why string) { s.note(cluster.Log{Line: line, Member: who, Reason: why}) },
		Receive: func(name string, incarnation uint64, payload []byte) {
			m, err := cluster.Decode(payload)
			if err != nil {
				s.note(cluster.Log{Line: "a message passed over", Member: name, Reason: err.Error()})
				return
			}
			s.post(ctx, cluster.MessageReceived{From: lease.Instance{Name: name, Incarnation: incarnation}, Message: m})
		}})
	return s, nil
}

func (s *sharing) post(ctx context.Context, e cluster.Event) {
	select {
	case s.inbox <- e:
	case <-ctx.Done():
	}
}

// list hands the list of members on; it does not wait.
func (s *sharing) list(lines []router.EndpointEntry, set control.Settings) {
	var out []probe.Target
	cache, parent := coldOf(set)
	kinds := setting(set, "kinds", []string(nil))
	kind := func(name string) string {
		if i := setting(set, name, int64(-1)); i >= 0 && i < int64(len(kinds)) {
			return kinds[i]
		}
		return ""
	}
	now, boot := s.clock.Now(), bootTime()
	for _, l := range lines {
		if l.Phase != "ready" || l.Kind == kind("kind.origin") && l.Kind != "" {
			continue // who drains or is gone gets nothing new, the origin is not probed
		}
		t := probe.Target{Name: l.Instance, Address: l.Address, Capacity: l.Capacity,
			Parent: l.Kind != "" && l.Kind == kind("kind.parent")}
		span := cache.WarmUpDuration
		if t.Parent {
			span = parent.WarmUpDuration
		}
		if l.StartedAt > 0 {
			t.WarmAt = min(l.StartedAt, now) - now + boot + span // nobody started after it was told that it had
		}
		out = append(out, t)
	}
	s.targets.Store(&out)
	select {
	case s.relist <- struct{}{}:
	default:
	}
}

// run is the one goroutine of the fleet's reducer, with the links beside it.
func (s *sharing) run(ctx context.Context, leave <-chan struct{}) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.links.Run(ctx) })
	group.Go(func() error {
		timer := time.NewTimer(0)
		defer timer.Stop()
		for {
			select {
			case <-ctx.Done():
				return nil
			case e := <-s.inbox:
				s.handle(ctx, e, timer)
			case <-s.relist:
				s.handle(ctx, cluster.TargetsUpdated{Targets: *s.targets.Load()}, timer)
			case <-leave:
				leave = nil
				s.handle(ctx, cluster.ShutdownStarted{}, timer)
				s.links.Flush(flushWithin)
			case reply := <-s.asks:
				status := s.node.Status(bootTime())
				status.Frames, status.FramesLost, status.Probes = s.frames.Load(), s.links.Dropped(), s.probes.Load()
				reply <- status
			case reply := <-s.views:
				status := s.node.Members(bootTime())
				status.BytesSent = s.bytes.Load()
				reply <- status
			case <-timer.C:
				s.handle(ctx, cluster.TimerFired{WallMS: unixMilli(s.clock)}, timer)
			}
		}
	})
	return group.Wait()
}

// status answers who owns what.
func (s *sharing) status(ctx context.Context, _ []string) (any, error) {
	reply := make(chan cluster.Status, 1)
	select {
	case s.asks <- reply:
		return <-reply, nil
	case <-ctx.Done():
		return nil, errors.New("the instance does not answer in time")
	}
}

// members answers who is believed to be there.
func (s *sharing) members(ctx context.Context, _ []string) (any, error) {
	reply := make(chan cluster.MembersStatus, 1)
	select {
	case s.views <- reply:
		return <-reply, nil
	case <-ctx.Done():
		return nil, errors.New("the instance does not answer in time")
	}
}

func (s *sharing) handle(ctx context.Context, e cluster.Event, timer *time.Timer) {
	for _, effect := range s.node.Handle(bootTime(), e) {
		switch effect := effect.(type) {
		case cluster.Send:
			payload, err := effect.Message.Encode()
			if err != nil {
				s.note(cluster.Log{Line: "a message could not be written", Member: effect.To, Reason: err.Error()})
				continue
			}
			s.frames.Add(1)
			s.bytes.Add(int64(len(payload)) + frameCost)
			s.links.Send(effect.To, payload)
		case cluster.SetPeers:
			peers := make(map[string]string, len(effect.Peers))
			for _, p := range effect.Peers {
				peers[p.Name] = p.Address
			}
			s.links.SetPeers(peers)
		case cluster.LeaseChanged:
			s.held[effect.Slot].Store(effect.Ballot)
		case cluster.SendProbe:
			s.ask(ctx, effect.Probe)
		case cluster.TargetProbed:
			s.tell(router.ProbeEnded{Instance: effect.Target, Healthy: effect.Healthy, LoadReport: effect.Load})
		case cluster.Log:
			s.note(effect)
		case cluster.SetTimer:
			timer.Reset(time.Duration(effect.At - bootTime()))
		}
	}
}

// ask sends a probe beside the reducer.
func (s *sharing) ask(ctx context.Context, p probe.Probe) {
	select {
	case s.probing <- struct{}{}:
	default:
		return // as many as that hang already: one that is left out is not missed
	}
	go func() {
		defer func() { <-s.probing }()
		limited, cancel := context.WithTimeout(ctx, time.Duration(p.Timeout))
		defer cancel()
		load, err := upstream.Alive(limited, p.Address, fmt.Sprintf("%016x", p.Ballot), s.report,
			func() bool { return bootTime() < p.Until && s.held[p.Slot].Load() == p.Ballot })
		if errors.Is(err, upstream.ErrWithdrawn) || ctx.Err() != nil {
			return
		}
		s.probes.Add(1)
		s.post(ctx, cluster.ProbeEnded{ProbeResult: cluster.ProbeResult{Target: p.Target, Ballot: p.Ballot, Healthy: err == nil, Load: load}})
	}()
}

func (s *sharing) note(l cluster.Log) {
	event := s.log.Info()
	if l.Member != "" {
		event = event.Str("member", l.Member)
	}
	if l.Slots != nil {
		event = event.Ints("slots", l.Slots).Uint64("number", l.Ballot)
	}
	if l.Reason != "" {
		event = event.Str("why", l.Reason)
	}
	event.Msg(l.Line)
}

// reload takes what may change in a running instance from the operator's file as it is now: keys, address sets,
// instances, voters. All of it or nothing.
func (s *sharing) reload(ctx context.Context, next *operatorconfig.File) error {
	if next.Fleet == nil {
		return errors.New("it has no (fleet …) any more: that takes a restart")
	}
	keys, err := next.Fleet.TLS.Load()
	if err != nil {
		return err
	}
	old, f := s.file.Fleet, next.Fleet
	if old.Slots != f.Slots || old.Lease != f.Lease || old.Renewal != f.Renewal || old.Drift != f.Drift ||
		old.Listen != f.Listen || old.Members != f.Members || s.file.Socket != next.Socket || (old.Probe == nil) != (f.Probe == nil) ||
		old.Probe != nil && *old.Probe != *f.Probe {
		s.note(cluster.Log{Line: "operator's file: in force after a restart only: slots, lease, renewal, drift, listen, membership, socket, probe"})
	}
	s.links.UseKeys(keys)
	s.links.SetAllowed(f.Allow)
	s.post(ctx, cluster.ConfigChanged{Contacts: f.Instances, Weight: f.Weight, Voters: f.Voters})
	return nil
}

// listenSoon opens a listener. At a restart the process before may not have let go of the address yet. Where this one is to end
// meanwhile there is none, and no error.
func listenSoon(ctx context.Context, leave <-chan struct{}, address string, alive net.KeepAliveConfig) (net.Listener, error) {
	for end := time.Now().Add(addressWait); ; {
		listener, err := (&net.ListenConfig{KeepAliveConfig: alive}).Listen(ctx, "tcp", address)
		if err == nil || !mayPass(err) || time.Now().After(end) {
			return listener, err
		}
		select {
		case <-leave:
			return nil, nil // nobody has come yet
		case <-time.After(addressWait / 20):
		}
	}
}
