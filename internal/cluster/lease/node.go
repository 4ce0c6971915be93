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
	until  int64 // end of the lease by the voter's clock
}

// slotHolding is the state of a holder for one slot: its attempt to acquire the lease or the lease itself.
type slotHolding struct {
	ballot     uint64 // of the attempt or the lease; 0 if there is neither
	preparedAt int64  // when Prepare was sent
	promises   uint64 // one bit for each voter that promised the ballot
	rejections uint64 // one bit for each voter that rejected the ballot
	proposing  bool   // a quorum has promised the ballot

	acceptedSentAt []int64 // for each voter, when the latest proposal that it accepted was sent, or timing.Never
	held           bool    // this node acquired the lease and has not lost it
	since          int64   // when it was acquired
	until          int64   // end of the lease by the holder's clock

	busyUntil   int64    // until then the slot is not considered free
	freeSince   int64    // since when the slot has been considered free, or timing.Never
	attemptAt   int64    // earliest next attempt to acquire the slot
	otherHolder Instance // holder named by the last Reject
	otherBallot uint64   // ballot named by the last Reject
}

// Node is the lease state of one instance.
type Node struct {
	config        Config
	grantsFrom    int64  // end of the restart silence; until then this node grants nothing as a voter
	promiseFloor  uint64 // highest ballot known when the restart silence ended; 0 if it has not ended
	highestBallot uint64 // highest ballot known
	wallMS        int64  // wall clock at the last tick, ms since 1970

	voterNames     []string
	voterSets      [][]int  // indexes into voterNames; a quorum has a majority of each set
	voterEpochs    []uint64 // latest known epoch of each voter
	voterHeardAt   []int64  // when each voter last answered, or timing.Never
	epochSettledAt int64    // since when a quorum has been at this node's epoch, or timing.Never

	grants   []slotGrant
	holdings []slotHolding

	candidates []Candidate
	assigned   []int // for each slot an index into candidates; nil without candidates
	assignedAt int64

	renewAt     int64
	tickAt      int64
	transferred int  // number of slots transferred since the last renewal
	releasing   bool // ReleaseAll was called

	rng     rand.PCG
	effects []Effect
}

// New returns a node that has just started at now. It returns a *ConfigError for an invalid configuration.
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

// Tick does the work that is due. wallMS is the wall clock, ms since 1970; it only raises ballots.
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

// Next returns when Tick next has work to do.
func (node *Node) Next() int64 { return node.tickAt }

// NextTick returns the next multiple of an interval, shifted by an offset that depends on the instance's name.
// All work of one instance with the same interval is therefore due at the same time, and its messages to another
// instance can be combined into one write.
func NextTick(now int64, name string, interval int64) int64 {
	// Without the offset, instances that share a clock would all act at once.
	shift := int64(proposerID(name)) * int64(time.Millisecond) % interval
	return now + interval - (now+shift)%interval
}

// TakeEffects returns the effects since the last call, in order.
func (node *Node) TakeEffects() []Effect {
	effects := node.effects
	node.effects = nil
	return effects
}

// emit adds an effect to those that TakeEffects returns.
func (node *Node) emit(effect Effect) { node.effects = append(node.effects, effect) }

// SetCandidates sets the instances that are considered alive, including this one, sorted by name.
func (node *Node) SetCandidates(now int64, candidates []Candidate) {
	if slices.Equal(candidates, node.candidates) {
		return
	}
	node.candidates = candidates
	node.assigned = Assign(node.config.Slots, candidates)
	node.assignedAt = now
	// The ranking has changed: an attempt that is waiting may be made earlier, but not later.
	for slot := range node.holdings {
		if holding := &node.holdings[slot]; timing.Happened(holding.freeSince) && holding.ballot == 0 {
			holding.attemptAt = min(holding.attemptAt, now+node.turnDelay(slot))
		}
	}
}

// ObserveBallot records a ballot that another instance knows, so that this node's next ballot is above it. A ballot
// whose counter is too far ahead of the wall clock is ignored (see paxos.MaxWallAheadMS).
func (node *Node) ObserveBallot(ballot uint64) {
	maxCounter := uint64(max(node.wallMS, 0)) + paxos.MaxWallAheadMS
	if node.wallMS == 0 || paxos.Counter(ballot) < maxCounter {
		node.highestBallot = max(node.highestBallot, ballot)
	}
}

// HighestBallot returns the highest ballot known.
func (node *Node) HighestBallot() uint64 { return node.highestBallot }

// nextBallot returns a ballot that is above all known ballots and not behind the wall clock.
func (node *Node) nextBallot() uint64 {
	return paxos.NextBallot(node.highestBallot, node.wallMS, proposerID(node.config.Self.Name))
}

// random returns a random number from 0 to below limit.
func (node *Node) random(limit int64) int64 {
	return int64(node.rng.Uint64() % uint64(max(limit, 1)))
}
