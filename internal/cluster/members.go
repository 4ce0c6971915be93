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

// leaseLinkDuration is how long a link stays open after the last lease message on it, ns.
const leaseLinkDuration = int64(10 * time.Second)

// maxChangesLogged is the largest number of simultaneous changes of members from one state to another that are logged
// as one event each. If there are more, for example when a zone is lost or when all members are found at the start, a
// single event has their number.
const maxChangesLogged = 8

// peers holds the instances to which links are kept open.
type peers struct {
	linked            []Peer           // peers that the last SetPeers effect listed
	leaseUntil        map[string]int64 // by name: until when to keep the link after a lease message
	leaseLinksChanged bool             // the names in leaseUntil changed since updateMembers used them
}

func newPeers() peers { return peers{leaseUntil: map[string]int64{}} }

// dropExpired removes the instances to which no lease message was sent for leaseLinkDuration.
func (peers *peers) dropExpired(now int64) {
	maps.DeleteFunc(peers.leaseUntil, func(_ string, until int64) bool {
		expired := now > until
		peers.leaseLinksChanged = peers.leaseLinksChanged || expired
		return expired
	})
}

// receiveGossip updates the membership table from a message, sends its replies, and tells the lease node which voter
// epochs the members use.
func (node *Node) receiveGossip(now int64, from string, gossip membership.Gossip) {
	sends, changes := node.members.Receive(now, from, gossip)
	node.logChanges(changes)
	node.updateMembers(now)
	node.sendGossip(sends)
	for _, entry := range gossip.Entries {
		node.leases.ObserveEpoch(entry.Name, entry.Epoch)
	}
}

// sendGossip sends the messages of the membership table. Each also has the highest ballot that this instance knows.
func (node *Node) sendGossip(sends []membership.Send) {
	for _, send := range sends {
		message := Message{Gossip: &send.Gossip, HighestBallot: node.leases.HighestBallot()}
		node.emit(Send{To: send.To, Message: message})
	}
}

// updateMembers gives the lease node the new candidates and requests links to the new peers, if the membership table
// or the set of links for lease messages has changed.
func (node *Node) updateMembers(now int64) {
	node.peers.dropExpired(now)
	version := node.members.Version()
	if version == node.viewVersion && !node.peers.leaseLinksChanged {
		return
	}
	node.viewVersion, node.peers.leaseLinksChanged = version, false
	if !node.shuttingDown {
		node.leases.SetCandidates(now, candidates(node.members.Alive()))
	}
	if wanted := node.wantedPeers(); !slices.Equal(wanted, node.peers.linked) {
		node.peers.linked = wanted
		node.emit(SetPeers{Peers: wanted})
	}
}

// wantedPeers returns the instances to link to, sorted by name: those that the membership table wants links to, and
// those that were recently sent lease messages. If the cluster is so small that all members are neighbours, these are
// all members that have not left.
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

// keepLeaseLink keeps the link to an instance open for leaseLinkDuration from now, because a lease message is about to
// be sent to it.
func (node *Node) keepLeaseLink(now int64, name string) {
	_, had := node.peers.leaseUntil[name]
	node.peers.leaseUntil[name] = now + leaseLinkDuration
	if !had {
		node.peers.leaseLinksChanged = true
		node.updateMembers(now)
	}
}

// candidates returns the members as candidates for leases, in the same order.
func candidates(entries []membership.Entry) []lease.Candidate {
	var candidates []lease.Candidate
	for _, entry := range entries {
		candidates = append(candidates, lease.Candidate{Name: entry.Name, Weight: entry.Weight})
	}
	return candidates
}

// transition is a change of a member's state from previous to state.
type transition struct{ state, previous membership.State }

// logChanges logs changes of members' states and of this instance's own condition. It groups the members by
// transition, so that many simultaneous changes are logged as one event.
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
	// No member returns to the state Unheard.
	states := []membership.State{membership.Alive, membership.Dead, membership.Left}
	for _, state := range states {
		for _, previous := range append([]membership.State{membership.Unheard}, states...) {
			kind := transition{state, previous}
			node.logTransition(kind, byTransition[kind])
		}
	}
}

// logOwnChange logs a change of this instance's own condition, such as a pause. reason is one of the Reason constants
// of package membership.
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

// logTransition logs the changes with the same transition: one by one, or as one event if there are more than
// maxChangesLogged.
func (node *Node) logTransition(kind transition, changes []membership.Change) {
	if len(changes) > maxChangesLogged {
		node.emit(Log{membersEvent(kind, len(changes))})
		return
	}
	for _, change := range changes {
		node.emit(Log{memberEvent(kind, change)})
	}
}

// memberEvent returns the event to log for the transition of one member.
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

// membersEvent returns the event to log for a transition that this number of members make at once.
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

// logDuplicate logs a change of whether a second instance runs under this instance's name.
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
