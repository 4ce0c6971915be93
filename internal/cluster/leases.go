package cluster

import (
	"fmt"
	"math"

	"tealpath/internal/cluster/lease"
	"tealpath/internal/cluster/membership"
	"tealpath/internal/cluster/probe"
	"tealpath/internal/logevent"
)

// holdsFunc returns the ballot under which this instance holds a slot's lease now, and when the lease ends; ok is
// false if it does not hold it.
type holdsFunc = probe.HoldsFunc

// periodicTask is one kind of periodic task. SlotAcquired and SlotLost tell it which slots' leases this instance
// holds. Do returns the effects that are due in these slots, and Next when Do has work again. Each kind of task uses
// lease.SlotOf to map its tasks to slots.
type periodicTask interface {
	SlotAcquired(now int64, slot int)
	SlotLost(slot int)
	Do(now int64, holds holdsFunc) []Effect
	Next(now int64) int64
}

// receiveLeaseMessage passes a lease message to the lease node. While two instances may be running under one name,
// votes from that name are ignored, and an instance with that name does not vote.
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

// applyLeaseEffects carries out the effects of the lease node: it emits its messages and lease changes, tells the
// periodic tasks, and logs the changes. Equal consecutive changes of several slots are logged as one event.
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

// leaseChange says what happened to a slot's lease. Slots with equal changes are logged together.
type leaseChange struct {
	acquired bool // true: the lease was acquired; false: it was lost
	ballot   uint64
	cause    string
}

// slotsChange is a lease change and the slots that it applies to.
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

// leaseChanges are lease changes in the order in which they happened. Equal consecutive ones are merged.
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

// runTasks emits the effects of the periodic tasks that are due, and returns when the next task is due.
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

// Holds returns the ballot under which this instance holds a slot's lease at now, and when the lease ends by this
// instance's clock; ok is false if it does not hold the lease.
func (node *Node) Holds(now int64, slot int) (ballot uint64, until int64, ok bool) {
	return node.leases.Holds(now, slot)
}

// HasQuorum reports whether a quorum of the voters has recently answered this instance, or is believed alive. The
// second condition covers an instance that neither holds nor requests a lease and so gets no answers.
func (node *Node) HasQuorum(now int64) bool {
	return node.leases.HasQuorum(now) || node.isQuorumAlive()
}

// isQuorumAlive reports whether a majority of each set of voters, the current and the previous one, is believed alive.
// It returns false if this instance is cut off.
func (node *Node) isQuorumAlive() bool {
	if node.members.IsCutOff() {
		return false // what this instance believes about members is out of date
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

// missingVoters lists the current voters that are not believed alive, each with its state, for example "[b dead]".
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

// logQuorum logs whether this instance has a quorum, at first and whenever that changes. It logs nothing in the first
// lease.Config.RestartSilence after the start, in which a voter grants no leases, nor in the two renewal intervals
// that follow.
func (node *Node) logQuorum(now int64) {
	startup := node.config.Lease.RestartSilence() + 2*node.config.Lease.RenewInterval
	if node.shuttingDown || now-node.startedAt < startup {
		return
	}
	hasQuorum := node.HasQuorum(now)
	if hasQuorum == node.hadQuorum && node.quorumLogged {
		return
	}
	node.hadQuorum, node.quorumLogged = hasQuorum, true
	if hasQuorum {
		node.emit(Log{QuorumReached{}})
		return
	}
	node.emit(Log{QuorumLost{MissingVoters: node.missingVoters()}})
}
