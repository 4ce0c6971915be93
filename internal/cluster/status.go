package cluster

import (
	"tealpath/internal/cluster/lease"
	"tealpath/internal/cluster/membership"
	"tealpath/internal/cluster/timing"
)

// Status is the state of an instance's leases and probes, as shown to operators.
type Status struct {
	Name         string         `json:"name"`
	Incarnation  uint64         `json:"incarnation"`
	Majority     bool           `json:"majority"`
	Reason       string         `json:"why,omitempty"`       // why no leases are granted; empty: no reason
	SilentMS     int64          `json:"silent_ms,omitempty"` // time until this instance votes, ms; 0: it votes already
	Voters       []string       `json:"voters"`
	Epoch        uint64         `json:"epoch"` // epoch of the voters in force
	Members      []MemberStatus `json:"members"`
	Slots        []SlotStatus   `json:"slots"`
	Targets      int            `json:"targets"`
	OwnTargets   int            `json:"own_targets"`     // number of targets in slots whose leases this instance holds
	Skipped      int64          `json:"probes_left_out"` // number of probes not sent, to spare cold targets
	StaleResults int64          `json:"stale_findings"`  // number of probe results dropped: a higher ballot was known
	Frames       int64          `json:"frames_sent"`     // number of frames sent to other instances
	FramesLost   uint64         `json:"frames_dropped"`  // number of frames dropped because a link's queue was full
	Probes       int64          `json:"probes_sent"`
}

// MemberStatus is the state of one member, which may be this instance, as this instance sees it.
type MemberStatus struct {
	Name       string  `json:"name"`
	Address    string  `json:"address"`
	State      string  `json:"state"`
	SinceMS    int64   `json:"since_ms"` // how long the member has been in this state, ms
	Weight     float64 `json:"weight"`
	Epoch      uint64  `json:"epoch"`             // epoch of the voters that the member uses
	Duplicated bool    `json:"doubled,omitempty"` // two instances may be running under this name
}

// SlotStatus is what this instance knows about one slot's lease, with the durations that operators see.
type SlotStatus struct {
	lease.SlotStatus
	SinceMS int64 `json:"since_ms,omitempty"` // how long this instance has held the lease, ms; 0: it does not hold it
	LeftMS  int64 `json:"left_ms,omitempty"`  // time until the lease ends unless it is renewed, ms; 0: not held here
}

// MembersStatus is the membership as one instance sees it, as shown to operators.
type MembersStatus struct {
	Name      string         `json:"name"`
	View      uint64         `json:"view"`     // number of the published view at this instance
	Digest    uint64         `json:"digest"`   // digest of the published view; equal on instances with equal views
	SinceMS   int64          `json:"since_ms"` // time since the published view last changed, ms
	Alive     int            `json:"alive"`
	Health    int            `json:"local_health"`      // local health score: 0 is healthy, 8 is worst
	AwayMS    int64          `json:"away_ms,omitempty"` // length of this instance's last pause, ms; 0: there was none
	CutOff    bool           `json:"cut_off,omitempty"` // all neighbours that this instance watches are silent
	Links     int            `json:"links"`
	BytesSent int64          `json:"bytes_sent"`
	Rejected  int64          `json:"refused"` // number of gossip messages, entries and reports that were rejected
	Members   []MemberBelief `json:"members"`
}

// MemberBelief is what this instance believes about another one.
type MemberBelief struct {
	Name          string   `json:"name"`
	State         string   `json:"state"`
	SinceMS       int64    `json:"since_ms"`
	Version       uint64   `json:"version"`
	HeldOut       bool     `json:"held_out,omitempty"`    // alive, but not in the view because it keeps failing
	Duplicated    bool     `json:"doubled,omitempty"`     // two instances may be running under its name
	Reported      []string `json:"reported_by,omitempty"` // observers and their reports: "b silent" or "b deaf"
	Neighbour     bool     `json:"neighbour,omitempty"`   // this instance watches it
	SinceHeardMS  int64    `json:"in_ms,omitempty"`       // since its last heartbeat, ms; 0 also without a link
	SinceEchoedMS int64    `json:"out_ms,omitempty"`      // since it last echoed a heartbeat, ms; 0 if not linked
}

// Status returns the state of this instance's leases and probes at now. Frames, FramesLost and Probes, which the node
// does not know, are 0.
func (node *Node) Status(now int64) Status {
	voters := node.leases.Voters()
	status := Status{
		Name: node.config.Self.Name, Incarnation: node.config.Self.Incarnation, Majority: node.HasQuorum(now),
		SilentMS: timing.Milliseconds(max(0, node.leases.SilentUntil()-now)),
		Voters:   voters.Current, Epoch: voters.Epoch,
		Members: node.memberStatuses(now), StaleResults: node.results.stale,
	}
	if status.SilentMS > 0 {
		status.Reason = "this voter has just started and grants nothing yet"
	}
	if !status.Majority {
		status.Reason = "voters not heard: " + node.missingVoters()
	}
	for _, slot := range node.leases.Slots(now) {
		slotStatus := SlotStatus{SlotStatus: slot}
		if slot.Own {
			slotStatus.SinceMS = timing.Milliseconds(now - slot.Since)
			slotStatus.LeftMS = timing.Milliseconds(slot.Until - now)
		}
		status.Slots = append(status.Slots, slotStatus)
	}
	if node.prober != nil {
		status.Targets, status.OwnTargets = node.prober.Count()
		status.Skipped = node.prober.Skipped()
	}
	return status
}

// memberStatuses returns the status of each member, with this instance first and the others sorted by name.
func (node *Node) memberStatuses(now int64) []MemberStatus {
	self := node.members.Self()
	statuses := []MemberStatus{{
		Name:       self.Name,
		Address:    self.Address,
		State:      membership.Alive.String(),
		SinceMS:    timing.Milliseconds(now - node.startedAt),
		Weight:     self.Weight,
		Epoch:      self.Epoch,
		Duplicated: node.duplicated,
	}}
	for _, member := range node.members.Members() {
		statuses = append(statuses, MemberStatus{
			Name:       member.Name,
			Address:    member.Address,
			State:      member.State.String(),
			SinceMS:    timing.Milliseconds(now - member.Since),
			Weight:     member.Weight,
			Epoch:      member.Epoch,
			Duplicated: node.members.IsDuplicated(now, member.Name),
		})
	}
	return statuses
}

// Members returns the membership as this instance sees it at now. BytesSent, which the node does not know, is 0.
func (node *Node) Members(now int64) MembersStatus {
	number, digest, since := node.members.ViewInfo()
	status := MembersStatus{
		Name:     node.config.Self.Name,
		View:     number,
		Digest:   digest,
		SinceMS:  timing.Milliseconds(now - since),
		Alive:    len(node.members.Alive()),
		Health:   node.members.LocalHealth(),
		AwayMS:   timing.Milliseconds(node.members.Away()),
		CutOff:   node.members.IsCutOff(),
		Links:    len(node.peers.linked),
		Rejected: node.members.Rejected(),
	}
	links := node.members.LinkStates(now)
	for _, member := range node.members.Members() {
		belief := MemberBelief{
			Name:       member.Name,
			State:      member.State.String(),
			SinceMS:    timing.Milliseconds(now - member.Since),
			Version:    member.Version,
			HeldOut:    member.HeldOut,
			Duplicated: node.members.IsDuplicated(now, member.Name),
			Reported:   reportedBy(member),
		}
		if link, ok := links[member.Name]; ok {
			belief.Neighbour = !link.Inbound
			belief.SinceHeardMS = timing.Milliseconds(link.HeardAgo)
			belief.SinceEchoedMS = timing.Milliseconds(link.EchoedAgo)
		}
		status.Members = append(status.Members, belief)
	}
	return status
}

// reportedBy lists the observers that report a member, each with the kind of its report. Reports of the kind Healthy
// are left out.
func reportedBy(member membership.Member) []string {
	var reported []string
	for _, report := range member.Reports {
		if report.Kind != membership.Healthy {
			reported = append(reported, report.Observer+" "+report.Kind.String())
		}
	}
	return reported
}
