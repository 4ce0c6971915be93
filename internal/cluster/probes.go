package cluster

import (
	"slices"

	"tealpath/internal/cluster/lease"
	"tealpath/internal/cluster/membership"
	"tealpath/internal/cluster/probe"
)

// maxTargetsSeen is of how many targets, which peers may name, the order of results is kept.
const maxTargetsSeen = 1 << 14

// maxQueuedResults bounds the probe results that wait to be sent: twice one of each server of the largest
// fleet.
const maxQueuedResults = 2 * 4096

// probing is the periodic task of probing the targets.
type probing struct{ *probe.Prober }

// Do returns the probes that are to go out.
func (probing probing) Do(now int64, holds holdsFunc) []Effect {
	var effects []Effect
	for _, due := range probing.Due(now, holds) {
		effects = append(effects, SendProbe{due})
	}
	return effects
}

// resultOrder orders the results of one target.
type resultOrder struct{ ballot, seq uint64 }

func orderOf(result ProbeResult) resultOrder { return resultOrder{result.Ballot, result.Seq} }

func (order resultOrder) before(other resultOrder) bool {
	return order.ballot < other.ballot || order.ballot == other.ballot && order.seq < other.seq
}

// probeResults is what is known of probes, and what is to be passed on.
type probeResults struct {
	newest map[string]resultOrder // by target
	seq    uint64                 // of the own results
	stale  int64                  // results under a ballot below one seen
	queued []ProbeResult          // to be sent to neighbours
	sendAt int64                  // when they are
}

func newProbeResults() probeResults { return probeResults{newest: map[string]resultOrder{}} }

// queue has a result sent to neighbours.
func (results *probeResults) queue(result ProbeResult) {
	if len(results.queued) < maxQueuedResults {
		results.queued = append(results.queued, result)
	}
}

// endProbe takes the result of a probe sent from here.
func (node *Node) endProbe(now int64, result ProbeResult) {
	if node.prober == nil {
		return
	}
	node.prober.ProbeEnded(now, result.Target, result.Healthy)
	if seen := node.results.newest[result.Target].ballot; result.Ballot < seen {
		node.leases.Reacquire(now, lease.SlotOf(result.Target, node.config.Lease.Slots), seen)
	}
	node.results.seq++
	result.Seq = node.results.seq
	node.takeProbeResult(result)
	node.results.queue(result)
}

// receiveProbeResult takes a result from another instance.
func (node *Node) receiveProbeResult(result ProbeResult) {
	if node.relaysResults() {
		newest, known := node.results.newest[result.Target]
		if known && !newest.before(orderOf(result)) {
			return // it came by another way
		}
		node.results.queue(result)
	}
	node.takeProbeResult(result)
}

// relaysResults reports whether what one instance found goes to others by way of its neighbours: where not all
// are neighbours.
func (node *Node) relaysResults() bool {
	const self = 1
	return len(node.members.Alive()) > membership.MaxNeighbours+self
}

// takeProbeResult takes a result, unless somebody probed under a higher ballot before: its sender may have
// been frozen.
func (node *Node) takeProbeResult(result ProbeResult) {
	newest, known := node.results.newest[result.Target]
	if result.Ballot < newest.ballot {
		node.results.stale++
		return
	}
	if known || len(node.results.newest) < maxTargetsSeen {
		node.results.newest[result.Target] = orderOf(result)
	}
	node.leases.ObserveBallot(result.Ballot)
	node.emit(TargetProbed{result})
}

// sendProbeResults queues what was found for the neighbours, together with what else goes out.
func (node *Node) sendProbeResults(now int64) {
	results := &node.results
	if len(results.queued) == 0 || now < results.sendAt {
		return
	}
	results.sendAt = lease.NextTick(now, node.config.Self.Name, node.config.Lease.RenewInterval)
	for _, contact := range node.members.Peers() {
		for part := range slices.Chunk(results.queued, maxProbeResults) {
			node.emit(Send{To: contact.Name, Message: Message{ProbeResults: part}})
		}
	}
	results.queued = nil
}
