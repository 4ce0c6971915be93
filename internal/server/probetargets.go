package server

import (
	"tealpath/control"
	"tealpath/internal/cluster/probe"
	"tealpath/internal/router"
)

// setEndpoints hands the endpoint list to the cluster's reducer, as targets of probes. It does not wait.
func (node *clusterNode) setEndpoints(entries []router.EndpointEntry, settings control.Settings) {
	builder := newTargetBuilder(settings, node.clock.Now(), bootTime())
	var targets []probe.Target
	for _, entry := range entries {
		if builder.isProbed(entry) {
			targets = append(targets, builder.target(entry))
		}
	}
	node.targets.Store(&targets)
	select {
	case node.targetsChanged <- struct{}{}:
	default:
	}
}

// targetBuilder makes targets of probes from endpoints.
type targetBuilder struct {
	cache, parent           probe.ColdLimit
	parentKind, originKind  *string // nil: there are none
	serverTime, clusterTime int64   // this instant by the server's clock and by bootTime, ns
}

func newTargetBuilder(settings control.Settings, serverTime, clusterTime int64) targetBuilder {
	cache, parent := coldLimits(settings)
	return targetBuilder{
		cache:       cache,
		parent:      parent,
		parentKind:  settings.ParentKind,
		originKind:  settings.OriginKind,
		serverTime:  serverTime,
		clusterTime: clusterTime,
	}
}

// isProbed tells whether an endpoint is probed: one that drains or is gone gets nothing new, and the origin
// is not probed.
func (b targetBuilder) isProbed(entry router.EndpointEntry) bool {
	return entry.Phase == control.PhaseReady && !isOfKind(entry, b.originKind)
}

// isOfKind tells whether an endpoint's kind is known to be a certain one.
func isOfKind(entry router.EndpointEntry, kind *string) bool {
	return kind != nil && entry.Kind != "" && entry.Kind == *kind
}

func (b targetBuilder) target(entry router.EndpointEntry) probe.Target {
	target := probe.Target{
		Name:     entry.Instance,
		Address:  entry.Address,
		Capacity: entry.Capacity,
		Parent:   isOfKind(entry, b.parentKind),
	}
	warmUp := b.cache.WarmUpDuration
	if target.Parent {
		warmUp = b.parent.WarmUpDuration
	}
	if entry.StartedAt > 0 {
		// No endpoint started after discovery reported that it had.
		age := b.serverTime - min(entry.StartedAt, b.serverTime)
		target.WarmAt = b.clusterTime - age + warmUp
	}
	return target
}
