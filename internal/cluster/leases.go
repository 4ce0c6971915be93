package cluster

import (
	"fmt"
	"math"

	"tealpath/internal/cluster/lease"
	"tealpath/internal/cluster/membership"
	"tealpath/internal/cluster/probe"
	"tealpath/internal/logevent"
)

// holdsFunc reports whether a slot's lease is held at this instant, under which ballot and until when.
type holdsFunc = probe.HoldsFunc

// periodicTask is one kind of periodic task: it learns which slots are held, and returns what is to be done
// now for those that are. Each kind hashes its own tasks to slots (lease.SlotOf).
type periodicTask interface {
	SlotAcquired(now int64, slot int)
	SlotLost(slot int)
	Do(now int64, holds holdsFunc) []Effect
	Next(now int64) int64
}

// receiveLeaseMessage takes a message about leases. A vote does not count from a name under which two may be
// running, nor is one given by such.
func (node *Node) receiveLeaseMessage(now int64, from lease.Instance, message lease.Message) {
	switch message.Kind {
	case lease.Promise, lease.Accept:
		if node.members.IsDuplicated(now, from.Name) {
			return
		}
	case lease.Prepare, lease.Propose:
		if node.members.IsDuplicated(now, node.config.Self.Name) {
			return
		}
	}
	node.leases.Receive(now, from, message)
}

// applyLeaseEffects turns the leases' effects into the node's; what was acquired or lost together is one line.
func (node *Node) applyLeaseEffects(now int64) {
	var changes leaseChanges
	for _, effect := range node.leases.TakeEffects() {
		switch effect := effect.(type) {
		case lease.Send:
			node.keepLeaseLink(now, effect.To)
			node.emit(Send{To: effect.To, Message: Message{Lease: &effect.Message}})
		case lease.Acquired:
			for _, task := range node.tasks {
				task.SlotAcquired(now, effect.Slot)
			}
			node.emit(LeaseChanged{Slot: effect.Slot, Ballot: effect.Ballot})
			changes.add(leaseChange{acquired: true, ballot: effect.Ballot}, effect.Slot)
		case lease.Lost:
			for _, task := range node.tasks {
				task.SlotLost(effect.Slot)
			}
			node.emit(LeaseChanged{Slot: effect.Slot})
			changes.add(leaseChange{ballot: effect.Ballot, cause: effect.Reason}, effect.Slot)
		}
	}
	for _, change := range changes {
		node.emit(Log{change.event()})
	}
}

// leaseChange is what the log says of a slot beside its number.
type leaseChange struct {
	acquired bool // else it is lost
	ballot   uint64
	cause    string
}

// slotsChange is one change of several slots.
type slotsChange struct {
	leaseChange
	slots []int
}

func (change slotsChange) event() logevent.Event {
	if change.acquired {
		return LeasesAcquired{Slots: change.slots, Ballot: change.ballot}
	}
	return LeasesLost{Slots: change.slots, Ballot: change.ballot, Cause: change.cause}
}

// leaseChanges are changes in their order. Equal ones that follow each other are one.
type leaseChanges []slotsChange

func (changes *leaseChanges) add(change leaseChange, slot int) {
	if count := len(*changes); count > 0 {
		last := &(*changes)[count-1]
		if last.leaseChange == change {
			last.slots = append(last.slots, slot)
			return
		}
	}
	*changes = append(*changes, slotsChange{change, []int{slot}})
}

// runTasks does what is due of the periodic tasks, and returns when the next is.
func (node *Node) runTasks(now int64) (next int64) {
	next = math.MaxInt64
	holds := func(slot int) (uint64, int64, bool) { return node.leases.Holds(now, slot) }
	for _, task := range node.tasks {
		for _, effect := range task.Do(now, holds) {
			node.emit(effect)
		}
		next = min(next, task.Next(now))
	}
	return next
}

// Holds reports whether this instance may act for a slot at this instant, under which ballot and until when.
func (node *Node) Holds(now int64, slot int) (ballot uint64, until int64, ok bool) {
	return node.leases.Holds(now, slot)
}

// HasQuorum reports whether a quorum of the voters answers, or is at least believed alive: who neither holds
// nor tries has no answers.
func (node *Node) HasQuorum(now int64) bool {
	return node.leases.HasQuorum(now) || node.isQuorumAlive()
}

// isQuorumAlive reports whether a majority of each set of voters is believed alive.
func (node *Node) isQuorumAlive() bool {
	if node.members.IsCutOff() {
		return false // what is believed is of before
	}
	voters := node.leases.Voters()
	for _, set := range [][]string{voters.Current, voters.Previous} {
		alive := 0
		for _, name := range set {
			if node.isVoterAlive(name) {
				alive++
			}
		}
		if len(set) > 0 && alive <= len(set)/2 {
			return false
		}
	}
	return true
}

func (node *Node) isVoterAlive(name string) bool {
	member, _ := node.members.Member(name)
	return name == node.config.Self.Name || member.State == membership.Alive
}

// missingVoters names the voters that are not believed alive, with what they are believed to be.
func (node *Node) missingVoters() string {
	var missing []string
	for _, name := range node.leases.Voters().Current {
		if !node.isVoterAlive(name) {
			member, _ := node.members.Member(name)
			missing = append(missing, name+" "+member.State.String())
		}
	}
	return fmt.Sprint(missing)
}

// logQuorum logs whether a quorum can be reached, once there was time to.
func (node *Node) logQuorum(now int64) {
	startTime := node.config.Lease.RestartSilence() + 2*node.config.Lease.RenewInterval
	if node.shuttingDown || now-node.startedAt < startTime {
		return
	}
	hasQuorum := node.HasQuorum(now)
	if hasQuorum == node.hadQuorum && node.quorumKnown {
		return
	}
	node.hadQuorum, node.quorumKnown = hasQuorum, true
	if hasQuorum {
		node.emit(Log{QuorumReached{}})
		return
	}
	node.emit(Log{QuorumLost{MissingVoters: node.missingVoters()}})
}
