package server

import (
	"context"
	"errors"
	"tealpath/internal/cluster"
	"tealpath/internal/operatorconfig"
)

// reload takes what may change in a running instance from a newer operator's file: keys, address sets,
// instances, voters. All of it or nothing.
func (node *clusterNode) reload(ctx context.Context, next *operatorconfig.File) error {
	if next.Cluster == nil {
		return errors.New("it has no (fleet …) any more: that takes a restart")
	}
	keys, err := next.Cluster.TLS.Load()
	if err != nil {
		return err
	}
	if node.needsRestart(next) {
		node.emit(OperatorConfigNeedsRestart{Parts: restartOnlyCluster})
	}
	fleet := next.Cluster
	node.links.UseKeys(keys)
	node.links.SetAllowed(fleet.Allow)
	node.post(ctx, cluster.ConfigChanged{Contacts: fleet.Instances, Weight: fleet.Weight, Voters: fleet.Voters})
	return nil
}

// needsRestart tells whether a newer operator's file differs in what a running instance can't change.
func (node *clusterNode) needsRestart(next *operatorconfig.File) bool {
	present, fleet := node.operator.Cluster, next.Cluster
	leasesDiffer := present.Slots != fleet.Slots || present.LeaseDuration != fleet.LeaseDuration ||
		present.RenewalInterval != fleet.RenewalInterval || present.MaxClockDrift != fleet.MaxClockDrift
	addressesDiffer := present.Listen != fleet.Listen || node.operator.SocketPath != next.SocketPath
	probesDiffer := (present.Probe == nil) != (fleet.Probe == nil) ||
		present.Probe != nil && *present.Probe != *fleet.Probe
	return leasesDiffer || addressesDiffer || present.Membership != fleet.Membership || probesDiffer
}
