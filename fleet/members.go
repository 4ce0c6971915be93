package fleet

import (
	"tealpath/fleet/membership"
)

// MembersStatus is what one instance believes of the others, for people.
type MembersStatus struct {
	Name      string         `json:"name"`
	View      uint64         `json:"view"`   // number of the view handed on, here
	Digest    uint64         `json:"digest"` // the same wherever the same is believed
	SinceMS   int64          `json:"since_ms"`
	Alive     int            `json:"alive"`
	Health    int            `json:"local_health"`      // 0 is well, 8 is worst
	AwayMS    int64          `json:"away_ms,omitempty"` // for how long this instance was away, when it last was
	CutOff    bool           `json:"cut_off,omitempty"`
	Links     int            `json:"links"`
	BytesSent int64          `json:"bytes_sent"`
	Refused   int64          `json:"refused"`
	Members   []MemberBelief `json:"members"`
}

// MemberBelief is what is believed of one.
type MemberBelief struct {
	Name     string   `json:"name"`
	State    string   `json:"state"`
	SinceMS  int64    `json:"since_ms"`
	Version  uint64   `json:"version"`
	Held     bool     `json:"held_out,omitempty"` // it keeps dying
	Doubled  bool     `json:"doubled,omitempty"`
	Reported []string `json:"reported_by,omitempty"` // "observer silent" or "observer deaf"
	Near     bool     `json:"neighbour,omitempty"`
	InMS     int64    `json:"in_ms,omitempty"`  // since it was last heard here
	OutMS    int64    `json:"out_ms,omitempty"` // since it last showed that it hears this instance
}

// Members tells what this instance believes of the others.
func (n *Node) Members(now int64) MembersStatus {
	number, digest, since := n.table.ViewInfo()
	s := MembersStatus{Name: n.config.Self.Name, View: number, Digest: digest, SinceMS: (now - since) / 1e6, Alive: len(n.table.Alive()),
		Health: n.table.LocalHealth(), AwayMS: n.table.Away() / 1e6, CutOff: n.table.IsCutOff(), Links: len(n.linked), Refused: n.table.Rejected()}
	ways := n.table.LinkStates(now)
	for _, m := range n.table.Members() {
		b := MemberBelief{Name: m.Name, State: m.State.String(), SinceMS: (now - m.Since) / 1e6, Version: m.Version, Held: m.HeldOut,
			Doubled: n.table.IsDuplicated(now, m.Name)}
		for _, r := range m.Reports {
			if r.Kind != membership.Healthy {
				b.Reported = append(b.Reported, r.Observer+" "+r.Kind.String())
			}
		}
		if way, near := ways[m.Name]; near {
			b.Near, b.InMS, b.OutMS = !way.Inbound, way.HeardAgo/1e6, way.EchoedAgo/1e6
		}
		s.Members = append(s.Members, b)
	}
	return s
}
