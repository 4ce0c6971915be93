package lease

import (
	"fmt"

	"tealpath/internal/cluster/timing"
)

// SlotStatus is what a node knows of one slot, for people.
type SlotStatus struct {
	Slot    int    `json:"slot"`
	Own     bool   `json:"own"`
	Holder  string `json:"holder,omitempty"`
	Ballot  uint64 `json:"number,omitempty"`
	Planned string `json:"planned,omitempty"` // the candidate that it is assigned to
	Since   int64  `json:"-"`                 // when it was acquired, if own
	Until   int64  `json:"-"`
	Reason  string `json:"why,omitempty"` // why nobody holds it
}

// Slots is what the node knows of all slots. A voter knows the holders that it granted leases to; others know
// those for which they were rejected.
func (node *Node) Slots(now int64) []SlotStatus {
	statuses := make([]SlotStatus, len(node.holdings))
	for slot := range statuses {
		statuses[slot] = node.slotStatus(now, slot)
	}
	return statuses
}

func (node *Node) slotStatus(now int64, slot int) SlotStatus {
	own, granted := &node.holdings[slot], &node.grants[slot]
	status := SlotStatus{Slot: slot}
	if node.assigned != nil {
		status.Planned = node.assignedName(slot)
	}
	ballot, until, holds := node.Holds(now, slot)
	switch {
	case holds:
		status.Own, status.Holder = true, node.config.Self.Name
		status.Ballot, status.Since, status.Until = ballot, own.since, until
	case granted.until > now:
		status.Holder, status.Ballot, status.Until = granted.holder.Name, granted.ballot, granted.until
	case !timing.Happened(own.freeSince) && own.otherHolder.Name != "":
		status.Holder, status.Ballot = own.otherHolder.Name, own.otherBallot
	default:
		status.Reason = node.reasonFree(now, own, status.Planned)
	}
	return status
}

// reasonFree says why nobody is known to hold a slot.
func (node *Node) reasonFree(now int64, own *holding, planned string) string {
	switch {
	case now < node.grantsFrom:
		silenceMS := timing.Milliseconds(node.config.RestartSilence())
		return fmt.Sprintf("voters that have just started grant nothing for %d ms", silenceMS)
	case !node.HasQuorum(now):
		return "no majority of the voters answers"
	case own.ballot != 0:
		return "it is being asked for"
	}
	return "it waits for " + planned + " to ask for it"
}
