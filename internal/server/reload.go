package server

import (
	"context"
	"os"
	"time"

	"tealpath/internal/config"
	"tealpath/internal/discovery"
	"tealpath/internal/logevent"
	"tealpath/internal/neterr"
	"tealpath/internal/operatorconfig"
)

// LoadFunc loads the configuration and the operator's file anew.
type LoadFunc func() (*config.Config, *operatorconfig.File, error)

// loadRetryInterval is the time between two attempts to load a configuration.
const loadRetryInterval = 50 * time.Millisecond

// Parts of the operator's file that are in force only after a restart, as the log names them.
const (
	restartOnlyIdle    = "idle, and fleet where there was none"
	restartOnlyCluster = "slots, lease, renewal, drift, listen, membership, socket, probe"
)

// reloadOnSignals reloads the configuration at each signal, until ctx ends.
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

// reload loads the configuration and applies what can change in a running server: the address of the discovery
// service, and the parts of the cluster that clusterNode.reload applies. All else needs a restart, and is
// logged. A configuration that cannot be used changes nothing.
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

// operatorNeedsRestart reports whether a newer operator's file differs in parts that a running server can't
// change. Those of a cluster that it is a member of already are compared by clusterNode.needsRestart.
func (s *Server) operatorNeedsRestart(next *operatorconfig.File) bool {
	if next == nil || s.operator == nil {
		return false
	}
	clusterChanged := (s.cluster == nil) != (next.Cluster == nil)
	return clusterChanged || !next.Idle.Same(s.operator.Idle)
}

// loadWithRetry loads the configuration, and retries while this machine lacks the descriptors or the memory for
// that: a signal is not repeated, so without a retry the new configuration would never be applied.
func loadWithRetry(
	ctx context.Context, load LoadFunc, emit func(logevent.Event),
) (*config.Config, *operatorconfig.File, error) {
	for isRetry := false; ; isRetry = true {
		next, operator, err := load()
		if !neterr.IsExhausted(err) {
			return next, operator, err
		}
		if !isRetry {
			emit(ConfigLoadDelayed{Cause: err})
		}
		select {
		case <-time.After(loadRetryInterval):
		case <-ctx.Done():
			return nil, nil, err
		}
	}
}
