// Package lease decides which instance holds the lease on which slot. Periodic tasks hash to slots, and only
// the holder of a slot's lease does the slot's tasks. A quorum of voters grants leases, without a disk: it is
// PaxosLease (Trencséni, Gazsó and Reinhardt, 2012) with one change. docs/duties.md has the protocol, the
// proof and the bounds; package paxos says what a voter, a quorum, a ballot and an epoch are.
//
// A Node is one instance, which is a voter, a holder or both. Time, messages and chance come in, effects go
// out: it does no input or output, reads no clock, starts no goroutine and is not safe for concurrent use.
// Times are ns of one clock that never goes back; its rate may be off by the configured drift.
package lease

import (
	"math/rand/v2"
	"slices"
	"time"

	"tealpath/internal/cluster/paxos"
	"tealpath/internal/cluster/timing"
)

// grant is a voter's state of one slot.
type grant struct {
	promisedBallot uint64
	promisedTo     Instance
	promisedAt     int64

	holder Instance
	ballot uint64
	until  int64 // when the lease ends, by the voter's clock
}

// holding is a holder's state of one slot.
type holding struct {
	ballot     uint64 // 0: the slot is neither asked for nor held
	preparedAt int64  // when it was asked for
	promises   uint64 // bits of voters
	rejections uint64 // bits of voters
	proposing  bool   // a quorum has promised

	acceptedSentAt []int64 // for each voter, when the latest proposal that it accepted was sent, or never
	held           bool
	since          int64
	until          int64 // when the own lease ends, by the holder's clock

	busyUntil   int64 // until then somebody else is taken to hold the slot
	freeSince   int64 // from when it has looked free, or never
	tryAt       int64 // when it is asked for, if it is free then
	otherHolder Instance
	otherBallot uint64
}

// Node is one instance.
type Node struct {
	config     Config
	grantsFrom int64  // before this the voter is silent, as it may have granted before its start
	minBallot  uint64 // highest ballot known when the silence ended; 0: it has not ended
	highest    uint64 // highest ballot known
	wallMS     int64  // ms since 1970, at the last tick

	voterNames     []string
	voterSets      [][]int  // indexes in voterNames; a quorum has a majority of each set
	voterEpochs    []uint64 // at which a voter last was
	voterHeardAt   []int64  // when a voter last answered, or never
	epochSettledAt int64    // since when a quorum has been at the own epoch, or never

	grants   []grant
	holdings []holding

	candidates []Candidate
	assigned   []int // the candidate that is to hold each slot, as an index; nil without candidates
	assignedAt int64

	renewAt     int64
	tickAt      int64
	transferred int // slots, since the last renewal
	releasing   bool

	rng     rand.PCG
	effects []Effect
}

// New makes a node that knows nothing. It returns a *ConfigError for a faulty configuration.
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
		grants:         make([]grant, config.Slots),
		holdings:       make([]holding, config.Slots),
		rng:            *rand.NewPCG(config.Seed, config.Self.Incarnation),
	}
	node.enterEpoch(config.Voters)
	for slot := range node.holdings {
		node.holdings[slot].freeSince = timing.Never
	}
	return node, nil
}

// Receive takes a message from another instance. Votes must be passed on only from names under which one
// instance runs.
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

// Tick does what is due. wallMS is the wall clock, ms since 1970; it only lifts ballots.
func (node *Node) Tick(now, wallMS int64) {
	node.wallMS = wallMS
	if now < node.tickAt {
		return
	}
	node.tickAt = NextTick(now, node.config.Self.Name, node.config.RenewInterval/ticksPerRenewal)
	node.endSilence(now)
	node.settleEpoch(now)
	node.expire(now)
	if now >= node.renewAt {
		node.renewAt = NextTick(now, node.config.Self.Name, node.config.RenewInterval)
		node.transferred = 0
		node.renew(now)
	}
	node.transfer(now)
	node.findFree(now)
	node.tryFree(now)
}

// Next is when Tick has something to do.
func (node *Node) Next() int64 { return node.tickAt }

// NextTick returns the next instant on an instance's own grid of an interval. Everything that is due on
// one grid is done at once, so that messages to one instance are combined into one write.
func NextTick(now int64, name string, interval int64) int64 {
	// Grids are shifted by the name, or instances that share a clock would all act at once.
	shift := int64(nameMark(name)) * int64(time.Millisecond) % interval
	return now + interval - (now+shift)%interval
}

// TakeEffects returns the effects since the last call, in order.
func (node *Node) TakeEffects() []Effect {
	effects := node.effects
	node.effects = nil
	return effects
}

func (node *Node) emit(effect Effect) { node.effects = append(node.effects, effect) }

// SetCandidates takes the instances believed alive, the own one among them, sorted by name.
func (node *Node) SetCandidates(now int64, candidates []Candidate) {
	if slices.Equal(candidates, node.candidates) {
		return
	}
	node.candidates = candidates
	node.assigned = Assign(node.config.Slots, candidates)
	node.assignedAt = now
	// The ranking has changed: an attempt that waits for its turn may come earlier, but not later than before.
	for slot := range node.holdings {
		if own := &node.holdings[slot]; timing.Happened(own.freeSince) && own.ballot == 0 {
			own.tryAt = min(own.tryAt, now+node.turnDelay(slot))
		}
	}
}

// ObserveBallot raises the highest ballot known to what somebody else knows.
func (node *Node) ObserveBallot(ballot uint64) {
	maxCounter := uint64(max(node.wallMS, 0)) + paxos.MaxWallAheadMS
	if node.wallMS == 0 || paxos.Counter(ballot) < maxCounter {
		node.highest = max(node.highest, ballot)
	}
}

// HighestBallot is the highest ballot known.
func (node *Node) HighestBallot() uint64 { return node.highest }

// nextBallot is above all ballots known, and not behind the wall clock.
func (node *Node) nextBallot() uint64 {
	return paxos.NextBallot(node.highest, node.wallMS, nameMark(node.config.Self.Name))
}

// random draws from 0 up to below a limit.
func (node *Node) random(limit int64) int64 {
	return int64(node.rng.Uint64() % uint64(max(limit, 1)))
}
