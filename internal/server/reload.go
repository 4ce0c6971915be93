package server

import (
	"cmp"
	"context"
	"os"
	"time"

	"tealpath/internal/config"
	"tealpath/internal/discovery"
	"tealpath/internal/logevent"
	"tealpath/internal/neterr"
	"tealpath/internal/operatorconfig"
)

// Loaded is a configuration and the operator's file that goes with it.
type Loaded struct {
	Config        *config.Config
	Operator      *operatorconfig.File           // nil: there is none, or it can't be used
	OperatorError error                          // why the operator's file can't be used
	Misfits       []*operatorconfig.SectionError // sections of Operator that do not fit Config
}

// LoadFunc loads the current configuration and the operator's file. Its error is that of the configuration.
type LoadFunc func() (Loaded, error)

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
// discovery service, and the parts of the cluster that clusterNode.reload applies. Changes of other parts, which need a
// restart, are logged. If the configuration can't be used, nothing changes. The operator's file is taken by itself: if
// it can't be used, the router still follows the discovery service, without which it learns of no drain and no purge.
func (s *Server) reload(ctx context.Context, load LoadFunc, watch *discovery.Watcher) {
	loaded, err := loadWithRetry(ctx, load, s.emit)
	if err != nil {
		s.emit(ConfigRejected{Cause: err})
		return
	}
	s.reloadOperator(ctx, loaded)
	s.emit(ConfigReloaded{
		DiscoveryAddress: loaded.Config.DiscoveryAddress,
		RestartRequired:  s.config.RestartRequired(loaded.Config),
	})
	watch.SetAddress(loaded.Config.DiscoveryAddress)
}

// reloadOperator applies the parts of the operator's file that can change in a running server. A section that does not
// fit the new configuration is logged: the one from the start stays in force.
func (s *Server) reloadOperator(ctx context.Context, loaded Loaded) {
	err := loaded.OperatorError
	if err == nil && s.cluster != nil && loaded.Operator != nil {
		err = s.cluster.reload(ctx, loaded.Operator)
	}
	if err != nil {
		s.emit(OperatorConfigRejected{Cause: err})
		return
	}
	s.logMisfits(loaded.Misfits, inForceFromStart)
	if s.operatorNeedsRestart(loaded.Operator) {
		s.emit(OperatorConfigNeedsRestart{Parts: restartOnlyIdle})
	}
}

// Values of OperatorSectionIgnored.InForce.
const (
	inForceFromStart = "as at the start"
	inForceOff       = "off"
)

// logMisfits logs the sections of the operator's file that do not fit the configuration, and what is in force in their
// place.
func (s *Server) logMisfits(misfits []*operatorconfig.SectionError, inForce string) {
	for _, misfit := range misfits {
		s.emit(OperatorSectionIgnored{Section: string(misfit.Section), Cause: misfit.Err, InForce: inForce})
	}
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
) (Loaded, error) {
	for isRetry := false; ; isRetry = true {
		loaded, err := load()
		lack := cmp.Or(err, loaded.OperatorError)
		if !neterr.IsExhausted(lack) {
			return loaded, err
		}
		if !isRetry {
			emit(ConfigLoadDelayed{Cause: lack})
		}
		select {
		case <-time.After(loadRetryInterval):
		case <-ctx.Done():
			return Loaded{}, lack
		}
	}
}
