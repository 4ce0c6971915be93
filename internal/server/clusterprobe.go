package server

import (
	"context"
	"errors"
	"fmt"
	"tealpath/internal/cluster"
	"tealpath/internal/cluster/probe"
	"tealpath/internal/upstream"
	"time"
)

// probe sends a probe in a goroutine of its own. With maxProbesInFlight under way it is left out: it would
// not be missed.
func (node *clusterNode) probe(ctx context.Context, p probe.Probe) {
	select {
	case node.probeTokens <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-node.probeTokens }()
		node.runProbe(ctx, p)
	}()
}

// runProbe sends a probe and hands its result to the cluster's reducer.
func (node *clusterNode) runProbe(ctx context.Context, p probe.Probe) {
	limited, cancel := context.WithTimeout(ctx, time.Duration(p.Timeout))
	defer cancel()
	tag := fmt.Sprintf("%016x", p.Ballot)
	mayWrite := func() bool { return bootTime() < p.Until && node.ballots[p.Slot].Load() == p.Ballot }
	load, err := upstream.CheckHealth(limited, upstream.HealthCheck{
		Address:          p.Address,
		ID:               tag,
		LoadReportFields: node.loadReportFields,
		MayWrite:         mayWrite,
	})
	if errors.Is(err, upstream.ErrNotSent) || ctx.Err() != nil {
		return
	}
	node.probesSent.Add(1)
	node.post(ctx, cluster.ProbeEnded{ProbeResult: cluster.ProbeResult{
		Target:  p.Target,
		Ballot:  p.Ballot,
		Healthy: err == nil,
		Load:    load,
	}})
}
