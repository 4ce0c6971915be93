// Package fleet is what instances agree on, as one reducer: an event goes in, state changes, effects come out. It
// joins who is there (membership), who holds which slot (lease) and what is probed when (probe). It does no input or
// output, reads no clock and is not safe for use by two goroutines at once. Times are whole nanoseconds of a clock
// that goes on while the machine is suspended and never goes back.
package fleet

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"tealpath/fleet/lease"
	"tealpath/fleet/membership"
	"tealpath/fleet/probe"
)

// Bounds of what one message holds.
const (
	findingsMost = 512
	loadMost     = 16
)

// Config is what an instance starts with.
type Config struct {
	Self       lease.Instance
	Address    string // where it takes links
	Weight     float64
	Contacts   []membership.Contact // the instances of the file, the own one among them or not
	Lease      lease.Config         // Self and Seed are filled in from here
	Probe      *probe.Config        // nil: nothing is probed
	Seed       uint64
	WallMS     int64            // ms since 1970, at the start
	Membership MembershipConfig // zero: as of the renewals
}

// MembershipConfig is how members watch each other.
type MembershipConfig struct {
	HeartbeatInterval int64 // between two beats, ns; 0 is a renewal
	SilenceTimeout    int64 // without a sign from which one is reported, ns; 0 is three intervals
}

// ProbeResult is what a probe found.
type ProbeResult struct {
	Target  string    `cbor:"1,keyasint"`
	Ballot  uint64    `cbor:"2,keyasint"` // under which it was probed
	Healthy bool      `cbor:"3,keyasint"`
	Load    []float64 `cbor:"4,keyasint,omitempty"`
	Seq     uint64    `cbor:"5,keyasint,omitempty"` // grows with each finding of a number
}

// Message is what instances send each other.
type Message struct {
	HighestBallot uint64             `cbor:"2,keyasint,omitempty"` // number known
	Lease         *lease.Message     `cbor:"3,keyasint,omitempty"`
	ProbeResults  []ProbeResult      `cbor:"4,keyasint,omitempty"`
	Gossip        *membership.Gossip `cbor:"5,keyasint,omitempty"`
}

var decoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: lease.MaxSlots, MaxMapPairs: 64, MaxNestedLevels: 8,
		DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}()

// Encode gives a message's bytes (CBOR, RFC 8949).
func (m Message) Encode() ([]byte, error) { return cbor.Marshal(m) }

// Decode reads a message and checks its bounds.
func Decode(raw []byte) (m Message, err error) {
	if err := decoding.Unmarshal(raw, &m); err != nil {
		return Message{}, err
	}
	switch {
	case m.Gossip != nil && len(m.Gossip.Entries)+len(m.Gossip.Reports) > 2*membership.MaxPerMessage+2:
		return Message{}, fmt.Errorf("%d members and %d reports", len(m.Gossip.Entries), len(m.Gossip.Reports))
	case len(m.ProbeResults) > findingsMost:
		return Message{}, fmt.Errorf("%d findings", len(m.ProbeResults))
	case m.Lease != nil && (m.Lease.Kind < lease.Prepare || m.Lease.Kind > lease.Release):
		return Message{}, fmt.Errorf("kind %d", m.Lease.Kind)
	}
	for _, f := range m.ProbeResults {
		if len(f.Load) > loadMost {
			return Message{}, errors.New("a load report too long")
		}
	}
	return m, nil
}

// Event is something that came in.
type Event any

// MessageReceived is a message from another instance, whose name and start the link has proved.
type MessageReceived struct {
	From    lease.Instance
	Message Message
}

// TargetsUpdated is the list of targets as it is now.
type TargetsUpdated struct{ Targets []probe.Target }

// ProbeEnded tells how a probe ended.
type ProbeEnded struct{ ProbeResult }

// TimerFired tells that it is time, or that it may be; Wall is the wall clock, ms since 1970.
type TimerFired struct{ WallMS int64 }

// ShutdownStarted tells that this instance is to end.
type ShutdownStarted struct{}

// ConfigChanged is a newer configuration. Contacts, weights and voters change in a running instance.
type ConfigChanged struct {
	Contacts []membership.Contact
	Weight   float64
	Voters   lease.Voters
}

// Effect is what is to be done outside.
type Effect any

// Send wants a message sent to an instance; it may be lost.
type Send struct {
	To      string
	Message Message
}

// Peer is an instance to which a link is to stand.
type Peer struct{ Name, Address string }

// SetPeers wants links to these and to no others.
type SetPeers struct{ Peers []Peer }

// SendProbe wants a target probed: written before Until by this clock, or not at all.
type SendProbe struct{ probe.Probe }

// LeaseChanged tells under which number a slot is held from now on, 0 if it no longer is. It comes before any message that
// would let somebody else have the slot: what is on its way to be done under it must see that.
type LeaseChanged struct {
	Slot   int
	Ballot uint64
}

// TargetProbed tells the router what a probe found, here or elsewhere.
type TargetProbed struct{ ProbeResult }

// Log wants a line logged, with the figures that caused it.
type Log struct {
	Line   string
	Member string
	Slots  []int
	Ballot uint64
	Reason string
}

// SetTimer wants Due at a time.
type SetTimer struct{ At int64 }

// periodic is one kind of periodic duty: it is told which slots are held, and says what is to be done now for those that
// are. Each kind hashes its own duties to slots (lease.SlotOf).
type periodic interface {
	Gained(now int64, slot int)
	Lost(slot int)
	Do(now int64, owns func(slot int) (number uint64, until int64, ok bool)) []Effect
	Next(now int64) int64
}

// probing is the first kind: probing the members.
type probing struct{ *probe.Prober }

// Do gives the probes that are to go out.
func (p probing) Do(now int64, owns func(slot int) (number uint64, until int64, ok bool)) (out []Effect) {
	for _, x := range p.Due(now, owns) {
		out = append(out, SendProbe{x})
	}
	return out
}

// Node is one instance.
type Node struct {
	duties  []periodic
	config  Config
	table   *membership.Table
	leases  *lease.Node
	probe   *probe.Prober // nil: nothing is probed
	effects []Effect
	version uint64
	linked  []Peer
	relink  bool               // wanted has changed
	wanted  map[string]int64   // until when a link to one that duties are asked of is kept
	seen    map[string]finding // the newest finding of a target, as told
	seq     uint64             // of the own findings
	stale   int64              // findings under a number older than one seen
	found   []ProbeResult      // to be told
	foundAt int64              // when they are
	reached bool
	told    bool // whether it was ever told that there is or is no majority
	doubled bool
	leaving bool
	started int64
}

// finding is the order of a target's findings.
type finding struct{ number, seq uint64 }

func (f finding) before(g finding) bool {
	return f.number < g.number || f.number == g.number && f.seq < g.seq
}

// wantedFor is for how long a link stays that a duty's message went by, ns.
const wantedFor = int64(10e9)

// New makes a node.
func New(now int64, c Config) (*Node, error) {
	c.Lease.Self, c.Lease.Seed = c.Self, c.Seed
	d, err := lease.New(now, c.Lease)
	if err != nil {
		return nil, err
	}
	interval := cmp.Or(c.Membership.HeartbeatInterval, c.Lease.RenewInterval)
	n := &Node{config: c, leases: d, seen: map[string]finding{}, wanted: map[string]int64{}, started: now, table: membership.New(now, membership.Config{
		Self: membership.Entry{Name: c.Self.Name, Incarnation: c.Self.Incarnation, Address: c.Address, Weight: c.Weight,
			Epoch: c.Lease.Voters.Epoch, Start: uint64(max(1, c.WallMS))},
		Contacts: c.Contacts, HeartbeatInterval: interval, SilenceTimeout: c.Membership.SilenceTimeout, ReplacedTimeout: c.Lease.RestartSilence(), Seed: c.Seed,
		NextHeartbeat: func(now int64) int64 { return lease.NextTick(now, c.Self.Name, interval) }})}
	if c.Probe != nil {
		if err := c.Probe.Check(); err != nil {
			return nil, err
		}
		c.Probe.Slots, c.Probe.Drift = c.Lease.Slots, c.Lease.MaxClockDrift
		n.probe = probe.New(*c.Probe)
		n.duties = append(n.duties, probing{n.probe})
	}
	return n, nil
}

// Handle takes an event and returns what is to be done, in order; the slice is good until the next call.
func (n *Node) Handle(now int64, e Event) []Effect {
	clear(n.effects)
	n.effects = n.effects[:0]
	switch e := e.(type) {
	case MessageReceived:
		n.came(now, e)
	case TargetsUpdated:
		if n.probe != nil {
			n.probe.Targets(now, e.Targets)
		}
	case ProbeEnded:
		n.probed(now, e)
	case TimerFired:
		n.due(now, e.WallMS)
	case ShutdownStarted:
		n.leave(now)
	case ConfigChanged:
		n.changed(now, e)
	}
	n.follow(now)
	n.effects = join(n.effects)
	return n.effects
}

func (n *Node) do(e Effect) { n.effects = append(n.effects, e) }

// join makes one message of those that go to one instance, as far as one can hold them: each costs its receiver more than
// what it says. What is held no longer comes first, so that no message passes that.
func join(effects []Effect) []Effect {
	out := make([]Effect, 0, len(effects))
	for _, e := range effects {
		if _, ok := e.(LeaseChanged); ok {
			out = append(out, e)
		}
	}
	first := map[string]int{}
	for _, e := range effects {
		switch e := e.(type) {
		case LeaseChanged:
		case Send:
			at, been := first[e.To]
			if !been {
				first[e.To] = len(out)
				out = append(out, e)
				continue
			}
			one := out[at].(Send)
			if one.Message.Lease != nil && e.Message.Lease != nil || one.Message.Gossip != nil && e.Message.Gossip != nil ||
				one.Message.ProbeResults != nil && e.Message.ProbeResults != nil {
				first[e.To] = len(out)
				out = append(out, e)
				continue
			}
			if e.Message.Lease != nil {
				one.Message.Lease = e.Message.Lease
			}
			if e.Message.Gossip != nil {
				one.Message.Gossip = e.Message.Gossip
			}
			if e.Message.ProbeResults != nil {
				one.Message.ProbeResults = e.Message.ProbeResults
			}
			one.Message.HighestBallot = max(one.Message.HighestBallot, e.Message.HighestBallot)
			out[at] = one
		default:
			out = append(out, e)
		}
	}
	return out
}

// came takes a message. A vote does not count from a name under which two may be running, nor is one given by such.
func (n *Node) came(now int64, e MessageReceived) {
	n.table.ObserveIncarnation(now, e.From.Name, e.From.Incarnation)
	if g := e.Message.Gossip; g != nil {
		tell, changes := n.table.Receive(now, e.From.Name, *g)
		n.tell(changes)
		n.members(now)
		n.gossip(tell)
		for _, entry := range g.Entries {
			n.leases.ObserveEpoch(entry.Name, entry.Epoch)
		}
	}
	n.leases.ObserveBallot(e.Message.HighestBallot)
	if m := e.Message.Lease; m != nil {
		vote := m.Kind == lease.Promise || m.Kind == lease.Accept
		asked := m.Kind == lease.Prepare || m.Kind == lease.Propose
		switch {
		case vote && n.table.IsDuplicated(now, e.From.Name), asked && n.table.IsDuplicated(now, n.config.Self.Name):
		default:
			n.leases.Receive(now, e.From, *m)
		}
	}
	for _, f := range e.Message.ProbeResults {
		if n.relays() {
			if seen, known := n.seen[f.Target]; known && !seen.before(finding{f.Ballot, f.Seq}) {
				continue // it came by another way
			}
			if len(n.found) < findingsMost {
				n.found = append(n.found, f)
			}
		}
		n.take(f)
	}
}

// relays tells whether what one instance found goes to others by way of its neighbours: where not all are neighbours.
func (n *Node) relays() bool { return len(n.table.Alive()) > membership.MaxNeighbours+1 }

// take takes a finding, unless somebody probed under a higher number before: its sender may have been frozen.
func (n *Node) take(f ProbeResult) {
	seen, known := n.seen[f.Target]
	if f.Ballot < seen.number {
		n.stale++
		return
	}
	const most = 1 << 14 // targets that peers may name
	if known || len(n.seen) < most {
		n.seen[f.Target] = finding{f.Ballot, f.Seq}
	}
	n.leases.ObserveBallot(f.Ballot)
	n.do(TargetProbed{f})
}

func (n *Node) probed(now int64, e ProbeEnded) {
	if n.probe == nil {
		return
	}
	n.probe.Done(now, e.Target, e.Healthy)
	if seen := n.seen[e.Target].number; e.Ballot < seen {
		n.leases.Reacquire(now, lease.SlotOf(e.Target, n.config.Lease.Slots), seen)
	}
	n.seq++
	e.Seq = n.seq
	n.take(e.ProbeResult)
	if len(n.found) < findingsMost {
		n.found = append(n.found, e.ProbeResult)
	}
}

// due does the periodic work.
func (n *Node) due(now, wall int64) {
	tell, changes := n.table.Tick(now)
	n.tell(changes)
	n.members(now)
	n.gossip(tell)
	n.leases.Tick(now, wall)
	if len(n.found) > 0 && now >= n.foundAt {
		n.foundAt = lease.NextTick(now, n.config.Self.Name, n.config.Lease.RenewInterval) // together, with what else goes out
		for _, m := range n.table.Peers() {
			n.do(Send{To: m.Name, Message: Message{ProbeResults: n.found}})
		}
		n.found = nil
	}
	if doubled := n.table.IsDuplicated(now, n.config.Self.Name); doubled != n.doubled {
		if n.doubled = doubled; doubled {
			n.do(Log{Line: "another start under this name was heard: no votes are given until it is silent",
				Member: n.config.Self.Name})
		} else {
			n.do(Log{Line: "no other start under this name is heard any more", Member: n.config.Self.Name})
		}
	}
	n.majority(now)
}

// majority logs whether the voters can be reached, once there was time to.
func (n *Node) majority(now int64) {
	if now-n.started < n.config.Lease.RestartSilence()+2*n.config.Lease.RenewInterval {
		return
	}
	reached := n.HasQuorum(now)
	if reached == n.reached && n.told || n.leaving {
		return
	}
	n.reached, n.told = reached, true
	if reached {
		n.do(Log{Line: "a majority of the voters is reached"})
		return
	}
	n.do(Log{Line: "no majority of the voters is reached: nobody here acts for any slot", Reason: n.missing(now)})
}

// HasQuorum tells whether a majority of the voters answers, or is at least heard of: who neither holds nor tries has
// no answers.
func (n *Node) HasQuorum(now int64) bool { return n.leases.HasQuorum(now) || n.aliveVoters() }

func (n *Node) aliveVoters() bool {
	v := n.leases.Voters()
	if n.table.IsCutOff() {
		return false // what is believed is of before
	}
	for _, set := range [][]string{v.Current, v.Previous} {
		alive := 0
		for _, name := range set {
			if m, _ := n.table.Member(name); name == n.config.Self.Name || m.State == membership.Alive {
				alive++
			}
		}
		if len(set) > 0 && alive <= len(set)/2 {
			return false
		}
	}
	return true
}

// missing names the voters that are not heard.
func (n *Node) missing(int64) string {
	var names []string
	for _, name := range n.leases.Voters().Current {
		if m, _ := n.table.Member(name); name != n.config.Self.Name && m.State != membership.Alive {
			names = append(names, name+" "+m.State.String())
		}
	}
	return fmt.Sprint(names)
}

// members hands a change of who is alive on to the duties, and has links to neighbours and to those that duties were asked
// of a moment ago; to all, where all are neighbours.
func (n *Node) members(now int64) {
	maps.DeleteFunc(n.wanted, func(_ string, until int64) bool {
		n.relink = n.relink || now > until
		return now > until
	})
	if v := n.table.Version(); v == n.version && !n.relink {
		return
	}
	n.version, n.relink = n.table.Version(), false
	if !n.leaving {
		n.leases.SetCandidates(now, shares(n.table.Alive()))
	}
	at := map[string]string{}
	for _, m := range n.table.Peers() {
		at[m.Name] = m.Address
	}
	few := n.table.Count() <= membership.MaxNeighbours
	for _, m := range n.table.Members() {
		if _, asked := n.wanted[m.Name]; m.Address != "" && m.State != membership.Left && (few || asked) {
			at[m.Name] = m.Address
		}
	}
	var peers []Peer
	for _, name := range slices.Sorted(maps.Keys(at)) {
		peers = append(peers, Peer{name, at[name]})
	}
	if !slices.Equal(peers, n.linked) {
		n.linked = peers
		n.do(SetPeers{Peers: peers})
	}
}

func shares(entries []membership.Entry) (out []lease.Candidate) {
	for _, e := range entries {
		out = append(out, lease.Candidate{Name: e.Name, Weight: e.Weight})
	}
	return out
}

func (n *Node) leave(now int64) {
	if n.leaving {
		return
	}
	n.leaving = true
	tell := n.table.Leave(now)
	n.leases.ReleaseAll(shares(n.table.Alive()))
	n.carry(now)
	n.gossip(tell)
}

// gossip sends what members tell each other.
func (n *Node) gossip(tell []membership.Send) {
	for _, t := range tell {
		n.do(Send{To: t.To, Message: Message{Gossip: &t.Gossip, HighestBallot: n.leases.HighestBallot()}})
	}
}

func (n *Node) changed(now int64, e ConfigChanged) {
	voters := "voters as they were"
	if err := n.leases.UpdateVoters(now, e.Voters); err != nil {
		n.do(Log{Line: "the voters stay as they were", Reason: err.Error()})
	} else {
		voters = fmt.Sprintf("voters of epoch %d", e.Voters.Epoch)
	}
	n.table.Configure(now, e.Contacts, e.Weight, n.leases.Voters().Epoch)
	for _, m := range n.table.Members() {
		n.leases.ObserveEpoch(m.Name, m.Epoch) // a new set of voters knows of none, and entries come only when they change
	}
	n.do(Log{Line: fmt.Sprintf("operator's file read again: %d instances, %s", len(e.Contacts), voters)})
}

// follow carries on what a change in the duties causes, and sets the timer.
func (n *Node) follow(now int64) {
	n.members(now)
	n.carry(now)
	next := min(n.leases.Next(), n.table.Next())
	for _, d := range n.duties {
		if n.leaving {
			break
		}
		for _, e := range d.Do(now, func(slot int) (uint64, int64, bool) { return n.leases.Holds(now, slot) }) {
			n.do(e)
		}
		next = min(next, d.Next(now))
	}
	n.do(SetTimer{At: max(next, now+1e6)})
}

// carry turns the duties' effects into the node's; what was gained or lost together is one line.
func (n *Node) carry(now int64) {
	var logs []Log
	note := func(line string, slot int, number uint64, why string) {
		if last := len(logs) - 1; last >= 0 && logs[last].Line == line && logs[last].Ballot == number && logs[last].Reason == why {
			logs[last].Slots = append(logs[last].Slots, slot)
			return
		}
		logs = append(logs, Log{Line: line, Slots: []int{slot}, Ballot: number, Reason: why})
	}
	for _, e := range n.leases.TakeEffects() {
		switch e := e.(type) {
		case lease.Send:
			m := e.Message
			n.want(now, e.To)
			n.do(Send{To: e.To, Message: Message{Lease: &m}})
		case lease.Acquired:
			for _, d := range n.duties {
				d.Gained(now, e.Slot)
			}
			n.do(LeaseChanged{e.Slot, e.Ballot})
			note("slots gained", e.Slot, e.Ballot, "")
		case lease.Lost:
			for _, d := range n.duties {
				d.Lost(e.Slot)
			}
			n.do(LeaseChanged{e.Slot, 0})
			note("slots lost", e.Slot, e.Ballot, e.Reason)
		}
	}
	for _, l := range logs {
		n.do(l)
	}
}

// want has a link to one that a duty's message goes to.
func (n *Node) want(now int64, name string) {
	_, had := n.wanted[name]
	if n.wanted[name] = now + wantedFor; !had {
		n.relink = true
		n.members(now)
	}
}

// tell logs what is believed anew. Many at once are one line: a zone that is lost, or all at a start.
func (n *Node) tell(changes []membership.Change) {
	const eachMost = 8
	groups := map[[2]membership.State][]membership.Change{}
	for _, c := range changes {
		switch {
		case c.Name != n.config.Self.Name:
			groups[[2]membership.State{c.State, c.Previous}] = append(groups[[2]membership.State{c.State, c.Previous}], c)
		case c.Reason == membership.ReasonAway:
			n.do(Log{Line: fmt.Sprintf("this instance was away for %d ms; nothing is held against others for it", n.table.Away()/1e6)})
		case c.Reason == membership.ReasonCutOff:
			n.do(Log{Line: "nothing is heard from any neighbour: this instance seems to be cut off"})
		default:
			n.do(Log{Line: "neighbours are heard again"})
		}
	}
	for _, state := range []membership.State{membership.Unheard, membership.Alive, membership.Dead, membership.Left} {
		for _, was := range []membership.State{membership.Unheard, membership.Alive, membership.Dead, membership.Left} {
			group := groups[[2]membership.State{state, was}]
			if len(group) > eachMost {
				n.do(Log{Line: fmt.Sprintf("%d members %s", len(group), state), Reason: "was " + was.String()})
				continue
			}
			for _, c := range group {
				why := "was " + was.String()
				if c.Reason != "" {
					why += "; " + c.Reason
				}
				n.do(Log{Line: "member " + state.String(), Member: c.Name, Reason: why})
			}
		}
	}
}

// Holds tells whether this instance may act for a slot at this instant.
func (n *Node) Holds(now int64, slot int) (number uint64, until int64, ok bool) {
	return n.leases.Holds(now, slot)
}
