// Package lease decides which instance holds which slot of periodic duties. A slot is held under a lease that a
// majority of voters granted, without a disk (docs/duties.md has the protocol, the proof and the bounds; it is
// PaxosLease by Trencséni, Gazsó and Reinhardt with one change).
//
// A Node is one instance, voter and holder in one. Time, messages and chance come in, effects go out: it does no
// input or output, reads no clock, starts no goroutine and is not safe for use by two at once. Times are whole
// nanoseconds of one clock that never goes back; its rate may be off by the drift.
package lease

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Bounds of the configuration.
const (
	MaxSlots  = 4096
	MaxVoters = 64 // they are held as bits of a word
)

const (
	ticksPerRenewal = 8
	steadyRenewals  = 2  // for so long another must be planned without a change before a slot is handed to it
	turnShare       = 2  // of a renewal: what each place behind the planned one waits longer
	turnsMost       = 2  // renewals, at most
	nearTurns       = 4  // places behind the planned one that look after a slot; the rest leave it to them
	farTurns        = 2  // renewals that each place farther down waits longer
	farMost         = 60 // renewals, at most
	handShare       = 8  // of the slots: so many are handed over in a renewal
	numberShift     = 16
)

// Instance is one start of an instance.
type Instance struct {
	Name        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
}

// Voters are those whose majority grants. Before is the set of the epoch before, in which a majority is needed as
// well; it differs from Now by one name at most.
type Voters struct {
	Epoch    uint64   `json:"Epoch"`
	Current  []string `json:"Now"`
	Previous []string `json:"Before"`
}

// Config is what a node starts with.
type Config struct {
	Self          Instance
	Slots         int
	LeaseDuration int64   // ns: for how long a voter counts a holder in
	RenewInterval int64   // ns: how often a holder renews
	MaxClockDrift float64 // by which a clock's rate may be off, as a share
	Voters        Voters
	Seed          uint64
}

// Check tells what is wrong with a configuration.
func (c Config) Check() error {
	switch {
	case c.Self.Name == "":
		return errors.New("the own name is empty")
	case c.Slots < 1 || c.Slots > MaxSlots:
		return fmt.Errorf("%d slots: 1 to %d can be", c.Slots, MaxSlots)
	case c.RenewInterval <= 0:
		return errors.New("the renewal interval is not above 0")
	case c.LeaseDuration < 3*c.RenewInterval:
		return fmt.Errorf("a lease of %d ms is shorter than three renewals of %d ms", c.LeaseDuration/1e6, c.RenewInterval/1e6)
	case !(c.MaxClockDrift >= 0 && c.MaxClockDrift <= 0.1):
		return fmt.Errorf("a drift of %v: 0 to 0.1 can be", c.MaxClockDrift)
	}
	return c.Voters.Check()
}

// Check tells what is wrong with a set of voters.
func (v Voters) Check() error {
	if len(v.Current) == 0 {
		return errors.New("no voters: a majority of none grants nothing")
	}
	hashes := map[uint64]string{}
	for _, set := range [][]string{v.Current, v.Previous} {
		if len(set) > MaxVoters/2 {
			return fmt.Errorf("%d voters: %d at most", len(set), MaxVoters/2)
		}
		seen := map[string]bool{}
		for _, name := range set {
			if seen[name] {
				return fmt.Errorf("voter %s is named twice", name)
			}
			seen[name] = true
			if other, taken := hashes[mark(name)]; taken && other != name {
				return fmt.Errorf("the names %s and %s give the same mark in numbers: rename one", name, other)
			}
			hashes[mark(name)] = name
		}
	}
	if len(v.Previous) > 0 && differ(v.Current, v.Previous) > 1 {
		return errors.New("voters change by one at a time: now and before differ by more")
	}
	return nil
}

// differ counts the names that are in one set only.
func differ(a, b []string) (n int) {
	for _, pair := range [][2][]string{{a, b}, {b, a}} {
		for _, name := range pair[0] {
			if !slices.Contains(pair[1], name) {
				n++
			}
		}
	}
	return n
}

// mark is what a name adds to its numbers, so that no two instances draw the same.
func mark(name string) uint64 { return xxhash.Sum64String(name) & (1<<numberShift - 1) }

// HoldDuration is the time for which a holder acts after it sent what a majority accepted, by its own clock.
func (c Config) HoldDuration() int64 {
	return int64(float64(c.LeaseDuration) * (1 - c.MaxClockDrift) / (1 + c.MaxClockDrift))
}

// RestartSilence is for how long a voter that started without memory grants nothing.
func (c Config) RestartSilence() int64 {
	return int64(math.Ceil(float64(c.LeaseDuration) * (1 + c.MaxClockDrift) / (1 - c.MaxClockDrift)))
}

// MessageKind is what a message is.
type MessageKind uint8

// The kinds. Prepare and Propose go from holders to voters; Promise, Accept and Reject come back; Release tells that a
// holder has stopped.
const (
	Prepare MessageKind = iota + 1
	Promise
	Propose
	Accept
	Reject
	Release
)

// Message is what nodes send each other.
type Message struct {
	Kind   MessageKind  `cbor:"1,keyasint"`
	Epoch  uint64       `cbor:"2,keyasint"`
	SentAt int64        `cbor:"3,keyasint"` // by the holder's clock; it comes back as it was
	Items  []SlotBallot `cbor:"4,keyasint"`
}

// SlotBallot is what a message says of one slot.
type SlotBallot struct {
	Slot      int      `cbor:"1,keyasint"`
	Ballot    uint64   `cbor:"2,keyasint"`
	Holder    Instance `cbor:"3,keyasint,omitempty"` // Refuse: who holds it; Release: for whom it is meant
	Remaining int64    `cbor:"4,keyasint,omitempty"` // Refuse: for how long it is held still, ns
}

// Effect is what a node wants done or known outside.
type Effect any

// Send wants a message sent to a member; it may be lost.
type Send struct {
	To      string
	Message Message
}

// Acquired tells that a slot is held from now on.
type Acquired struct {
	Slot   int
	Ballot uint64
}

// Lost tells that a slot is no longer held, and why.
type Lost struct {
	Slot   int
	Ballot uint64
	Reason string
}

// grant is a voter's side of one slot.
type grant struct {
	promised   uint64
	promisedTo Instance
	promisedAt int64
	holder     Instance
	number     uint64
	until      int64
}

// hold is a holder's side of one slot.
type hold struct {
	number    uint64  // 0: neither asked for nor held
	asked     int64   // when it was asked for
	promises  uint64  // bits of voters
	refusals  uint64  // bits of voters
	taking    bool    // a majority has promised
	acked     []int64 // for each voter, when the latest take that it accepted was sent; minus one is never
	held      bool
	since     int64
	until     int64    // when the own hold ends
	busyUntil int64    // until then somebody else is taken to hold it
	freeSince int64    // from when it has looked free; -1 while it does not
	tryAt     int64    // when it is asked for, if it is free then
	holder    Instance // the last other one known
	seen      uint64   // and its number
}

// Node is one instance.
type Node struct {
	config  Config
	started int64
	mute    int64 // until then nothing is granted
	floor   uint64
	highest uint64 // number known

	voters  []string
	sets    [][]int // places in voters, for each set of which a majority is needed
	epochs  []uint64
	heard   []int64 // when a voter last answered; -1 is never
	settled int64   // since when a majority has been at the own epoch; -1 is not

	grants  []grant
	holds   []hold
	members []Candidate
	plan    []int
	planned int64
	renewAt int64
	tickAt  int64
	handed  int
	leaving bool
	wall    int64
	rng     rand.PCG
	effects []Effect

	fault fault
}

// fault is set by tests alone: faults that a checker must find.
type fault struct{ grantAtOnce, reuseNumbers bool }

// New makes a node that knows nothing. As it can't tell whether it granted anything before, it is silent as a voter
// for the longest grant that it could have forgotten.
func New(now int64, c Config) (*Node, error) {
	if err := c.Check(); err != nil {
		return nil, err
	}
	n := &Node{config: c, started: now, mute: now + c.RestartSilence(), settled: -1, tickAt: now, renewAt: now + c.RenewInterval,
		grants: make([]grant, c.Slots), holds: make([]hold, c.Slots), rng: *rand.NewPCG(c.Seed, c.Self.Incarnation)}
	n.enter(c.Voters)
	for s := range n.holds {
		n.holds[s].freeSince = -1
	}
	return n, nil
}

// enter takes a set of voters into force. What was accepted under another does not count any more.
func (n *Node) enter(v Voters) {
	n.config.Voters, n.voters, n.sets, n.settled = v, nil, nil, -1
	for _, set := range [][]string{v.Current, v.Previous} {
		if len(set) == 0 {
			continue
		}
		var places []int
		for _, name := range set {
			at := slices.Index(n.voters, name)
			if at < 0 {
				at = len(n.voters)
				n.voters = append(n.voters, name)
			}
			places = append(places, at)
		}
		n.sets = append(n.sets, places)
	}
	n.epochs, n.heard = make([]uint64, len(n.voters)), make([]int64, len(n.voters))
	for i := range n.heard {
		n.heard[i] = -1
	}
	for s := range n.holds {
		if h := &n.holds[s]; h.held {
			n.drop(s, "the voters have changed")
			n.release(s, h, "")
		}
		n.holds[s].number, n.holds[s].acked = 0, make([]int64, len(n.voters))
	}
}

// UpdateVoters takes the next set of voters, one epoch on, or says why it can't yet.
func (n *Node) UpdateVoters(now int64, v Voters) error {
	own := n.config.Voters
	if err := v.Check(); err != nil {
		return err
	}
	switch {
	case v.Epoch == own.Epoch && slices.Equal(v.Current, own.Current) && slices.Equal(v.Previous, own.Previous):
		return nil
	case v.Epoch != own.Epoch+1:
		return fmt.Errorf("voters of epoch %d can't follow those of epoch %d", v.Epoch, own.Epoch)
	case differ(v.Previous, own.Current) > 0:
		return fmt.Errorf("voters of epoch %d name others before them than are in force", v.Epoch)
	case n.settled < 0 || now-n.settled < n.config.RestartSilence():
		return fmt.Errorf("a majority must have been at epoch %d for %d ms first", own.Epoch, n.config.RestartSilence()/1e6)
	}
	n.enter(v)
	return nil
}

// ObserveEpoch notes at which epoch a member is.
func (n *Node) ObserveEpoch(name string, epoch uint64) {
	if i := slices.Index(n.voters, name); i >= 0 {
		n.epochs[i] = epoch
	}
}

// SetCandidates gives those believed alive, the own instance among them, by name.
func (n *Node) SetCandidates(now int64, members []Candidate) {
	if slices.Equal(members, n.members) {
		return
	}
	n.members, n.plan, n.planned = members, Assign(n.config.Slots, members), now
	for s := range n.holds { // whose turn it is has changed; who waited goes on waiting, no longer than before
		if h := &n.holds[s]; h.freeSince >= 0 && h.number == 0 {
			h.tryAt = min(h.tryAt, now+n.turn(s))
		}
	}
}

// ObserveBallot raises the highest number known to what somebody else knows.
func (n *Node) ObserveBallot(number uint64) {
	// A number of a far future would use them up: what a wall clock may be off is far less than a year.
	if number>>numberShift < uint64(max(n.wall, 0))+365*24*3600*1000 || n.wall == 0 {
		n.highest = max(n.highest, number)
	}
}

// HighestBallot is the highest number known.
func (n *Node) HighestBallot() uint64 { return n.highest }

// TakeEffects returns the effects since the last call, in order.
func (n *Node) TakeEffects() []Effect {
	out := n.effects
	n.effects = nil
	return out
}

func (n *Node) do(e Effect) { n.effects = append(n.effects, e) }

// chance draws from 0 up to below most.
func (n *Node) chance(most int64) int64 { return int64(n.rng.Uint64() % uint64(max(most, 1))) }

// majority tells whether enough of every set are among those that count.
func (n *Node) majority(counts func(voter int) bool) bool {
	for _, set := range n.sets {
		got := 0
		for _, v := range set {
			if counts(v) {
				got++
			}
		}
		if got <= len(set)/2 {
			return false
		}
	}
	return true
}

// until is when the own hold on a slot ends: the latest sending that a majority of every set accepted, or a later
// one, and the time held from then. 0 is not held.
func (n *Node) until(h *hold) int64 {
	end := int64(math.MaxInt64)
	for _, set := range n.sets {
		var sent []int64
		for _, v := range set {
			if h.acked[v] >= 0 {
				sent = append(sent, h.acked[v])
			}
		}
		need := len(set)/2 + 1
		if len(sent) < need {
			return 0
		}
		slices.Sort(sent)
		end = min(end, sent[len(sent)-need])
	}
	return end + n.config.HoldDuration()
}

// Holds tells whether the node may act for a slot at this moment, under which number and until when. It is to be
// asked immediately before each act, with the clock just read.
func (n *Node) Holds(now int64, slot int) (number uint64, until int64, ok bool) {
	if slot < 0 || slot >= len(n.holds) || !n.holds[slot].held {
		return 0, 0, false
	}
	h := &n.holds[slot]
	return h.number, h.until, now < h.until
}

// SlotStatus is what a node knows of one slot, for people.
type SlotStatus struct {
	Slot    int    `json:"slot"`
	Own     bool   `json:"own"`
	Holder  string `json:"holder,omitempty"`
	Ballot  uint64 `json:"number,omitempty"`
	Planned string `json:"planned,omitempty"`
	Since   int64  `json:"-"` // when it was gained, if own
	Until   int64  `json:"-"`
	Reason  string `json:"why,omitempty"` // why nobody holds it
}

// Slots is what the node knows of all slots. A voter knows the holders that it granted to; others know those that
// they were refused for.
func (n *Node) Slots(now int64) []SlotStatus {
	out := make([]SlotStatus, len(n.holds))
	for s := range out {
		h, g := &n.holds[s], &n.grants[s]
		o := SlotStatus{Slot: s}
		if n.plan != nil {
			o.Planned = n.members[n.plan[s]].Name
		}
		number, until, own := n.Holds(now, s)
		switch {
		case own:
			o.Own, o.Holder, o.Ballot, o.Since, o.Until = true, n.config.Self.Name, number, h.since, until
		case g.until > now:
			o.Holder, o.Ballot, o.Until = g.holder.Name, g.number, g.until
		case h.freeSince < 0 && h.holder.Name != "":
			o.Holder, o.Ballot = h.holder.Name, h.seen
		case now < n.mute:
			o.Reason = fmt.Sprintf("voters that have just started grant nothing for %d ms", n.config.RestartSilence()/1e6)
		case !n.HasQuorum(now):
			o.Reason = "no majority of the voters answers"
		case h.number != 0:
			o.Reason = "it is being asked for"
		default:
			o.Reason = "it waits for " + o.Planned + " to ask for it"
		}
		out[s] = o
	}
	return out
}

// HasQuorum tells whether a majority of the voters, the own vote included, answered within the last lease.
func (n *Node) HasQuorum(now int64) bool {
	return n.majority(func(v int) bool {
		return n.voters[v] == n.config.Self.Name || n.heard[v] >= 0 && now-n.heard[v] <= n.config.LeaseDuration
	})
}

// SilentUntil tells until when this voter grants nothing; it is over if that is past.
func (n *Node) SilentUntil() int64 { return n.mute }

// Voters is the set in force.
func (n *Node) Voters() Voters { return n.config.Voters }

// Clone gives a copy that shares nothing that changes.
func (n *Node) Clone() *Node {
	c := *n
	c.grants, c.holds = slices.Clone(n.grants), slices.Clone(n.holds)
	for s := range c.holds {
		c.holds[s].acked = slices.Clone(c.holds[s].acked)
	}
	c.epochs, c.heard, c.effects = slices.Clone(n.epochs), slices.Clone(n.heard), slices.Clone(n.effects)
	return &c
}
