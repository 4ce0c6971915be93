package fleet

import (
	"tealpath/fleet/lease"
	"tealpath/fleet/membership"
)

// Status is what an instance knows, for people.
type Status struct {
	Name         string         `json:"name"`
	Incarnation  uint64         `json:"incarnation"`
	Majority     bool           `json:"majority"`
	Reason       string         `json:"why,omitempty"` // why nobody acts
	SilentMS     int64          `json:"silent_ms,omitempty"`
	Voters       []string       `json:"voters"`
	Epoch        uint64         `json:"epoch"`
	Members      []MemberStatus `json:"members"`
	Slots        []SlotStatus   `json:"slots"`
	Targets      int            `json:"targets"`
	OwnTargets   int            `json:"own_targets"`
	Skipped      int64          `json:"probes_left_out"`
	StaleResults int64          `json:"stale_findings"`
	Frames       int64          `json:"frames_sent"`    // to other instances
	FramesLost   uint64         `json:"frames_dropped"` // from full queues
	Probes       int64          `json:"probes_sent"`
}

// MemberStatus is what is believed of one member.
type MemberStatus struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	State   string  `json:"state"`
	SinceMS int64   `json:"since_ms"`
	Weight  float64 `json:"weight"`
	Epoch   uint64  `json:"epoch"`
	Doubled bool    `json:"doubled,omitempty"`
}

// SlotStatus is what is known of one slot.
type SlotStatus struct {
	lease.SlotStatus
	SinceMS int64 `json:"since_ms,omitempty"` // for how long this instance has held it
	LeftMS  int64 `json:"left_ms,omitempty"`  // for how long it does still, unless it is renewed
}

// Status tells what this instance knows.
func (n *Node) Status(now int64) Status {
	s := Status{Name: n.config.Self.Name, Incarnation: n.config.Self.Incarnation, Majority: n.HasQuorum(now),
		Voters: n.leases.Voters().Current, Epoch: n.leases.Voters().Epoch, StaleResults: n.stale}
	if s.SilentMS = max(0, n.leases.SilentUntil()-now) / 1e6; s.SilentMS > 0 {
		s.Reason = "this voter has just started and grants nothing yet"
	}
	if !s.Majority {
		s.Reason = "voters not heard: " + n.missing(now)
	}
	self := n.table.Self()
	s.Members = append(s.Members, MemberStatus{Name: self.Name, Address: self.Address, State: membership.Alive.String(),
		SinceMS: (now - n.started) / 1e6, Weight: self.Weight, Epoch: self.Epoch, Doubled: n.doubled})
	for _, m := range n.table.Members() {
		s.Members = append(s.Members, MemberStatus{Name: m.Name, Address: m.Address, State: m.State.String(),
			SinceMS: (now - m.Since) / 1e6, Weight: m.Weight, Epoch: m.Epoch, Doubled: n.table.IsDuplicated(now, m.Name)})
	}
	for _, slot := range n.leases.Slots(now) {
		x := SlotStatus{SlotStatus: slot}
		if slot.Own {
			x.SinceMS, x.LeftMS = (now-slot.Since)/1e6, (slot.Until-now)/1e6
		}
		s.Slots = append(s.Slots, x)
	}
	if n.probe != nil {
		s.Targets, s.OwnTargets = n.probe.Count()
		s.Skipped = n.probe.Skipped()
	}
	return s
}
