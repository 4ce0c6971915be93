package lease

import (
	"fmt"

	"tealpath/internal/cluster/timing"
)

// SlotStatus is what a node knows about the lease on one slot, as shown to operators.
type SlotStatus struct {
	Slot    int    `json:"slot"`
	Own     bool   `json:"own"`
	Holder  string `json:"holder,omitempty"`
	Ballot  uint64 `json:"number,omitempty"`
	Planned string `json:"planned,omitempty"` // candidate that the slot is assigned to; empty: none
	Since   int64  `json:"-"`                 // when this node acquired the lease, ns; 0: it does not hold it
	Until   int64  `json:"-"`                 // when the lease ends, on this node's clock, ns; 0: not known
	Reason  string `json:"why,omitempty"`     // why no holder is known; empty: Holder is known
}

// Slots returns the status of every slot as far as this node knows it. A voter knows the holders to which it
// granted leases. Other nodes learn the holder of a slot from the voters that reject their requests for it.
func (node *Node) Slots(now int64) []SlotStatus {
	statuses := make([]SlotStatus, len(node.holdings))
	for slot := range statuses {
		statuses[slot] = node.slotStatus(now, slot)
	}
	return statuses
}

// slotStatus returns the status of one slot. It prefers this node's own lease, then a lease that this node granted
// as a voter, then the holder that the last Reject named.
func (node *Node) slotStatus(now int64, slot int) SlotStatus {
	holding, grant := &node.holdings[slot], &node.grants[slot]
	status := SlotStatus{Slot: slot}
	if node.assigned != nil {
		status.Planned = node.assignedName(slot)
	}
	ballot, until, holds := node.Holds(now, slot)
	switch {
	case holds:
		status.Own, status.Holder = true, node.config.Self.Name
		status.Ballot, status.Since, status.Until = ballot, holding.since, until
	case grant.until > now:
		status.Holder, status.Ballot, status.Until = grant.holder.Name, grant.ballot, grant.until
	case !timing.Happened(holding.freeSince) && holding.otherHolder.Name != "":
		status.Holder, status.Ballot = holding.otherHolder.Name, holding.otherBallot
	default:
		status.Reason = node.reasonNotHeld(now, holding, status.Planned)
	}
	return status
}

// reasonNotHeld says, in words for operators, why no holder of a slot is known. planned is the name of the candidate
// that the slot is assigned to.
func (node *Node) reasonNotHeld(now int64, holding *slotHolding, planned string) string {
	switch {
	case now < node.grantsFrom:
		silenceMS := timing.Milliseconds(node.config.RestartSilence())
		return fmt.Sprintf("voters that have just started grant nothing for %d ms", silenceMS)
	case !node.HasQuorum(now):
		return "no majority of the voters answers"
	case holding.ballot != 0:
		return "this instance is requesting it"
	}
	return "waiting for " + planned + " to request it"
}
