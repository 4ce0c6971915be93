package sharedconfig

import (
	"slices"

	"tealpath/internal/cluster/paxos"
	"tealpath/internal/cluster/timing"
)

// Node is the state of one instance, both as a user of versions and, if it is one of the voters, as a voter.
type Node struct {
	config      Config
	grantsFrom  int64             // until RestartSilence after the start it grants nothing as a voter
	contents    map[uint64][]byte // by version number: content; at most maxKnownVersions
	newest      uint64            // number of the newest committed version whose content is known
	highest     uint64            // highest version number seen
	voterLeases []voterLease      // by voter: the latest lease that it granted to this node
	active      uint64            // number of the active version, if isActive
	isActive    bool
	renewAt     int64
	wallMS      int64 // wall clock at the last tick, ms since 1970; 0: no tick yet

	voter    voterState
	proposal proposal
	effects  []Effect
}

// voterLease is the latest lease that one voter granted to this node, on the version with this number.
type voterLease struct {
	number uint64
	sentAt int64 // when this node sent the Renew for the lease; timing.Never: no lease
}

// New returns a node that starts at now. It knows only version 0, with the content config.Initial, and no version is
// active until a quorum has granted leases.
func New(now int64, config Config) *Node {
	node := &Node{
		config:      config,
		grantsFrom:  now + config.RestartSilence(),
		contents:    map[uint64][]byte{0: config.Initial},
		renewAt:     now,
		voterLeases: make([]voterLease, len(config.Voters)),
	}
	for voter := range node.voterLeases {
		node.voterLeases[voter].sentAt = timing.Never
	}
	return node
}

// TakeEffects returns the effects that were emitted since the last call, in order, and removes them.
func (node *Node) TakeEffects() []Effect {
	effects := node.effects
	node.effects = nil
	return effects
}

// emit adds an effect to those that TakeEffects returns.
func (node *Node) emit(effect Effect) { node.effects = append(node.effects, effect) }

// isVoter reports whether this node is a voter.
func (node *Node) isVoter() bool { return slices.Contains(node.config.Voters, node.config.Self) }

// isQuorum reports whether this number of voters is a majority of all voters.
func (node *Node) isQuorum(count int) bool { return count >= paxos.Majority(len(node.config.Voters)) }

// Active returns the version that is active at now, and when the leases on it end, by this node's clock. ok is false
// if no version is active.
func (node *Node) Active(now int64) (version Version, until int64, ok bool) {
	until = node.leasedUntil(node.active)
	if !node.isActive || now >= until {
		return Version{}, 0, false
	}
	return node.version(node.active), until, true
}

// Newest returns the newest committed version that this node knows. It need not be active.
func (node *Node) Newest() Version { return node.version(node.newest) }

// version returns the version with this number; its content is nil if this node does not have it.
func (node *Node) version(number uint64) Version {
	return Version{Number: number, Content: node.contents[number]}
}

// leasedUntil returns when this node's leases on a version from a quorum of voters end, by its clock, or timing.Never
// if no quorum has granted any.
func (node *Node) leasedUntil(number uint64) int64 {
	var sentAt []int64
	for _, lease := range node.voterLeases {
		if lease.sentAt != timing.Never && lease.number == number {
			sentAt = append(sentAt, lease.sentAt)
		}
	}
	// The leases of a majority end with the earliest of them. From then on, only a minority of the voters may still
	// honor a lease.
	earliest, ok := paxos.LatestMajority(sentAt, len(node.config.Voters))
	if !ok {
		return timing.Never
	}
	return earliest + node.config.holdDuration()
}

// Next returns the earliest time at which Tick has work to do.
func (node *Node) Next(now int64) int64 {
	next := node.renewAt
	if node.voter.next != node.voter.current {
		next = min(next, max(node.voter.leasedUntil, node.grantsFrom))
	}
	if node.proposal.pending() {
		next = min(next, node.proposal.sentAt+retryRenewals*node.config.RenewInterval)
	}
	if _, until, ok := node.Active(now); ok {
		next = min(next, until)
	}
	return next
}

// Tick does the work that is due at now: it changes the voter's version, ends expired leases, retries a proposal and
// requests leases. It uses wallMS, the wall clock in ms since 1970, only to draw version numbers and to ignore those
// that are too far ahead.
func (node *Node) Tick(now, wallMS int64) {
	node.wallMS = wallMS
	node.advance(now)
	node.deactivate(now)
	node.retryProposal(now, wallMS)
	if now >= node.renewAt {
		node.renewAt = now + node.config.RenewInterval
		node.sendToVoters(now, Message{Kind: Renew, Number: node.newest, SentAt: now})
	}
}

// Receive handles a message from the instance named from, whose name the caller must have authenticated.
func (node *Node) Receive(now int64, from string, message Message) {
	if node.isFarAhead(max(message.Number, message.Highest)) {
		return
	}
	node.highest = max(node.highest, message.Highest, message.Number)
	switch message.Kind {
	case Renew:
		node.receiveRenew(now, from, message)
	case Grant:
		node.receiveGrant(now, from, message)
	case Redirect:
		node.receiveRedirect(now, from, message)
	case Propose:
		node.receivePropose(now, from, message)
	case Accept, Reject:
		node.receiveAnswer(now, from, message)
	case Commit:
		node.learn(now, message.Number, message.Content)
	case Fetch:
		if content := node.contents[message.Number]; content != nil {
			node.queue(from, Message{Kind: Redirect, Number: message.Number, Content: content})
		}
	}
}

// isFarAhead reports whether a version number is so far ahead of the wall clock that using it would leave few numbers
// above it (see paxos.MaxWallAheadMS).
func (node *Node) isFarAhead(number uint64) bool {
	return node.wallMS > 0 && paxos.Counter(number) > uint64(node.wallMS)+paxos.MaxWallAheadMS
}

// queue emits a Send of a message to another instance, with the highest version number that this node has seen.
func (node *Node) queue(to string, message Message) {
	message.Highest = node.highest
	node.emit(Send{To: to, Message: message})
}

// send sends a message to an instance. A message to this instance itself is handled at once.
func (node *Node) send(now int64, to string, message Message) {
	if to != node.config.Self {
		node.queue(to, message)
		return
	}
	message.Highest = node.highest
	node.Receive(now, to, message)
}

// sendToVoters sends a message to each voter, this node included.
func (node *Node) sendToVoters(now int64, message Message) {
	for _, voter := range node.config.Voters {
		node.send(now, voter, message)
	}
}

// deactivate reports that no version is active any more if the leases on the active one have ended.
func (node *Node) deactivate(now int64) {
	if _, _, ok := node.Active(now); node.isActive && !ok {
		node.isActive = false
		node.emit(Deactivated{Reason: "no majority of the voters renewed the lease"})
	}
}

// receiveGrant records a lease that a voter granted to this node, and activates the version if a quorum has now
// granted leases on it and no later version is active.
func (node *Node) receiveGrant(now int64, from string, message Message) {
	voter := slices.Index(node.config.Voters, from)
	if voter < 0 || message.SentAt > now || node.contents[message.Number] == nil {
		return
	}
	lease := &node.voterLeases[voter]
	if message.Number != lease.number && message.SentAt < lease.sentAt {
		return // the answer was sent before the voter changed to another version
	}
	if message.Number != lease.number || message.SentAt > lease.sentAt {
		lease.number, lease.sentAt = message.Number, message.SentAt
	}
	if node.leasedUntil(message.Number) <= now || node.isActive && message.Number <= node.active {
		return
	}
	node.active, node.isActive = message.Number, true
	node.emit(Activated{Version: node.version(message.Number)})
}

// receiveRedirect learns the version that a voter names, or asks the voter for the content if the message does not
// have it.
func (node *Node) receiveRedirect(now int64, from string, message Message) {
	node.learn(now, message.Number, message.Content)
	if message.Content == nil && message.Number > node.newest {
		node.queue(from, Message{Kind: Fetch, Number: message.Number})
	}
}

// learn stores the content of a committed version if it is newer than all known ones, and makes the next Tick request
// leases on it.
func (node *Node) learn(now int64, number uint64, content []byte) {
	if content == nil || number <= node.newest {
		return
	}
	node.contents[number], node.newest = content, number
	for len(node.contents) > maxKnownVersions {
		delete(node.contents, node.oldestUnused())
	}
	if node.isVoter() && number > node.voter.next {
		node.voter.next = number
	}
	node.advance(now)
	node.renewAt = min(node.renewAt, now) // so that the next Tick requests leases on the version
}

// oldestUnused returns the number of the oldest known version that is neither active at this node nor the one on which
// it grants leases as a voter.
func (node *Node) oldestUnused() uint64 {
	oldest := node.newest
	for number := range node.contents {
		if number != node.voter.current && number != node.active {
			oldest = min(oldest, number)
		}
	}
	return oldest
}
