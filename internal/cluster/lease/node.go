// Package lease decides which instance holds the lease on each slot. Periodic tasks hash to slots, and only the
// holder of a slot's lease runs the tasks of the slot. A quorum of voters grants the leases, and no state is kept
// on disk. The protocol is PaxosLease (Trencséni, Gazsó and Reinhardt, 2012) with one change, which
// Node.vote describes. docs/duties.md has the protocol, the proof and the bounds; package paxos defines voter, quorum,
// ballot and epoch.
//
// A Node is the state of one instance, which is a voter, a holder or both. The caller passes in time and
// messages and carries out the effects that the node returns. A Node does no input or output, reads no clock,
// starts no goroutine and is not safe for concurrent use. Instants are ns of one monotonic clock, whose rate may
// be off by the configured drift.
package lease

import (
	"math/rand/v2"
	"slices"
	"time"

	"tealpath/internal/cluster/paxos"
	"tealpath/internal/cluster/timing"
)

// slotGrant is the state of a voter for one slot: what it has promised and granted.
type slotGrant struct {
	promisedBallot uint64
	promisedTo     Instance
	promisedAt     int64

	holder Instance
	ballot uint64
	until  int64 // when the lease that was granted last ends, on the voter's clock, ns
}

// slotHolding is the state of one slot at a node that wants the lease: its attempt to acquire the lease, or the lease
// itself.
type slotHolding struct {
	ballot     uint64 // ballot of the attempt or the lease; 0: there is neither
	preparedAt int64  // when the attempt's Prepare was sent, on this node's clock, ns
	promises   uint64 // bit i: the voter with index i promised the ballot
	rejections uint64 // bit i: the voter with index i rejected the ballot
	proposing  bool   // a quorum has promised the ballot, so Propose is being sent

	acceptedSentAt []int64 // by voter: when the latest proposal that it accepted was sent, or timing.Never
	held           bool    // this node acquired the lease and has not lost it
	since          int64   // when this node acquired the lease
	until          int64   // when the lease ends, on this node's clock

	busyUntil   int64    // before this time the slot does not count as free; 0: no such time
	freeSince   int64    // when the slot became free as far as this node knows; timing.Never: it is not free
	attemptAt   int64    // earliest time of the next attempt to acquire the slot
	otherHolder Instance // holder that the last Reject named; empty: none has named one
	otherBallot uint64   // ballot of that Reject
}

// Node is the state of one instance, for all slots, both as a voter and as a holder of leases.
type Node struct {
	config        Config
	grantsFrom    int64  // until this time, RestartSilence after the start, this node grants nothing as a voter
	promiseFloor  uint64 // highest ballot known at grantsFrom; 0 until then
	highestBallot uint64 // highest ballot that this node has seen; 0: none
	wallMS        int64  // wall clock at the last tick, ms since 1970; 0: no tick yet

	voterNames     []string
	voterSets      [][]int  // per set: indexes into voterNames; a quorum has a majority of each set
	voterEpochs    []uint64 // by voter: the epoch that it last reported; 0: not known
	voterHeardAt   []int64  // by voter: when its last answer arrived, or timing.Never
	epochSettledAt int64    // since when a quorum has been at this node's epoch, or timing.Never

	grants   []slotGrant
	holdings []slotHolding

	candidates []Candidate
	assigned   []int // by slot: the index in candidates of the one that it is assigned to; nil: no candidates
	assignedAt int64

	renewAt     int64
	tickAt      int64
	transferred int  // number of slots handed over since the last renewal
	releasing   bool // ReleaseAll was called: no slots are requested any more

	rng     rand.PCG
	effects []Effect
}

// New returns a node that starts at now and knows no holders and no ballots. It returns a *ConfigError if the
// configuration is invalid.
func New(now int64, config Config) (*Node, error) {
	if err := config.Check(); err != nil {
		return nil, err
	}
	node := &Node{
		config:         config,
		grantsFrom:     now + config.RestartSilence(),
		epochSettledAt: timing.Never,
		tickAt:         now,
		renewAt:        now + config.RenewInterval,
		grants:         make([]slotGrant, config.Slots),
		holdings:       make([]slotHolding, config.Slots),
		rng:            *rand.NewPCG(config.Seed, config.Self.Incarnation),
	}
	node.enterEpoch(config.Voters)
	for slot := range node.holdings {
		node.holdings[slot].freeSince = timing.Never
	}
	return node, nil
}

// Receive handles a message from another instance. If several instances run under one name, the caller must
// drop the votes from that name.
func (node *Node) Receive(now int64, from Instance, message Message) {
	switch message.Kind {
	case Prepare, Propose:
		for _, answer := range node.vote(now, from, message) {
			node.emit(Send{To: from.Name, Message: answer})
		}
	case Release:
		node.receiveRelease(now, from, message)
	case Promise, Accept, Reject:
		node.receiveAnswer(now, from.Name, message)
	}
}

// Tick does the work that is due at now: it ends, renews, hands over and requests leases. It uses wallMS, the wall
// clock in ms since 1970, only to draw ballots and to ignore ballots that are too far ahead.
func (node *Node) Tick(now, wallMS int64) {
	node.wallMS = wallMS
	if now < node.tickAt {
		return
	}
	node.tickAt = NextTick(now, node.config.Self.Name, node.config.RenewInterval/ticksPerRenewal)
	node.endSilence(now)
	node.settleEpoch(now)
	node.expireLeases(now)
	if now >= node.renewAt {
		node.renewAt = NextTick(now, node.config.Self.Name, node.config.RenewInterval)
		node.transferred = 0
		node.renewLeases(now)
	}
	node.transferSlots(now)
	node.updateFreeSlots(now)
	node.requestFreeSlots(now)
}

// Next returns the earliest time at which Tick has work to do again.
func (node *Node) Next() int64 { return node.tickAt }

// NextTick returns the first time after now at which work with this interval is due at an instance. Work of one
// instance with the same interval is always due at the same times, so that its messages to another instance can be
// combined into one write.
func NextTick(now int64, name string, interval int64) int64 {
	// The shift depends on the name. Without it, instances that share a clock would all act at the same time.
	shift := int64(proposerID(name)) * int64(time.Millisecond) % interval
	return now + interval - (now+shift)%interval
}

// TakeEffects returns the effects that were emitted since the last call, in order, and removes them.
func (node *Node) TakeEffects() []Effect {
	effects := node.effects
	node.effects = nil
	return effects
}

// emit adds an effect to those that TakeEffects returns.
func (node *Node) emit(effect Effect) { node.effects = append(node.effects, effect) }

// SetCandidates replaces the candidates: the instances that are considered alive, including this one, sorted by name.
// It assigns the slots to the new candidates.
func (node *Node) SetCandidates(now int64, candidates []Candidate) {
	if slices.Equal(candidates, node.candidates) {
		return
	}
	node.candidates = candidates
	node.assigned = Assign(node.config.Slots, candidates)
	node.assignedAt = now
	// The order in which candidates take turns has changed: a scheduled attempt may be made earlier, but not later.
	for slot := range node.holdings {
		if holding := &node.holdings[slot]; timing.Happened(holding.freeSince) && holding.ballot == 0 {
			holding.attemptAt = min(holding.attemptAt, now+node.turnDelay(slot))
		}
	}
}

// ObserveBallot notes a ballot that another instance has used or seen, so that this node's next ballot is above it. A
// ballot whose counter is too far ahead of the wall clock is ignored (see paxos.MaxWallAheadMS).
func (node *Node) ObserveBallot(ballot uint64) {
	maxCounter := uint64(max(node.wallMS, 0)) + paxos.MaxWallAheadMS
	if node.wallMS == 0 || paxos.Counter(ballot) < maxCounter {
		node.highestBallot = max(node.highestBallot, ballot)
	}
}

// HighestBallot returns the highest ballot that this node has seen or used, or 0 if there is none.
func (node *Node) HighestBallot() uint64 { return node.highestBallot }

// nextBallot returns a ballot of this node that is above all ballots it has seen and whose counter is at least the
// wall clock.
func (node *Node) nextBallot() uint64 {
	return paxos.NextBallot(node.highestBallot, node.wallMS, proposerID(node.config.Self.Name))
}

// random returns a random number that is at least 0 and below limit, or 0 if limit is below 1.
func (node *Node) random(limit int64) int64 {
	return int64(node.rng.Uint64() % uint64(max(limit, 1)))
}
