package server

import (
	"tealpath/control"
	"tealpath/internal/cluster/probe"
	"tealpath/internal/router"
)

// setEndpoints derives the targets of probes from the endpoint list and notifies the cluster's loop. It does not block:
// if the loop has not taken the previous targets yet, it gets only the new ones.
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

// targetBuilder derives targets of probes from endpoints.
type targetBuilder struct {
	cache, parent           probe.ColdLimit
	parentKind, originKind  *string // names of the kinds; nil: there are no endpoints of the kind
	serverTime, clusterTime int64   // time of the update by the server's clock and by bootTime, ns
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

// isProbed reports whether an endpoint is probed: it must be ready and not an origin.
func (b targetBuilder) isProbed(entry router.EndpointEntry) bool {
	return entry.Phase == control.PhaseReady && !isOfKind(entry, b.originKind)
}

// isOfKind reports whether an endpoint has the given kind. It returns false if the kind of the endpoint ("") or the
// given kind (nil) is not known.
func isOfKind(entry router.EndpointEntry, kind *string) bool {
	return kind != nil && entry.Kind != "" && entry.Kind == *kind
}

// target returns the target of probes for an endpoint, with the time at which its slow start ends.
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
		// The discovery service reports a start after it has happened, so a start in the future is due to a wrong
		// clock.
		age := b.serverTime - min(entry.StartedAt, b.serverTime)
		target.WarmAt = b.clusterTime - age + warmUp
	}
	return target
}
