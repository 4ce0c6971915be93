package server

import (
	"context"
	"errors"
	"fmt"

	"tealpath/internal/cluster"
	"tealpath/internal/cluster/probe"
	"tealpath/internal/operatorconfig"
)

// errNoCluster reports that a newer operator's file lacks the cluster of which this instance is a member.
var errNoCluster = errors.New("the operator's file has no (fleet …), but this instance is a member of a cluster: " +
	"leaving it requires a restart")

// reload applies the parts of a newer operator's file that may change in a running instance: the keys, the allowed
// addresses, the instances, the weight of this instance, and the voters. If it returns an error, it has applied
// nothing.
func (node *clusterNode) reload(ctx context.Context, next *operatorconfig.File) error {
	if next.Cluster == nil {
		return errNoCluster
	}
	configured := next.Cluster
	keys, err := configured.TLS.Load()
	if err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	if node.needsRestart(next) {
		node.emit(OperatorConfigNeedsRestart{Parts: restartOnlyCluster})
	}
	node.links.UseKeys(keys)
	node.links.SetAllowed(configured.Allow)
	node.post(ctx, cluster.ConfigChanged{
		Contacts: configured.Instances,
		Weight:   configured.Weight,
		Voters:   configured.Voters,
	})
	return nil
}

// needsRestart reports whether a newer operator's file differs from the one at the start in a part that can't be
// changed in a running instance.
func (node *clusterNode) needsRestart(next *operatorconfig.File) bool {
	before, after := node.operator.Cluster, next.Cluster
	return leasesDiffer(before, after) || probesDiffer(before.Probe, after.Probe) ||
		before.Membership != after.Membership ||
		before.Listen != after.Listen ||
		node.operator.SocketPath != next.SocketPath
}

// leasesDiffer reports whether two configurations differ in the parameters of leases.
func leasesDiffer(before, after *operatorconfig.Cluster) bool {
	return before.Slots != after.Slots ||
		before.LeaseDuration != after.LeaseDuration ||
		before.RenewalInterval != after.RenewalInterval ||
		before.MaxClockDrift != after.MaxClockDrift
}

// probesDiffer reports whether two configurations of probes differ. nil means that endpoints are not probed.
func probesDiffer(before, after *probe.Config) bool {
	if before == nil || after == nil {
		return before != after
	}
	return *before != *after
}
