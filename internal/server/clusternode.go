package server

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"net"
	"sync/atomic"
	"tealpath/control"
	"tealpath/internal/clock"
	"tealpath/internal/cluster"
	"tealpath/internal/cluster/lease"
	"tealpath/internal/cluster/peer"
	"tealpath/internal/cluster/probe"
	"tealpath/internal/logevent"
	"tealpath/internal/operatorconfig"
	"tealpath/internal/router"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// maxClusterInbox is how many messages may be on their way to the cluster's reducer.
	maxClusterInbox = 256

	// maxProbesInFlight bounds the probes that are not answered yet.
	maxProbesInFlight = 256

	// shutdownFlushTimeout is for how long a shutdown waits until its messages to other instances are written.
	shutdownFlushTimeout = 300 * time.Millisecond

	// frameOverhead is what a frame has beside its payload, bytes: its length, and what TLS 1.3 adds to a
	// record.
	frameOverhead = 4 + 22
)

// clusterNode is what an instance shares with others: the cluster's reducer with the links and probes round
// it. One goroutine runs the reducer (clusterLoop).
type clusterNode struct {
	operator         *operatorconfig.File // as at the start
	reducer          *cluster.Node        // of the loop's goroutine alone
	links            *peer.Links
	clock            clock.Clock // for times that other machines tell; the cluster's own spans go by bootTime
	emit             func(logevent.Event)
	probeResult      func(router.Event) // does not wait
	loadReportFields []string

	inbox          chan cluster.Event
	leaseQueries   chan chan cluster.Status
	memberQueries  chan chan cluster.MembersStatus
	targets        atomic.Pointer[[]probe.Target] // what the endpoint list gave last
	targetsChanged chan struct{}

	probeTokens chan struct{}   // holds one for each probe in flight
	ballots     []atomic.Uint64 // by slot: the ballot that its lease is held under, 0 if it is not

	probesSent atomic.Int64
	framesSent atomic.Int64
	bytesSent  atomic.Int64
}

// clusterConfig is what a clusterNode is made of.
type clusterConfig struct {
	operator    *operatorconfig.File
	settings    control.Settings
	clock       clock.Clock
	emit        func(logevent.Event)
	probeResult func(router.Event) // takes what probes find; does not wait
}

// unixMilli is the wall clock in ms. It only lifts the ballots of leases (docs/duties.md): no span goes by it.
func unixMilli(c clock.Clock) int64 { return c.Wall() / int64(time.Millisecond) }

// newClusterNode makes a node with its listener open.
func newClusterNode(ctx context.Context, config clusterConfig) (*clusterNode, error) {
	fleet := config.operator.Cluster
	var random [16]byte
	if _, err := rand.Read(random[:]); err != nil {
		return nil, err
	}
	self := lease.Instance{Name: fleet.Name, Incarnation: binary.LittleEndian.Uint64(random[:8]) | 1}
	keys, err := fleet.TLS.Load()
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrConfig, err)
	}
	initial := reducerConfig(fleet, self)
	initial.Seed = binary.LittleEndian.Uint64(random[8:])
	initial.WallMS = unixMilli(config.clock)
	reducer, err := cluster.New(bootTime(), initial)
	if err != nil {
		return nil, fmt.Errorf("%w: fleet: %w", ErrConfig, err)
	}
	listener, err := listenWithRetry(ctx, nil, fleet.Listen, net.KeepAliveConfig{Enable: true})
	if err != nil {
		return nil, fmt.Errorf("links to instances: %w", err)
	}
	node := &clusterNode{
		operator:         config.operator,
		reducer:          reducer,
		clock:            config.clock,
		emit:             config.emit,
		probeResult:      config.probeResult,
		loadReportFields: config.settings.LoadReportFields,
		inbox:            make(chan cluster.Event, maxClusterInbox),
		leaseQueries:     make(chan chan cluster.Status),
		memberQueries:    make(chan chan cluster.MembersStatus),
		targetsChanged:   make(chan struct{}, 1),
		probeTokens:      make(chan struct{}, maxProbesInFlight),
		ballots:          make([]atomic.Uint64, fleet.Slots),
	}
	node.links = peer.New(peer.Config{
		Name:        self.Name,
		Incarnation: self.Incarnation,
		Listener:    listener,
		Keys:        keys,
		Allow:       fleet.Allow,
		Log:         node.emit,
		Receive: func(name string, incarnation uint64, payload []byte) {
			node.receive(ctx, lease.Instance{Name: name, Incarnation: incarnation}, payload)
		},
	})
	return node, nil
}

// reducerConfig is the configuration of the cluster's reducer, by the operator's file.
func reducerConfig(fleet *operatorconfig.Cluster, self lease.Instance) cluster.Config {
	return cluster.Config{
		Self:     self,
		Address:  fleet.Listen,
		Weight:   fleet.Weight,
		Contacts: fleet.Instances,
		Lease: lease.Config{
			Slots:         fleet.Slots,
			LeaseDuration: fleet.LeaseDuration,
			RenewInterval: fleet.RenewalInterval,
			MaxClockDrift: fleet.MaxClockDrift,
			Voters:        fleet.Voters,
		},
		Probe:      fleet.Probe,
		Membership: fleet.Membership,
	}
}

// receive takes a message from another instance.
func (node *clusterNode) receive(ctx context.Context, from lease.Instance, payload []byte) {
	message, err := cluster.Decode(payload)
	if err != nil {
		node.emit(ClusterMessageIgnored{Member: from.Name, Cause: err})
		return
	}
	node.post(ctx, cluster.MessageReceived{From: from, Message: message})
}

// post hands an event to the cluster's reducer. It waits while the inbox is full.
func (node *clusterNode) post(ctx context.Context, event cluster.Event) {
	select {
	case node.inbox <- event:
	case <-ctx.Done():
	}
}

// run runs the cluster's reducer and the links until ctx ends.
func (node *clusterNode) run(ctx context.Context, shutdownRequested <-chan struct{}) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return node.links.Run(ctx) })
	group.Go(func() error {
		loop := clusterLoop{
			node:              node,
			shutdownRequested: shutdownRequested,
			reducerTimer:      time.NewTimer(0),
		}
		loop.run(ctx)
		return nil
	})
	return group.Wait()
}
