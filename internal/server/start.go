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

// poster returns a function that hands events to the event loop, stamped with the time when they came. It
// waits while the inbox is full.
func (s *Server) poster(ctx context.Context) func(router.Event) {
	return func(event router.Event) {
		select {
		case s.inbox <- arrival{s.clock.Now(), event}:
		case <-ctx.Done():
		}
	}
}

// tryPost hands an event to the event loop, or drops it where the inbox is full: the result of a probe is
// not worth a wait.
func (s *Server) tryPost(event router.Event) {
	select {
	case s.inbox <- arrival{s.clock.Now(), event}:
	default:
	}
}

// start makes the connections' sides. What serves beside the event loop from now on runs in the group:
// links to other instances, and the operator's socket.
func (s *Server) start(
	ctx context.Context, group *errgroup.Group, listener net.Listener, post func(router.Event),
	shutdownRequested <-chan struct{},
) error {
	s.startUpstream(ctx, post)
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
		handlers := s.operatorHandlers()
		group.Go(func() error { return adminsocket.Serve(ctx, s.operator.SocketPath, handlers) })
	}
	return nil
}

// startUpstream makes the connections to endpoints.
func (s *Server) startUpstream(ctx context.Context, post func(router.Event)) {
	s.upstream = upstream.NewPool(ctx, upstream.Config{
		LoadReportFields: s.config.Settings.LoadReportFields,
		MinResponseRate:  s.config.Settings.ResponseBytesPerSecond,
		Post:             post,
		Clock:            s.clock,
	})
}

// startDownstream makes the side of the clients' connections.
func (s *Server) startDownstream(listener net.Listener, post func(router.Event)) {
	connections, policies := s.clientConnections()
	config := downstream.Config{
		MaxConnections:           connections,
		Policies:                 policies,
		MaxRequestsPerConnection: maxOpenRequestsPerClient,
		MaxBytes:                 int64(s.memory(responseMemoryShare)),
		Cores:                    s.config.Cores,
		Seed:                     s.config.Seed,
		Clock:                    s.clock,
		Saturated:                func() bool { return len(s.inbox) >= maxInboxEvents/2 },
	}
	s.downstream = downstream.New(listener, config, post, s.emit)
}

// startCluster opens the links to other instances and shares the periodic tasks with them.
func (s *Server) startCluster(ctx context.Context, group *errgroup.Group, shutdownRequested <-chan struct{}) error {
	node, err := newClusterNode(ctx, clusterConfig{
		operator:    s.operator,
		settings:    s.config.Settings,
		clock:       s.clock,
		emit:        s.emit,
		probeResult: s.tryPost,
	})
	if err != nil {
		return err
	}
	s.cluster = node
	node.setEndpoints(s.router.Endpoints(), s.config.Settings)
	group.Go(func() error { return node.run(ctx, shutdownRequested) })
	return nil
}

// operatorHandlers are the subjects that the operator's socket answers.
func (s *Server) operatorHandlers() map[string]adminsocket.Handler {
	handlers := map[string]adminsocket.Handler{"connections": s.connections}
	if s.cluster != nil {
		handlers["duties"] = s.cluster.leaseStatus
		handlers["members"] = s.cluster.memberStatus
	}
	return handlers
}

// newWatch makes the watch on discovery, which goes on behind what is known.
func (s *Server) newWatch(history discovery.History, post func(router.Event)) *discovery.Watcher {
	calls := startup.NewCallSchedule(s.config.Seed, s.config.Settings.Routers, s.readinessHold())
	calls.SetDrainGrace(s.shortestGrace())
	return discovery.NewWatcher(discovery.Config{
		Address:  s.config.DiscoveryAddress,
		History:  history,
		Schedule: calls,
		Post:     post,
		Log:      s.emit,
		Clock:    s.clock,
	})
}
