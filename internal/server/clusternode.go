package server

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"tealpath/control"
	"tealpath/internal/clock"
	"tealpath/internal/cluster"
	"tealpath/internal/cluster/lease"
	"tealpath/internal/cluster/peer"
	"tealpath/internal/cluster/probe"
	"tealpath/internal/logevent"
	"tealpath/internal/operatorconfig"
	"tealpath/internal/router"

	"golang.org/x/sync/errgroup"
)

const (
	// maxClusterInbox is the capacity of the inbox of the cluster's loop. While the inbox is full, goroutines that
	// post an event wait.
	maxClusterInbox = 256

	// maxProbesInFlight limits the number of probes that wait for their results at the same time.
	maxProbesInFlight = 256

	// shutdownFlushTimeout is how long a shutdown waits at most until its messages to other instances are written.
	shutdownFlushTimeout = 300 * time.Millisecond

	// frameOverhead is the number of bytes that are sent in addition to a frame's payload: 4 for its length and 22
	// for the TLS 1.3 record.
	frameOverhead = 4 + 22
)

// clusterNode is this instance as a member of its cluster. It has the cluster's reducer, which is run by the goroutine
// of clusterLoop, the connections to other instances, and the probes of endpoints.
type clusterNode struct {
	operator         *operatorconfig.File // the file with which the instance started
	reducer          *cluster.Node        // used by the loop's goroutine only
	links            *peer.Links          // connections to other instances
	clock            clock.Clock          // for the wall clock and endpoints' start times; the reducer uses bootTime
	emit             func(logevent.Event)
	postProbeResult  func(router.Event) // posts a router.ProbeEnded; must not block
	loadReportFields []string

	inbox          chan cluster.Event
	leaseQueries   chan chan cluster.Status
	memberQueries  chan chan cluster.MembersStatus
	targets        atomic.Pointer[[]probe.Target] // targets of probes, from the latest endpoint list
	targetsChanged chan struct{}                  // has an item if the reducer does not have the latest targets yet

	probeTokens chan struct{}   // a semaphore: it has an item for each probe in flight
	ballots     []atomic.Uint64 // by slot: the ballot of the lease that this instance holds; 0: it holds none

	probesSent atomic.Int64
	framesSent atomic.Int64
	bytesSent  atomic.Int64
}

// clusterConfig has the parameters of newClusterNode.
type clusterConfig struct {
	operator        *operatorconfig.File
	settings        control.Settings
	clock           clock.Clock
	emit            func(logevent.Event)
	postProbeResult func(router.Event) // posts a router.ProbeEnded; must not block
}

// unixMilli returns the Unix time of the wall clock in ms. It is used only to choose lease ballots that are higher
// than earlier ones (docs/duties.md), never to measure a duration.
func unixMilli(c clock.Clock) int64 { return c.Wall() / int64(time.Millisecond) }

// newClusterNode returns a node whose listener is open. Its incarnation is random, and odd because it must not be 0.
func newClusterNode(ctx context.Context, config clusterConfig) (*clusterNode, error) {
	configured := config.operator.Cluster
	var random [16]byte
	if _, err := rand.Read(random[:]); err != nil {
		return nil, err
	}
	self := lease.Instance{Name: configured.Name, Incarnation: binary.LittleEndian.Uint64(random[:8]) | 1}
	keys, err := configured.TLS.Load()
	if err != nil {
		return nil, fmt.Errorf("%w: fleet: %w", ErrConfig, err)
	}
	initial := reducerConfig(configured, self)
	initial.Seed = binary.LittleEndian.Uint64(random[8:])
	initial.WallMS = unixMilli(config.clock)
	reducer, err := cluster.New(bootTime(), initial)
	if err != nil {
		return nil, fmt.Errorf("%w: fleet: %w", ErrConfig, err)
	}
	listener, err := listenWithRetry(ctx, nil, configured.Listen, net.KeepAliveConfig{Enable: true})
	if err != nil {
		return nil, fmt.Errorf("listener for connections from other instances: %w", err)
	}
	node := &clusterNode{
		operator:         config.operator,
		reducer:          reducer,
		clock:            config.clock,
		emit:             config.emit,
		postProbeResult:  config.postProbeResult,
		loadReportFields: config.settings.LoadReportFields,
		inbox:            make(chan cluster.Event, maxClusterInbox),
		leaseQueries:     make(chan chan cluster.Status),
		memberQueries:    make(chan chan cluster.MembersStatus),
		targetsChanged:   make(chan struct{}, 1),
		probeTokens:      make(chan struct{}, maxProbesInFlight),
		ballots:          make([]atomic.Uint64, configured.Slots),
	}
	node.links = peer.New(peer.Config{
		Name:        self.Name,
		Incarnation: self.Incarnation,
		Listener:    listener,
		Keys:        keys,
		Allow:       configured.Allow,
		Log:         node.emit,
		Receive: func(name string, incarnation uint64, payload []byte) {
			node.receive(ctx, lease.Instance{Name: name, Incarnation: incarnation}, payload)
		},
	})
	return node, nil
}

// reducerConfig returns the configuration of the cluster's reducer according to the operator's file.
func reducerConfig(configured *operatorconfig.Cluster, self lease.Instance) cluster.Config {
	return cluster.Config{
		Self:     self,
		Address:  configured.Listen,
		Weight:   configured.Weight,
		Contacts: configured.Instances,
		Lease: lease.Config{
			Slots:         configured.Slots,
			LeaseDuration: configured.LeaseDuration,
			RenewInterval: configured.RenewalInterval,
			MaxClockDrift: configured.MaxClockDrift,
			Voters:        configured.Voters,
		},
		Probe:      configured.Probe,
		Membership: configured.Membership,
	}
}

// receive decodes a message from another instance and posts it to the loop. A message that can't be decoded is logged
// and dropped.
func (node *clusterNode) receive(ctx context.Context, from lease.Instance, payload []byte) {
	message, err := cluster.Decode(payload)
	if err != nil {
		node.emit(ClusterMessageIgnored{Member: from.Name, Cause: err})
		return
	}
	node.post(ctx, cluster.MessageReceived{From: from, Message: message})
}

// post posts an event to the cluster's loop. It waits while the inbox is full.
func (node *clusterNode) post(ctx context.Context, event cluster.Event) {
	select {
	case node.inbox <- event:
	case <-ctx.Done():
	}
}

// run runs the cluster's loop and the connections to other instances until ctx ends.
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
