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

// LoadFunc loads the current configuration and the operator's file. The file is nil if there is none.
type LoadFunc func() (*config.Config, *operatorconfig.File, error)

// loadRetryInterval is the interval between attempts to load a configuration.
const loadRetryInterval = 50 * time.Millisecond

// Parts of the operator's file that take effect only after a restart, as they are named in the log.
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

// reload loads the configuration and applies the parts that can change in a running server: the address of the
// discovery service, and the parts of the cluster that clusterNode.reload applies. Changes of other parts, which need
// a restart, are logged. If the configuration can't be used, nothing changes.
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

// operatorNeedsRestart reports whether a newer operator's file differs in parts that can't be changed in a running
// server. The parts of a cluster of which this instance is already a member are compared by clusterNode.needsRestart.
func (s *Server) operatorNeedsRestart(next *operatorconfig.File) bool {
	if next == nil || s.operator == nil {
		return false
	}
	clusterChanged := (s.cluster == nil) != (next.Cluster == nil)
	return clusterChanged || !next.Idle.EqualLimits(s.operator.Idle)
}

// loadWithRetry loads the configuration. It retries while this machine lacks the descriptors or the memory to do so:
// the reload signal is not repeated, so without a retry the new configuration would never be applied.
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
