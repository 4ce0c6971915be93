// Package server takes a router from its start to its exit: prepare, start, serve, reload, drain, exit. It
// joins the reducer with the connections and owns the lifetimes of their goroutines.
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

// ErrConfig is a configuration that cannot be served by.
var ErrConfig = errors.New("configuration")

// maxInboxEvents is how many events may be on their way to the reducer. Whoever brings one more waits.
const maxInboxEvents = 64

// Server is one router. Its fields are set before the goroutines that use them start, and do not change
// afterwards, but for phase, router, progress and snapshots, which belong to the event loop then.
type Server struct {
	config    *config.Config
	operator  *operatorconfig.File // nil: no operator's file is in force
	logger    zerolog.Logger
	clock     clock.Clock
	openStore func(path string) *snapshot.Store

	phase     Phase
	inbox     chan arrival
	router    *router.Router
	progress  *startup.Progress
	snapshots *snapshotWriter // nil: nothing is kept for the next start

	downstream *downstream.Server
	upstream   *upstream.Pool
	cluster    *clusterNode // nil: this instance shares nothing with others
}

// arrival is an event for the reducer, with the time when it came: ns of the server's clock.
type arrival struct {
	at    int64
	event router.Event
}

// Option changes how a server is made.
type Option func(*Server)

// WithClock has a server take its time from a clock; without it that is clock.System.
func WithClock(c clock.Clock) Option { return func(s *Server) { s.clock = c } }

// New makes a server that has not started. With an operator's file it has what that says in common with others.
func New(c *config.Config, operator *operatorconfig.File, logger zerolog.Logger, options ...Option) *Server {
	s := &Server{
		config:    c,
		operator:  operator,
		logger:    logger.With().Str("router", c.Name).Logger(),
		clock:     clock.System(),
		openStore: snapshot.NewStore,
		inbox:     make(chan arrival, maxInboxEvents),
	}
	for _, option := range options {
		option(s)
	}
	return s
}

// Check returns what would keep a server with this configuration from serving, but for its addresses.
func Check(c *config.Config) error {
	_, err := New(c, nil, zerolog.Nop()).prepare()
	return err
}

// Run serves until shutdownRequested is closed and all that was accepted is answered, or until ctx ends,
// which answers nothing. At each of reloadSignals the configuration is loaded anew.
func (s *Server) Run(
	ctx context.Context, shutdownRequested <-chan struct{}, reloadSignals <-chan os.Signal, load LoadFunc,
) error {
	s.enter(Starting)
	defer s.enter(Stopped)
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
	post := s.poster(ctx)
	if err := s.start(ctx, group, listener, post, shutdownRequested); err != nil {
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

// exit waits for what still writes once the event loop has ended.
func (s *Server) exit() {
	s.upstream.Wait()
	s.snapshots.stop()
}
