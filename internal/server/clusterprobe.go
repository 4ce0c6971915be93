package server

import (
	"context"
	"errors"
	"fmt"
	"time"

	"tealpath/internal/cluster"
	"tealpath/internal/cluster/probe"
	"tealpath/internal/upstream"
)

// probe sends a probe in a separate goroutine. The probe is skipped if maxProbesInFlight probes are in flight: the
// next probe of the same target is due one period later.
func (node *clusterNode) probe(ctx context.Context, due probe.Probe) {
	select {
	case node.probeTokens <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-node.probeTokens }()
		node.runProbe(ctx, due)
	}()
}

// runProbe sends a probe and posts its result to the cluster's loop. It does not write the probe if this instance no
// longer holds the lease under which the probe was scheduled.
func (node *clusterNode) runProbe(ctx context.Context, due probe.Probe) {
	probeCtx, cancel := context.WithTimeout(ctx, time.Duration(due.Timeout))
	defer cancel()
	holdsLease := func() bool { return bootTime() < due.Until && node.ballots[due.Slot].Load() == due.Ballot }
	load, err := upstream.CheckHealth(probeCtx, upstream.HealthCheck{
		Address:          due.Address,
		ID:               fmt.Sprintf("%016x", due.Ballot),
		LoadReportFields: node.loadReportFields,
		MayWrite:         holdsLease,
	})
	if errors.Is(err, upstream.ErrNotSent) || ctx.Err() != nil {
		return
	}
	node.probesSent.Add(1)
	node.post(ctx, cluster.ProbeEnded{ProbeResult: cluster.ProbeResult{
		Target:  due.Target,
		Ballot:  due.Ballot,
		Healthy: err == nil,
		Load:    load,
	}})
}
