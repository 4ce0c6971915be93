package cluster

import (
	"slices"

	"tealpath/internal/cluster/lease"
	"tealpath/internal/cluster/membership"
	"tealpath/internal/cluster/probe"
)

// maxTargetsSeen bounds the number of targets whose newest result is remembered. Without a bound, a faulty peer
// could fill the memory with results of targets that do not exist.
const maxTargetsSeen = 1 << 14

// maxQueuedResults bounds the probe results that wait to be sent: two for each of the 4,096 cache servers of the
// largest fleet.
const maxQueuedResults = 2 * 4096

// probeTask is the periodic task of probing the targets.
type probeTask struct{ *probe.Prober }

// Do returns the probes that are due.
func (task probeTask) Do(now int64, holds holdsFunc) []Effect {
	var effects []Effect
	for _, due := range task.Due(now, holds) {
		effects = append(effects, SendProbe{due})
	}
	return effects
}

// resultOrder orders the results of one target: by ballot, then by sequence number.
type resultOrder struct{ ballot, seq uint64 }

func orderOf(result ProbeResult) resultOrder { return resultOrder{result.Ballot, result.Seq} }

func (order resultOrder) before(other resultOrder) bool {
	return order.ballot < other.ballot || order.ballot == other.ballot && order.seq < other.seq
}

// probeResults tracks the newest probe result of each target and queues results for neighbours.
type probeResults struct {
	newest map[string]resultOrder // by target
	seq    uint64                 // of this instance's last result
	stale  int64                  // results dropped because a result under a higher ballot was known
	queued []ProbeResult          // to be sent to neighbours
	sendAt int64                  // earliest time to send the queued results
}

func newProbeResults() probeResults { return probeResults{newest: map[string]resultOrder{}} }

// queue adds a result to those to be sent to neighbours, or drops it if the queue is full.
func (results *probeResults) queue(result ProbeResult) {
	if len(results.queued) < maxQueuedResults {
		results.queued = append(results.queued, result)
	}
}

// endProbe passes the result of a probe that this instance sent to the router and queues it for other instances. If
// the probe's ballot is below one already seen for the target, all drop the result, so the slot is reacquired.
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

// receiveProbeResult passes a result from another instance to the router and, if need be, on to the neighbours.
func (node *Node) receiveProbeResult(result ProbeResult) {
	if node.relaysResults() {
		newest, known := node.results.newest[result.Target]
		if known && !newest.before(orderOf(result)) {
			return // it arrived through another neighbour already
		}
		node.results.queue(result)
	}
	node.takeProbeResult(result)
}

// relaysResults reports whether instances forward each other's results. They do in clusters in which not
// all instances are neighbours.
func (node *Node) relaysResults() bool {
	const self = 1
	return len(node.members.Alive()) > membership.MaxNeighbours+self
}

// takeProbeResult passes a result to the router. It drops a result if one under a higher ballot is known: the
// sender may have been paused and lost its lease.
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

// sendProbeResults sends the queued results to the neighbours, at most once in a renewal interval and together
// with other messages.
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
