// Package server runs a router from its start to its exit: prepare, start, serve, reload, drain, exit. Its event loop
// passes events from the connections to the reducer (internal/router) and carries out the reducer's effects. The
// package starts all goroutines of the router and waits until they have ended.
package server

import (
	"context"
	"errors"
	"os"

	"tealpath/internal/clock"
	"tealpath/internal/config"
	"tealpath/internal/downstream"
	"tealpath/internal/lifecycle/startup"
	"tealpath/internal/operatorconfig"
	"tealpath/internal/router"
	"tealpath/internal/snapshot"
	"tealpath/internal/upstream"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
)

// ErrConfig is wrapped by all errors that report a configuration with which a server can't start.
var ErrConfig = errors.New("configuration")

// maxInboxEvents is the capacity of the event loop's inbox. While the inbox is full, goroutines that post an event
// wait.
const maxInboxEvents = 64

// Server is one router. Its fields are set before the goroutines that use them start, and do not change afterwards.
// The exceptions are phase and the state of router, progress and snapshots, which the event loop's goroutine owns.
type Server struct {
	config    *config.Config
	operator  *operatorconfig.File // the operator's file; nil: there is none
	logger    zerolog.Logger
	clock     clock.Clock
	openStore func(path string) *snapshot.Store

	misfits []*operatorconfig.SectionError // sections of the operator's file that are off

	phase     Phase
	inbox     chan postedEvent
	router    *router.Router
	progress  *startup.Progress
	snapshots *snapshotWriter // writer of the router's snapshots; nil: none are written

	downstream *downstream.Server
	upstream   *upstream.Pool
	cluster    *clusterNode // this instance as a member of its cluster; nil: it is in none
}

// postedEvent is an event for the event loop with the time at which it was posted.
type postedEvent struct {
	at      int64 // when the event was posted, ns of the server's clock
	event   router.Event
	handled func() // called once the event has been handled; nil: nobody waits for that
}

// finish tells the poster that the event has been handled.
func (p postedEvent) finish() {
	if p.handled != nil {
		p.handled()
	}
}

// Option sets an optional property of a server that New creates.
type Option func(*Server)

// WithClock sets the server's clock. The default is clock.System.
func WithClock(c clock.Clock) Option { return func(s *Server) { s.clock = c } }

// WithMisfits turns sections of the operator's file off that do not fit the configuration. The server logs them when it
// starts.
func WithMisfits(misfits []*operatorconfig.SectionError) Option {
	return func(s *Server) {
		s.misfits = misfits
		for _, misfit := range misfits {
			s.operator.Disable(misfit.Section)
		}
	}
}

// New returns a server that has not started. operator is nil if there is no operator's file.
func New(c *config.Config, operator *operatorconfig.File, logger zerolog.Logger, options ...Option) *Server {
	s := &Server{
		config:    c,
		operator:  operator,
		logger:    logger.With().Str("router", c.Name).Logger(),
		clock:     clock.System(),
		openStore: snapshot.NewStore,
		inbox:     make(chan postedEvent, maxInboxEvents),
	}
	for _, option := range options {
		option(s)
	}
	return s
}

// Check returns an error if a server can't start with a configuration. It does not check whether the server can listen
// on its addresses.
func Check(c *config.Config) error {
	_, err := New(c, nil, zerolog.Nop()).prepare()
	return err
}

// Run serves until shutdownRequested is closed and all accepted requests are answered, or until ctx ends, which stops
// the server without a graceful shutdown. At each signal of reloadSignals it reloads the configuration with load.
func (s *Server) Run(
	ctx context.Context, shutdownRequested <-chan struct{}, reloadSignals <-chan os.Signal, load LoadFunc,
) error {
	s.enter(Starting)
	defer s.enter(Stopped)
	s.logMisfits(s.misfits, inForceOff)
	history, err := s.prepare()
	if err != nil {
		return err
	}
	listener, err := listenWithRetry(ctx, shutdownRequested, s.config.Listen, clientKeepAlive)
	if listener == nil {
		return err
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	group, ctx := errgroup.WithContext(ctx)
	postWithCallback := s.poster(ctx)
	post := func(event router.Event) { postWithCallback(event, nil) }
	if err := s.start(ctx, group, listener, postWithCallback, shutdownRequested); err != nil {
		discard(listener)
		return err
	}
	s.enter(Serving)
	s.advanceStartup()
	group.Go(func() error {
		defer stop()
		return newLoop(s, shutdownRequested).run(ctx)
	})
	group.Go(func() error { return s.downstream.Serve(ctx) })
	watch := s.newWatch(history, post)
	group.Go(func() error { return watch.Run(ctx) })
	group.Go(func() error { return s.reloadOnSignals(ctx, reloadSignals, load, watch) })
	err = group.Wait()
	s.exit()
	return err
}

// exit waits for the goroutines that are not in Run's group: those of connections to endpoints, and the snapshot
// writer's.
func (s *Server) exit() {
	s.upstream.Wait()
	s.snapshots.stop()
}
