package cluster

import (
	"slices"

	"tealpath/internal/cluster/lease"
	"tealpath/internal/cluster/membership"
	"tealpath/internal/cluster/probe"
)

// maxTargetsSeen is the largest number of targets for which the newest result is remembered. Without a limit, a faulty
// peer could use up memory with results of targets that do not exist.
const maxTargetsSeen = 1 << 14

// maxQueuedResults is the largest number of probe results that wait to be sent: two for each of the 4,096 cache
// servers of the largest fleet. Further ones are dropped.
const maxQueuedResults = 2 * 4096

// probeTask runs the Prober as a periodic task.
type probeTask struct{ *probe.Prober }

// Do returns a SendProbe for each probe that is due at now.
func (task probeTask) Do(now int64, holds holdsFunc) []Effect {
	var effects []Effect
	for _, due := range task.Due(now, holds) {
		effects = append(effects, SendProbe{due})
	}
	return effects
}

// resultOrder says which of two results of one target is newer: that with the higher ballot or, if the ballots are
// equal, the higher sequence number.
type resultOrder struct{ ballot, seq uint64 }

func orderOf(result ProbeResult) resultOrder { return resultOrder{result.Ballot, result.Seq} }

func (order resultOrder) before(other resultOrder) bool {
	return order.ballot < other.ballot || order.ballot == other.ballot && order.seq < other.seq
}

// probeResults has the newest probe result of each target, and the results that wait to be sent to neighbours.
type probeResults struct {
	newest map[string]resultOrder // by the name of the target: its newest result
	seq    uint64                 // sequence number of this instance's last result; 0: none
	stale  int64                  // number of results dropped because one under a higher ballot was known
	queued []ProbeResult          // results to be sent to neighbours
	sendAt int64                  // earliest time at which queued is sent, ns
}

func newProbeResults() probeResults { return probeResults{newest: map[string]resultOrder{}} }

// queue adds a result to those to be sent to neighbours. It drops the result if maxQueuedResults are waiting.
func (results *probeResults) queue(result ProbeResult) {
	if len(results.queued) < maxQueuedResults {
		results.queued = append(results.queued, result)
	}
}

// endProbe handles the result of a probe that this instance sent: it hands the result to the router and queues it for
// other instances. If a higher ballot than the probe's has been seen for the target, all instances drop the result, so
// this instance acquires the slot's lease again under a higher ballot.
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

// receiveProbeResult hands a result from another instance to the router. In a cluster that relays results, it also
// queues the result for the neighbours, unless it has arrived before.
func (node *Node) receiveProbeResult(result ProbeResult) {
	if node.relaysResults() {
		newest, known := node.results.newest[result.Target]
		if known && !newest.before(orderOf(result)) {
			return // the same or a newer result has already arrived
		}
		node.results.queue(result)
	}
	node.takeProbeResult(result)
}

// relaysResults reports whether instances pass on the results that they receive. They do if the cluster is so large
// that not all instances are neighbours.
func (node *Node) relaysResults() bool {
	const self = 1
	return len(node.members.Alive()) > membership.MaxNeighbours+self
}

// takeProbeResult hands a result to the router. It drops the result if one under a higher ballot is known: the
// instance that sent the probe may have been paused and lost its lease.
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

// sendProbeResults sends the queued results to the neighbours, at most once in a renewal interval, at a time at which
// other messages are sent as well.
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
