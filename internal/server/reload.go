package server

import (
	"context"
	"os"
	"tealpath/internal/config"
	"tealpath/internal/discovery"
	"tealpath/internal/logevent"
	"tealpath/internal/neterr"
	"tealpath/internal/operatorconfig"
	"time"
)

// LoadFunc reads the configuration and the operator's file as they are now.
type LoadFunc func() (*config.Config, *operatorconfig.File, error)

// loadRetryInterval is between two tries to read a configuration.
const loadRetryInterval = 50 * time.Millisecond

// Parts of the operator's file that are in force only after a restart, as the log names them.
const (
	restartOnlyIdle    = "idle, and fleet where there was none"
	restartOnlyCluster = "slots, lease, renewal, drift, listen, membership, socket, probe"
)

// reloadOnSignals loads the configuration anew at each signal.
func (s *Server) reloadOnSignals(
	ctx context.Context, signals <-chan os.Signal, load LoadFunc, watch *discovery.Watcher,
) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-signals:
			s.reload(ctx, load, watch)
		}
	}
}

// reload takes discovery's address, and what instances share, from the configuration as it is now. All else
// is in force from the next start on; a configuration that cannot be used changes nothing.
func (s *Server) reload(ctx context.Context, load LoadFunc, watch *discovery.Watcher) {
	next, operator, err := loadWithRetry(ctx, load, s.emit)
	if err == nil && s.cluster != nil && operator != nil {
		err = s.cluster.reload(ctx, operator)
	}
	if err != nil {
		s.emit(ConfigRejected{Cause: err})
		return
	}
	if s.operatorNeedsRestart(operator) {
		s.emit(OperatorConfigNeedsRestart{Parts: restartOnlyIdle})
	}
	s.emit(ConfigReloaded{
		DiscoveryAddress: next.DiscoveryAddress,
		RestartRequired:  s.config.RestartRequired(next),
	})
	watch.SetAddress(next.DiscoveryAddress)
}

// operatorNeedsRestart tells whether a newer operator's file differs in what a running server can't change.
func (s *Server) operatorNeedsRestart(next *operatorconfig.File) bool {
	if next == nil || s.operator == nil {
		return false
	}
	clusterChanged := (s.cluster == nil) != (next.Cluster == nil)
	return clusterChanged || !next.Idle.Same(s.operator.Idle)
}

// loadWithRetry reads the configuration, and tries again while this machine lacks the descriptors or the
// memory: if the reload were passed over, a new address of discovery would never be used.
func loadWithRetry(
	ctx context.Context, load LoadFunc, emit func(logevent.Event),
) (*config.Config, *operatorconfig.File, error) {
	for attempts := 0; ; attempts++ {
		next, operator, err := load()
		if !neterr.IsExhausted(err) {
			return next, operator, err
		}
		if attempts == 0 {
			emit(ConfigLoadDelayed{Cause: err})
		}
		select {
		case <-time.After(loadRetryInterval):
		case <-ctx.Done():
			return nil, nil, err
		}
	}
}
