package sharedconfig

import (
	"slices"

	"tealpath/internal/cluster/paxos"
	"tealpath/internal/cluster/timing"
)

// Node is one instance, a voter or not.
type Node struct {
	config      Config
	grantsFrom  int64             // before this the voter is silent, as it may have granted before its start
	contents    map[uint64][]byte // of the newest few versions
	newest      uint64            // committed, of which the content is known
	highest     uint64            // number known
	voterLeases []voterLease      // for each voter, the lease it last granted here
	active      uint64            // version that is acted on
	isActive    bool
	renewAt     int64
	wallMS      int64 // ms since 1970, at the last tick

	voter    voterState
	proposal proposal
	effects  []Effect
}

// voterLease is the lease that a voter last granted.
type voterLease struct {
	number uint64
	sentAt int64 // when the renewal was sent that the voter answered, or never
}

// New makes a node that knows no version but its file's.
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

// TakeEffects returns the effects since the last call, in order.
func (node *Node) TakeEffects() []Effect {
	effects := node.effects
	node.effects = nil
	return effects
}

func (node *Node) emit(effect Effect) { node.effects = append(node.effects, effect) }

func (node *Node) isVoter() bool { return slices.Contains(node.config.Voters, node.config.Self) }

// isQuorum reports whether a number of voters is a majority of them.
func (node *Node) isQuorum(count int) bool { return count >= paxos.Majority(len(node.config.Voters)) }

// Active is the version that may be acted on at an instant, and until when by the own clock.
func (node *Node) Active(now int64) (version Version, until int64, ok bool) {
	until = node.leasedUntil(node.active)
	if !node.isActive || now >= until {
		return Version{}, 0, false
	}
	return node.version(node.active), until, true
}

// Newest is the newest version that is committed and known, acted on or not.
func (node *Node) Newest() Version { return node.version(node.newest) }

func (node *Node) version(number uint64) Version {
	return Version{Number: number, Content: node.contents[number]}
}

// leasedUntil is until when a quorum's leases on a version hold, or never.
func (node *Node) leasedUntil(number uint64) int64 {
	var sentAt []int64
	for _, lease := range node.voterLeases {
		if lease.sentAt != timing.Never && lease.number == number {
			sentAt = append(sentAt, lease.sentAt)
		}
	}
	// Of the k latest, k a majority, the earliest counts: after it one of them may have forgotten.
	earliest, ok := paxos.LatestMajority(sentAt, len(node.config.Voters))
	if !ok {
		return timing.Never
	}
	return earliest + node.config.holdDuration()
}

// Next is when Tick has something to do.
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

// Tick does what is due. wallMS is the wall clock, ms since 1970; it only lifts numbers.
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

// Receive takes a message; from is whom the link has proved it to be from.
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

// isFarAhead reports whether a number is of a far future: heeding it would use all numbers up.
func (node *Node) isFarAhead(number uint64) bool {
	return node.wallMS > 0 && paxos.Counter(number) > uint64(node.wallMS)+paxos.MaxWallAheadMS
}

// queue has a message sent to another instance.
func (node *Node) queue(to string, message Message) {
	message.Highest = node.highest
	node.emit(Send{To: to, Message: message})
}

// send sends a message to an instance, which may be this one: then it is taken at once.
func (node *Node) send(now int64, to string, message Message) {
	if to != node.config.Self {
		node.queue(to, message)
		return
	}
	message.Highest = node.highest
	node.Receive(now, to, message)
}

// sendToVoters sends a message to each voter.
func (node *Node) sendToVoters(now int64, message Message) {
	for _, voter := range node.config.Voters {
		node.send(now, voter, message)
	}
}

// deactivate stops acting once the leases have ended.
func (node *Node) deactivate(now int64) {
	if _, _, ok := node.Active(now); node.isActive && !ok {
		node.isActive = false
		node.emit(Deactivated{Reason: "no majority of the voters renewed the lease"})
	}
}

// receiveGrant counts a voter's lease, and acts on the version once a quorum has granted it.
func (node *Node) receiveGrant(now int64, from string, message Message) {
	voter := slices.Index(node.config.Voters, from)
	if voter < 0 || message.SentAt > now || node.contents[message.Number] == nil {
		return
	}
	lease := &node.voterLeases[voter]
	if message.Number != lease.number && message.SentAt < lease.sentAt {
		return // an answer from before the voter moved on
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

// receiveRedirect takes a version's content, or asks for it.
func (node *Node) receiveRedirect(now int64, from string, message Message) {
	node.learn(now, message.Number, message.Content)
	if message.Content == nil && message.Number > node.newest {
		node.queue(from, Message{Kind: Fetch, Number: message.Number})
	}
}

// learn keeps a committed version.
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
	node.renewAt = min(node.renewAt, now) // a lease on it is asked for at once
}

// oldestUnused is the oldest version known that is neither granted nor acted on here.
func (node *Node) oldestUnused() uint64 {
	oldest := node.newest
	for number := range node.contents {
		if number != node.voter.current && number != node.active {
			oldest = min(oldest, number)
		}
	}
	return oldest
}
