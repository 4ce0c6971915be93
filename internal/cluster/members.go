package cluster

import (
	"maps"
	"slices"
	"time"

	"tealpath/internal/cluster/lease"
	"tealpath/internal/cluster/membership"
	"tealpath/internal/cluster/timing"
	"tealpath/internal/logevent"
)

// leaseLinkDuration is for how long a link stays that a message about leases went by, ns.
const leaseLinkDuration = int64(10 * time.Second)

// maxChangesLogged is how many changes of one kind get a line each; more at once are one line: a zone that is
// lost, or all at a start.
const maxChangesLogged = 8

// peers is to whom links are to stand.
type peers struct {
	linked      []Peer           // as last set
	leaseUntil  map[string]int64 // until when a link is kept that a message about leases went by
	leasesMoved bool             // leaseUntil has gained or lost a name
}

func newPeers() peers { return peers{leaseUntil: map[string]int64{}} }

// dropExpired drops the links that no message about leases went by for long.
func (peers *peers) dropExpired(now int64) {
	maps.DeleteFunc(peers.leaseUntil, func(_ string, until int64) bool {
		expired := now > until
		peers.leasesMoved = peers.leasesMoved || expired
		return expired
	})
}

// receiveGossip takes the gossip of a member.
func (node *Node) receiveGossip(now int64, from string, gossip membership.Gossip) {
	sends, changes := node.members.Receive(now, from, gossip)
	node.logChanges(changes)
	node.updateMembers(now)
	node.sendGossip(sends)
	for _, entry := range gossip.Entries {
		node.leases.ObserveEpoch(entry.Name, entry.Epoch)
	}
}

// sendGossip sends what members tell each other.
func (node *Node) sendGossip(sends []membership.Send) {
	for _, send := range sends {
		message := Message{Gossip: &send.Gossip, HighestBallot: node.leases.HighestBallot()}
		node.emit(Send{To: send.To, Message: message})
	}
}

// updateMembers passes a change of the live instances to the leases, and sets the peers.
func (node *Node) updateMembers(now int64) {
	node.peers.dropExpired(now)
	version := node.members.Version()
	if version == node.viewVersion && !node.peers.leasesMoved {
		return
	}
	node.viewVersion, node.peers.leasesMoved = version, false
	if !node.shuttingDown {
		node.leases.SetCandidates(now, candidates(node.members.Alive()))
	}
	if wanted := node.wantedPeers(); !slices.Equal(wanted, node.peers.linked) {
		node.peers.linked = wanted
		node.emit(SetPeers{Peers: wanted})
	}
}

// wantedPeers is neighbours and those that were asked about leases a moment ago; all, where all are neighbours.
func (node *Node) wantedPeers() []Peer {
	addresses := map[string]string{}
	for _, contact := range node.members.Peers() {
		addresses[contact.Name] = contact.Address
	}
	allAreNeighbours := node.members.Count() <= membership.MaxNeighbours
	for _, member := range node.members.Members() {
		_, asked := node.peers.leaseUntil[member.Name]
		if member.Address != "" && member.State != membership.Left && (allAreNeighbours || asked) {
			addresses[member.Name] = member.Address
		}
	}
	var wanted []Peer
	for _, name := range slices.Sorted(maps.Keys(addresses)) {
		wanted = append(wanted, Peer{Name: name, Address: addresses[name]})
	}
	return wanted
}

// keepLeaseLink has a link to an instance that a message about leases goes to.
func (node *Node) keepLeaseLink(now int64, name string) {
	_, had := node.peers.leaseUntil[name]
	node.peers.leaseUntil[name] = now + leaseLinkDuration
	if !had {
		node.peers.leasesMoved = true
		node.updateMembers(now)
	}
}

// candidates is who can hold leases.
func candidates(entries []membership.Entry) []lease.Candidate {
	var candidates []lease.Candidate
	for _, entry := range entries {
		candidates = append(candidates, lease.Candidate{Name: entry.Name, Weight: entry.Weight})
	}
	return candidates
}

// transition is a change from one state to another.
type transition struct{ state, previous membership.State }

// logChanges logs what is believed anew.
func (node *Node) logChanges(changes []membership.Change) {
	byTransition := map[transition][]membership.Change{}
	for _, change := range changes {
		if change.Name == node.config.Self.Name {
			node.logOwnChange(change.Reason)
			continue
		}
		kind := transition{change.State, change.Previous}
		byTransition[kind] = append(byTransition[kind], change)
	}
	// No member gets back to Unheard.
	states := []membership.State{membership.Alive, membership.Dead, membership.Left}
	for _, state := range states {
		for _, previous := range append([]membership.State{membership.Unheard}, states...) {
			kind := transition{state, previous}
			node.logTransition(kind, byTransition[kind])
		}
	}
}

// logOwnChange logs what this instance finds of itself.
func (node *Node) logOwnChange(reason string) {
	switch reason {
	case membership.ReasonAway:
		node.emit(Log{InstanceWasAway{DurationMS: timing.Milliseconds(node.members.Away())}})
	case membership.ReasonCutOff:
		node.emit(Log{InstanceCutOff{}})
	default:
		node.emit(Log{InstanceReconnected{}})
	}
}

// logTransition logs the changes of one kind.
func (node *Node) logTransition(kind transition, changes []membership.Change) {
	if len(changes) > maxChangesLogged {
		node.emit(Log{membersEvent(kind, len(changes))})
		return
	}
	for _, change := range changes {
		node.emit(Log{memberEvent(kind, change)})
	}
}

// memberEvent is the event of one member's transition.
func memberEvent(kind transition, change membership.Change) logevent.Event {
	previous := kind.previous.String()
	switch kind.state {
	case membership.Alive:
		return MemberAlive{Member: change.Name, Previous: previous, Cause: change.Reason}
	case membership.Dead:
		return MemberDead{Member: change.Name, Previous: previous, Cause: change.Reason}
	}
	return MemberLeft{Member: change.Name, Previous: previous, Cause: change.Reason}
}

// membersEvent is the event of one transition of many members.
func membersEvent(kind transition, members int) logevent.Event {
	previous := kind.previous.String()
	switch kind.state {
	case membership.Alive:
		return MembersAlive{Members: members, Previous: previous}
	case membership.Dead:
		return MembersDead{Members: members, Previous: previous}
	}
	return MembersLeft{Members: members, Previous: previous}
}

// logDuplicate logs whether another start under the own name is heard.
func (node *Node) logDuplicate(now int64) {
	self := node.config.Self.Name
	duplicated := node.members.IsDuplicated(now, self)
	if duplicated == node.duplicated {
		return
	}
	node.duplicated = duplicated
	if duplicated {
		node.emit(Log{DuplicateNameDetected{Member: self}})
		return
	}
	node.emit(Log{DuplicateNameGone{Member: self}})
}
