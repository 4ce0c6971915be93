package server

import (
	"context"
	"time"

	"tealpath/internal/cluster"
	"tealpath/internal/router"
)

// clusterLoop is the event loop of the cluster. Its goroutine is the only one that runs the cluster's reducer and
// carries out its effects.
type clusterLoop struct {
	node              *clusterNode
	shutdownRequested <-chan struct{} // nil once the shutdown has begun
	reducerTimer      *time.Timer     // set by the effect cluster.SetTimer
}

// run handles events, queries and the reducer's timer until ctx ends.
func (l *clusterLoop) run(ctx context.Context) {
	defer l.reducerTimer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-l.node.inbox:
			l.handle(ctx, event)
		case <-l.node.targetsChanged:
			l.handle(ctx, cluster.TargetsUpdated{Targets: *l.node.targets.Load()})
		case <-l.shutdownRequested:
			l.beginShutdown(ctx)
		case reply := <-l.node.leaseQueries:
			reply <- l.leaseStatus()
		case reply := <-l.node.memberQueries:
			reply <- l.memberStatus()
		case <-l.reducerTimer.C:
			l.handle(ctx, cluster.TimerFired{WallMS: unixMilli(l.node.clock)})
		}
	}
}

// beginShutdown releases this instance's leases, and waits for at most shutdownFlushTimeout until the messages that
// tell other instances so are written.
func (l *clusterLoop) beginShutdown(ctx context.Context) {
	l.shutdownRequested = nil
	l.handle(ctx, cluster.ShutdownStarted{})
	l.node.links.Flush(shutdownFlushTimeout)
}

// leaseStatus returns the answer to LeasesCommand: the reducer's status with the numbers of messages and probes sent.
func (l *clusterLoop) leaseStatus() cluster.Status {
	status := l.node.reducer.Status(bootTime())
	status.Frames = l.node.framesSent.Load()
	status.FramesLost = l.node.links.Dropped()
	status.Probes = l.node.probesSent.Load()
	return status
}

// memberStatus returns the answer to MembersCommand: the members that the reducer knows, and the number of bytes sent.
func (l *clusterLoop) memberStatus() cluster.MembersStatus {
	status := l.node.reducer.Members(bootTime())
	status.BytesSent = l.node.bytesSent.Load()
	return status
}

// handle runs the cluster's reducer on an event and carries out its effects.
func (l *clusterLoop) handle(ctx context.Context, event cluster.Event) {
	for _, effect := range l.node.reducer.Handle(bootTime(), event) {
		l.carryOut(ctx, effect)
	}
}

// carryOut carries out one effect of the cluster's reducer. The ballot of a lease is stored for the goroutines of
// probes, which check it before they write.
func (l *clusterLoop) carryOut(ctx context.Context, effect cluster.Effect) {
	node := l.node
	switch effect := effect.(type) {
	case cluster.Send:
		node.send(effect)
	case cluster.SetPeers:
		node.setPeers(effect.Peers)
	case cluster.LeaseChanged:
		node.ballots[effect.Slot].Store(effect.Ballot)
	case cluster.SendProbe:
		node.probe(ctx, effect.Probe)
	case cluster.TargetProbed:
		node.postProbeResult(router.ProbeEnded{
			Instance:   effect.Target,
			Healthy:    effect.Healthy,
			LoadReport: effect.Load,
		})
	case cluster.Log:
		node.emit(effect.Event)
	case cluster.SetTimer:
		l.reducerTimer.Reset(time.Duration(effect.At - bootTime()))
	}
}

// send queues a message to another instance. A message that can't be encoded is logged and dropped.
func (node *clusterNode) send(effect cluster.Send) {
	payload, err := effect.Message.Encode()
	if err != nil {
		node.emit(ClusterMessageNotSent{Member: effect.To, Cause: err})
		return
	}
	node.framesSent.Add(1)
	node.bytesSent.Add(int64(len(payload)) + frameOverhead)
	node.links.Send(effect.To, payload)
}

// setPeers opens connections to the given instances and closes those to all others.
func (node *clusterNode) setPeers(peers []cluster.Peer) {
	addresses := make(map[string]string, len(peers))
	for _, peer := range peers {
		addresses[peer.Name] = peer.Address
	}
	node.links.SetPeers(addresses)
}
