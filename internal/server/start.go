package server

import (
	"context"
	"net"

	"tealpath/internal/adminsocket"
	"tealpath/internal/discovery"
	"tealpath/internal/downstream"
	"tealpath/internal/lifecycle/startup"
	"tealpath/internal/router"
	"tealpath/internal/upstream"

	"golang.org/x/sync/errgroup"
)

// poster returns a function that posts an event to the event loop with the current time. The function waits while the
// inbox is full, until ctx ends.
func (s *Server) poster(ctx context.Context) downstream.PostFunc {
	return func(event router.Event, handled func()) {
		posted := postedEvent{at: s.clock.Now(), event: event, handled: handled}
		select {
		case s.inbox <- posted:
		case <-ctx.Done():
			posted.finish()
		}
	}
}

// tryPost posts an event to the event loop, or drops it if the inbox is full. It is for results of probes: the
// cluster's loop must not wait for the event loop, and the next probe has a newer result.
func (s *Server) tryPost(event router.Event) {
	select {
	case s.inbox <- postedEvent{at: s.clock.Now(), event: event}:
	default:
	}
}

// start creates the pool of connections to endpoints and the server of clients' connections. In the group it starts
// the connections to other instances and the admin socket, if the operator's file configures them.
func (s *Server) start(
	ctx context.Context, group *errgroup.Group, listener net.Listener, post downstream.PostFunc,
	shutdownRequested <-chan struct{},
) error {
	s.startUpstream(ctx, func(event router.Event) { post(event, nil) })
	s.startDownstream(listener, post)
	if s.operator == nil {
		return nil
	}
	if s.operator.Cluster != nil {
		if err := s.startCluster(ctx, group, shutdownRequested); err != nil {
			return err
		}
	}
	if s.operator.SocketPath != "" {
		handlers := s.adminHandlers()
		group.Go(func() error { return adminsocket.Serve(ctx, s.operator.SocketPath, handlers) })
	}
	return nil
}

// startUpstream creates the pool of connections to endpoints.
func (s *Server) startUpstream(ctx context.Context, post func(router.Event)) {
	s.upstream = upstream.NewPool(ctx, upstream.Config{
		LoadReportFields: s.config.Settings.LoadReportFields,
		MinResponseRate:  s.config.Settings.ResponseBytesPerSecond,
		Post:             post,
		Clock:            s.clock,
	})
}

// startDownstream creates the server of clients' connections. Run starts it.
func (s *Server) startDownstream(listener net.Listener, post downstream.PostFunc) {
	connections, policies := s.clientConnections()
	config := downstream.Config{
		MaxConnections:           connections,
		Policies:                 policies,
		MaxRequestsPerConnection: maxOpenRequestsPerClient,
		MaxBytes:                 int64(s.memoryBytes(responseMemoryShare)),
		MaxRequestBytes:          int64(s.memoryBytes(requestMemoryShare)),
		MaxRequestTime:           s.longestDeadline(),
		MaxResumeWait:            s.maxResumeWait(),
		FreeMemory:               newMemoryGauge(int64(s.memoryBytes(collectorMemoryShare))).free,
		Cores:                    s.config.Cores,
		Seed:                     s.config.Seed,
		Clock:                    s.clock,
		Saturated:                func() bool { return len(s.inbox) >= maxInboxEvents/2 },
	}
	s.downstream = downstream.New(listener, config, post, s.emit)
}

// startCluster starts the connections to other instances. Leases divide the probes of endpoints among the instances.
func (s *Server) startCluster(ctx context.Context, group *errgroup.Group, shutdownRequested <-chan struct{}) error {
	node, err := newClusterNode(ctx, clusterConfig{
		operator:        s.operator,
		settings:        s.config.Settings,
		clock:           s.clock,
		emit:            s.emit,
		postProbeResult: s.tryPost,
	})
	if err != nil {
		return err
	}
	s.cluster = node
	node.setEndpoints(s.router.Endpoints(), s.config.Settings)
	group.Go(func() error { return node.run(ctx, shutdownRequested) })
	return nil
}

// Commands that the admin socket answers.
const (
	ConnectionsCommand = "connections" // the answer is a Connections
	LeasesCommand      = "duties"      // the answer is a cluster.Status
	MembersCommand     = "members"     // the answer is a cluster.MembersStatus
)

// adminHandlers returns the handlers of the admin socket's commands. Only an instance that is a member of a cluster
// answers those for leases and members.
func (s *Server) adminHandlers() map[string]adminsocket.Handler {
	handlers := map[string]adminsocket.Handler{ConnectionsCommand: s.connections}
	if s.cluster != nil {
		handlers[LeasesCommand] = s.cluster.leaseStatus
		handlers[MembersCommand] = s.cluster.memberStatus
	}
	return handlers
}

// newWatch returns the watch of the discovery service. It resumes after the last event of history.
func (s *Server) newWatch(history discovery.History, post func(router.Event)) *discovery.Watcher {
	schedule := startup.NewCallSchedule(s.config.Seed, s.config.Settings.Routers, s.readinessHold())
	schedule.SetShortestGracePeriod(s.shortestGracePeriod())
	return discovery.NewWatcher(discovery.Config{
		Address:  s.config.DiscoveryAddress,
		History:  history,
		Schedule: schedule,
		Post:     post,
		Log:      s.emit,
		Clock:    s.clock,
	})
}
