// Package sharedconfig has instances act on one version of what they share: voters grant leases on versions, and an instance acts on
// one only while its own clock says that its lease on it holds. Versions that exclude each other are never acted on at once;
// others for no longer than a lease. The package does no input or output, reads no clock and is not safe for use by two
// goroutines at once. docs/agreement.md has the options and the bound.
//
// Times are ns of a clock that goes on while the machine is suspended and never goes back.
package sharedconfig

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"slices"
)

const (
	// MaxContentSize is the longest content, bytes.
	MaxContentSize = 1 << 20

	numberShift = 16
	tryAgain    = 2 // renewals after which a proposal that came to nothing is made again
	triesMost   = 8
	aheadMost   = 365 * 24 * 3600 * 1000 // ms by which a wall clock may be off
)

// Version is one state of what is shared. Of two the one with the higher number is the later.
type Version struct {
	Number  uint64
	Content []byte
}

// IncompatibleFunc is how bad it is that two versions are acted on at once, as plan/compatibility says it: exclusive never, else for a lease.
type IncompatibleFunc func(a, b []byte) (exclusive bool, err error)

// Config is what a node starts with.
type Config struct {
	Self          string
	Voters        []string // whose majority grants; at most 64
	LeaseDuration int64    // for which a voter counts an instance in
	RenewInterval int64
	MaxClockDrift float64 // by which a clock's rate may be off
	Incompatible  IncompatibleFunc
	Initial       []byte // content of number 0, from the file: what is acted on before anything was proposed
	Incarnation   uint64 // of this start: numbers of two starts differ
}

// span is for how long a holder may act after it sent a renewal: its voters count it in for longer, whatever their clocks do.
func (c Config) span() int64 {
	return int64(float64(c.LeaseDuration) * (1 - c.MaxClockDrift) / (1 + c.MaxClockDrift))
}

// RestartSilence is for how long a voter that has just started grants nothing: it may have granted before.
func (c Config) RestartSilence() int64 {
	return int64(float64(c.LeaseDuration) * (1 + c.MaxClockDrift) / (1 - c.MaxClockDrift))
}

// MessageKind is what a message says.
type MessageKind uint8

// The kinds. Renew asks for a lease on what is the newest here; Grant gives one; Redirect says to which version the voter goes
// and has no lease to give; Propose asks to prepare a version, Accept and Reject answer; Commit says that a majority has
// prepared it; Fetch asks for a version's content.
const (
	Renew MessageKind = iota + 1
	Grant
	Redirect
	Propose
	Accept
	Reject
	Commit
	Fetch
)

// Message is what nodes send each other.
type Message struct {
	Kind    MessageKind
	Number  uint64 // of the version it is about
	Highest uint64 // number known
	SentAt  int64  // of the renewal that is answered, by its sender's clock
	Content []byte // of the version; with Propose, Decide, and to who wants it
	Reason  string // with Refused
}

// Effect is what a node wants done or known outside.
type Effect any

// Send wants a message sent; it may be lost.
type Send struct {
	To      string
	Message Message
}

// Activated tells that a version is acted on from now on, until the lease ends or another takes its place; Deactivated that none is:
// what contradicts none of the versions that may be in force is to be acted on. Since is told by Node.Acts.
type (
	Activated   struct{ Version Version }
	Deactivated struct{ Why string }
)

// ProposalEnded tells what became of a proposal made here.
type ProposalEnded struct {
	Number uint64
	Reason string // empty: it is in force at a majority
}

// Node is one instance, voter or not.
type Node struct {
	config  Config
	mute    int64
	known   map[uint64][]byte // contents, of the newest few
	newest  uint64            // decided, of which the content is known
	highest uint64            // number known
	grants  []grant
	acting  uint64
	has     bool // acts on something
	renewAt int64
	wall    int64 // ms since 1970, at the last tick

	// As a voter.
	current  uint64 // granted
	until    int64  // when the last lease granted on it ends
	left     []left // versions before it on which leases may be left
	next     uint64 // decided, waits for that; current: none
	prepared uint64

	// As a proposer.
	proposal Version
	proposed int64
	tries    int
	yes, no  map[string]bool

	effects []Effect
	fault   fault
}

// fault is set by tests alone: faults that a checker must find.
type fault struct{ byWall, atPrepare, numberAgain bool }

// left is a version on which leases granted here may be left until a time.
type left struct {
	number uint64
	until  int64
}

// grant is what a voter last gave.
type grant struct {
	number uint64
	sent   int64 // when the renewal was sent that it answered; minus one is never
}

// New makes a node that knows no version but its file's.
func New(now int64, c Config) *Node {
	n := &Node{config: c, mute: now + c.RestartSilence(), known: map[uint64][]byte{0: c.Initial}, renewAt: now, grants: make([]grant, len(c.Voters))}
	for i := range n.grants {
		n.grants[i].sent = -1
	}
	return n
}

func (n *Node) do(e Effect) { n.effects = append(n.effects, e) }

// TakeEffects gives what is to be done, and forgets it.
func (n *Node) TakeEffects() []Effect {
	out := n.effects
	n.effects = nil
	return out
}

func (n *Node) send(to string, m Message) {
	m.Highest = n.highest
	n.do(Send{to, m})
}

func (n *Node) voter() bool { return slices.Contains(n.config.Voters, n.config.Self) }

func (n *Node) majority(count int) bool { return count > len(n.config.Voters)/2 }

// Active is the version that may be acted on at an instant, and until when by the own clock.
func (n *Node) Active(now int64) (v Version, until int64, ok bool) {
	if until = n.leased(n.acting); !n.has || now >= until {
		return Version{}, 0, false
	}
	return Version{n.acting, n.known[n.acting]}, until, true
}

// leased is until when a majority's leases on a version hold.
func (n *Node) leased(number uint64) int64 {
	var sent []int64
	for _, g := range n.grants {
		if g.sent >= 0 && g.number == number {
			sent = append(sent, g.sent)
		}
	}
	if !n.majority(len(sent)) {
		return -1
	}
	slices.Sort(sent)
	// The k-th latest, k a majority: from then on one of them may have forgotten.
	until := sent[len(sent)-1-len(n.config.Voters)/2] + n.config.span()
	if n.fault.byWall {
		until += 3600e9 // its clock was set back by an hour
	}
	return until
}

// Newest is the newest version decided and known, acted on or not.
func (n *Node) Newest() Version { return Version{n.newest, n.known[n.newest]} }

// Next is when Tick has something to do.
func (n *Node) Next(now int64) int64 {
	next := n.renewAt
	if n.next != n.current {
		next = min(next, max(n.until, n.mute))
	}
	if n.proposal.Number > 0 {
		next = min(next, n.proposed+tryAgain*n.config.RenewInterval)
	}
	if _, until, ok := n.Active(now); ok {
		next = min(next, until)
	}
	return next
}

// Tick does what is due; wall, ms since 1970, only lifts numbers.
func (n *Node) Tick(now, wall int64) {
	n.wall = wall
	n.move(now)
	n.look(now)
	if n.proposal.Number > 0 && now-n.proposed >= tryAgain*n.config.RenewInterval {
		if n.tries++; n.tries >= triesMost {
			n.end("no majority of the voters answered")
		} else {
			n.propose(now, wall)
		}
	}
	if now >= n.renewAt {
		n.renewAt = now + n.config.RenewInterval
		for _, v := range n.config.Voters {
			n.to(now, v, Message{Kind: Renew, Number: n.newest, SentAt: now})
		}
	}
}

// to sends to a voter; the own vote is asked directly.
func (n *Node) to(now int64, voter string, m Message) {
	if voter == n.config.Self {
		m.Highest = n.highest
		n.Receive(now, voter, m)
		return
	}
	n.send(voter, m)
}

// look notes whether there is still something to act on.
func (n *Node) look(now int64) {
	if _, _, ok := n.Active(now); n.has && !ok {
		n.has = false
		n.do(Deactivated{"no majority of the voters renewed the lease"})
	}
}

// Propose has content become the next version. One at a time; what becomes of it Ended tells.
func (n *Node) Propose(now, wall int64, content []byte) error {
	switch {
	case len(content) > MaxContentSize:
		return fmt.Errorf("%d bytes, %d can be", len(content), MaxContentSize)
	case n.proposal.Number > 0:
		return fmt.Errorf("version %d is being proposed here", n.proposal.Number)
	}
	n.proposal, n.tries = Version{Content: content}, 0
	n.propose(now, wall)
	return nil
}

// propose asks the voters under a number above all that is known; the wall clock lifts it over what all may have forgotten.
func (n *Node) propose(now, wall int64) {
	base := max(n.highest>>numberShift+1, uint64(max(0, wall)))
	h := fnv.New64a()
	if fmt.Fprint(h, n.config.Self); n.fault.numberAgain {
		base = n.highest>>numberShift + 1
	} else {
		fmt.Fprint(h, " ", n.config.Incarnation)
	}
	n.proposal.Number = base<<numberShift | h.Sum64()&(1<<numberShift-1)
	n.highest = max(n.highest, n.proposal.Number)
	n.proposed, n.yes, n.no = now, map[string]bool{}, map[string]bool{}
	for _, v := range n.config.Voters {
		n.to(now, v, Message{Kind: Propose, Number: n.proposal.Number, Content: n.proposal.Content})
	}
}

func (n *Node) end(why string) {
	n.do(ProposalEnded{n.proposal.Number, why})
	n.proposal, n.yes, n.no = Version{}, nil, nil
}

// learn keeps a decided version.
func (n *Node) learn(now int64, number uint64, content []byte) {
	if content == nil || number <= n.newest {
		return
	}
	n.known[number], n.newest = content, number
	for len(n.known) > 8 {
		oldest := number
		for k := range n.known {
			if k != n.current && k != n.acting {
				oldest = min(oldest, k)
			}
		}
		delete(n.known, oldest)
	}
	if n.voter() && number > n.next {
		n.next = number
	}
	n.move(now)
	n.renewAt = min(n.renewAt, now) // a lease on it is asked for at once
}

// move has a voter go over to the version decided last: at once where the two may stand side by side for a lease, else once
// no lease that it granted on the one before can be left.
func (n *Node) move(now int64) {
	if !n.voter() || n.next == n.current || n.known[n.next] == nil {
		return
	}
	// Not only the one before: voters of two epochs may stand side by side, of three not.
	n.left = append(slices.DeleteFunc(n.left, func(l left) bool { return now >= l.until }), left{n.current, n.until})
	for _, l := range n.left {
		if now < l.until && n.excludes(l.number, n.next) {
			n.left = n.left[:len(n.left)-1]
			return
		}
	}
	if now < n.mute && n.excludes(n.current, n.next) {
		n.left = n.left[:len(n.left)-1]
		return
	}
	n.current, n.until = n.next, 0
}

// excludes tells whether two versions may never be acted on at once; what is not known any more may not.
func (n *Node) excludes(a, b uint64) bool {
	was, is := n.known[a], n.known[b]
	if was == nil || is == nil {
		return true
	}
	exclusive, err := n.config.Incompatible(was, is)
	return exclusive || err != nil
}

// Receive takes a message; from is who the link has proved it is from.
func (n *Node) Receive(now int64, from string, m Message) {
	if n.wall > 0 && max(m.Number, m.Highest)>>numberShift > uint64(n.wall)+aheadMost {
		return // a number of a far future would use them up
	}
	n.highest = max(n.highest, m.Highest, m.Number)
	switch m.Kind {
	case Renew:
		n.renewed(now, from, m)
	case Grant:
		n.granted(now, from, m)
	case Redirect:
		n.learn(now, m.Number, m.Content)
		if m.Content == nil && m.Number > n.newest {
			n.send(from, Message{Kind: Fetch, Number: m.Number})
		}
	case Fetch:
		if content := n.known[m.Number]; content != nil {
			n.send(from, Message{Kind: Redirect, Number: m.Number, Content: content})
		}
	case Propose:
		n.asked(now, from, m)
	case Accept, Reject:
		n.answered(now, from, m)
	case Commit:
		n.learn(now, m.Number, m.Content)
	}
}

// reply sends to whoever asked, also where that is this node.
func (n *Node) reply(now int64, to string, m Message) { n.to(now, to, m) }

// renewed has a voter grant a lease on what is in force with it. It learns from those who ask: one that restarted knows nothing.
func (n *Node) renewed(now int64, from string, m Message) {
	if !n.voter() {
		return
	}
	if m.Number > n.newest {
		n.reply(now, from, Message{Kind: Fetch, Number: m.Number})
		return
	}
	if n.move(now); now < n.mute {
		return
	}
	if m.Number != n.current || n.next != n.current {
		// No lease on what is left behind; what comes next is told.
		n.reply(now, from, Message{Kind: Redirect, Number: n.next})
		return
	}
	n.until = max(n.until, now+n.config.LeaseDuration)
	n.reply(now, from, Message{Kind: Grant, Number: n.current, SentAt: m.SentAt})
}

// granted counts a voter's lease.
func (n *Node) granted(now int64, from string, m Message) {
	v := slices.Index(n.config.Voters, from)
	if v < 0 || m.SentAt > now || n.known[m.Number] == nil {
		return
	}
	g := &n.grants[v]
	if m.Number != g.number || m.SentAt > g.sent {
		if m.SentAt < g.sent {
			return // an answer from before the voter moved
		}
		g.number, g.sent = m.Number, m.SentAt
	}
	until := n.leased(m.Number)
	if until <= now || n.has && m.Number == n.acting {
		return
	}
	if n.has && m.Number < n.acting {
		return
	}
	n.acting, n.has = m.Number, true
	n.do(Activated{Version{m.Number, n.known[m.Number]}})
}

// asked has a voter prepare a version: checked against the newest, and above all that it has prepared.
func (n *Node) asked(now int64, from string, m Message) {
	if !n.voter() || len(m.Content) > MaxContentSize {
		return
	}
	why := ""
	switch _, err := n.config.Incompatible(n.known[n.newest], m.Content); {
	case now < n.mute:
		return // it does not know what it has prepared
	case err != nil:
		why = err.Error()
	case m.Number <= n.prepared || m.Number <= n.newest:
		why = fmt.Sprintf("version %d came before it", max(n.prepared, n.newest))
	}
	if why != "" {
		n.reply(now, from, Message{Kind: Reject, Number: m.Number, Reason: why})
		return
	}
	n.prepared = m.Number
	if n.fault.atPrepare {
		n.known[m.Number], n.newest, n.current, n.next = m.Content, m.Number, m.Number, m.Number
	}
	n.reply(now, from, Message{Kind: Accept, Number: m.Number})
}

// answered counts the answers to a proposal.
func (n *Node) answered(now int64, from string, m Message) {
	if m.Number != n.proposal.Number || n.proposal.Number == 0 || !slices.Contains(n.config.Voters, from) {
		return
	}
	if m.Kind == Reject {
		if n.no[from] = true; !n.majority(len(n.config.Voters) - len(n.no)) {
			n.end(cmp.Or(m.Reason, "refused"))
		}
		return
	}
	if n.yes[from] = true; !n.majority(len(n.yes)) {
		return
	}
	v := n.proposal
	n.end("")
	n.learn(now, v.Number, v.Content)
	for _, voter := range n.config.Voters {
		if voter != n.config.Self {
			n.send(voter, Message{Kind: Commit, Number: v.Number, Content: v.Content})
		}
	}
}
