package lease

import (
	"encoding/binary"
	"os"
	"slices"
	"strconv"
	"testing"

	"github.com/cespare/xxhash/v2"
)

// The checker explores what three nodes and one slot can come to: every order in which messages arrive, are
// lost or come twice, nodes crash and start again, and time goes on, under clocks that are fast and slow by
// the drift. Each node believes that it alone is alive, so that all always try. It looks for two holders at
// one instant, and for ballots that do not grow. Lengths of time are short numbers of nanoseconds; the drift
// is 10%, so that it shows in steps of a renewal.
const (
	exploreRenewal = int64(800)
	exploreLease   = 3 * exploreRenewal
	exploreDrift   = 0.1
	maxInTransit   = 5 // messages under way; the oldest is lost
)

// What the checker finds.
const (
	foundNothing    = ""
	foundTwoHolders = "two owners"
	foundOldBallot  = "a number that did not grow"
)

var exploreNames = [3]string{"a", "b", "c"}

// plantedFault is a fault that the checker must find, planted by what it does to a node's state.
type plantedFault struct {
	grantAtOnce   bool // a voter that starts is not silent
	forgetBallots bool // all forget the ballots that they know, and the wall clock stands
	wallTime      bool // nodes go by a clock that may be set back
	noDrift       bool // drift is not reckoned with
}

// exploreState is one state of all nodes, with what may still happen from it.
type exploreState struct {
	fault     plantedFault
	nodes     [3]*Node
	startedAt [3]int64 // real time at which a clock read 0
	setBack   [3]int64 // by which a clock was set back
	now       int64
	inTransit []letter
	highest   uint64 // ballot under which the slot was held
	starts    uint64

	crashes, copies, steps int // that may still happen
}

func (state *exploreState) clock(i int) int64 {
	rate := []float64{1 - exploreDrift, 1 + exploreDrift, 1}[i] // a, the first holder, is slow; b, a voter, fast
	return int64(float64(state.now-state.startedAt[i])*rate) - state.setBack[i]
}

func (state *exploreState) start(i int) {
	state.starts++
	state.startedAt[i], state.setBack[i] = state.now, 0
	config := Config{
		Self: Instance{exploreNames[i], state.starts}, Slots: 1,
		LeaseDuration: exploreLease, RenewInterval: exploreRenewal, MaxClockDrift: exploreDrift,
		Voters: Voters{Epoch: 1, Current: exploreNames[:]},
	}
	if state.fault.noDrift {
		config.MaxClockDrift = 0
	}
	node, err := New(0, config)
	if err != nil {
		panic(err) // the configuration is the line above
	}
	if state.fault.grantAtOnce {
		node.grantsFrom = 0
	}
	node.SetCandidates(0, []Candidate{{exploreNames[i], 1}})
	state.nodes[i] = node
}

// cloneNode returns a copy that shares nothing that changes.
func cloneNode(node *Node) *Node {
	clone := *node
	clone.grants, clone.holdings = slices.Clone(node.grants), slices.Clone(node.holdings)
	for slot := range clone.holdings {
		clone.holdings[slot].acceptedSentAt = slices.Clone(clone.holdings[slot].acceptedSentAt)
	}
	clone.voterEpochs, clone.voterHeardAt = slices.Clone(node.voterEpochs), slices.Clone(node.voterHeardAt)
	clone.effects = slices.Clone(node.effects)
	return &clone
}

func (state *exploreState) clone() *exploreState {
	clone := *state
	for i, node := range state.nodes {
		clone.nodes[i] = cloneNode(node)
	}
	clone.inTransit = slices.Clone(state.inTransit)
	return &clone
}

// forget plants the fault that ballots are used again.
func (state *exploreState) forget(i int) {
	if !state.fault.forgetBallots {
		return
	}
	node := state.nodes[i]
	node.highest, node.minBallot = 0, 0
	node.grants[0].promisedBallot, node.grants[0].ballot = 0, 0
}

// collect takes a node's effects; it reports whether a ballot did not grow.
func (state *exploreState) collect(i int) (oldBallot bool) {
	for _, effect := range state.nodes[i].TakeEffects() {
		switch effect := effect.(type) {
		case Send:
			// Of two alike the later one is enough; what is not delivered in the end is lost.
			state.inTransit = append(state.inTransit,
				letter{from: state.nodes[i].config.Self, to: effect.To, message: effect.Message})
		case Acquired:
			oldBallot = oldBallot || effect.Ballot <= state.highest
			state.highest = max(state.highest, effect.Ballot)
		}
	}
	if len(state.inTransit) > maxInTransit {
		state.inTransit = slices.Clone(state.inTransit[len(state.inTransit)-maxInTransit:])
	}
	return oldBallot
}

func (state *exploreState) deliver(k int, keep bool) (oldBallot bool) {
	delivered := state.inTransit[k]
	if !keep {
		state.inTransit = slices.Delete(slices.Clone(state.inTransit), k, k+1)
	}
	i := slices.Index(exploreNames[:], delivered.to)
	state.forget(i)
	state.nodes[i].Receive(state.clock(i), delivered.from, delivered.message)
	return state.collect(i)
}

// tick lets one node do what is due: nodes that do not are slow.
func (state *exploreState) tick(i int) (oldBallot bool) {
	wallMS := state.now/exploreRenewal + 1
	if state.fault.forgetBallots {
		wallMS = 0
	}
	state.forget(i)
	state.nodes[i].Tick(state.clock(i), wallMS)
	return state.collect(i)
}

func (state *exploreState) holders() (count int) {
	for i, node := range state.nodes {
		if _, _, ok := node.Holds(state.clock(i), 0); ok {
			count++
		}
	}
	return count
}

// key is a hash of all that what comes next depends on.
func (state *exploreState) key() uint64 {
	encoded := make([]byte, 0, 512)
	put := func(values ...int64) {
		for _, value := range values {
			encoded = binary.LittleEndian.AppendUint64(encoded, uint64(value))
		}
	}
	put(state.now, int64(state.highest), int64(state.crashes), int64(state.copies))
	for i, node := range state.nodes {
		put(state.startedAt[i], state.setBack[i])
		put(node.tickAt, node.renewAt, int64(node.highest), int64(node.minBallot), int64(node.config.Self.Incarnation))
		granted := node.grants[0]
		put(int64(granted.promisedBallot), int64(granted.promisedTo.Incarnation))
		put(int64(granted.holder.Incarnation), int64(granted.ballot), granted.until)
		own := node.holdings[0]
		put(int64(own.ballot), own.preparedAt, int64(own.promises), int64(own.rejections))
		put(own.until, own.busyUntil, own.freeSince, own.tryAt)
		put(own.acceptedSentAt...)
		if own.held {
			put(-1)
		}
		if own.proposing {
			put(-2)
		}
	}
	for _, sent := range state.inTransit {
		item := sent.message.Items[0]
		put(int64(sent.from.Incarnation), int64(sent.to[0]), int64(sent.message.Kind), sent.message.SentAt)
		put(int64(item.Ballot), item.Remaining)
	}
	return xxhash.Sum64(encoded)
}

// firstHolder is the state in which the silence of all starts is over and a holds the slot with the votes of
// itself and b, some time after that.
func firstHolder(fault plantedFault, after int64, steps int) *exploreState {
	first := &exploreState{fault: fault, crashes: 1, copies: 1, steps: steps}
	for i := range first.nodes {
		first.start(i)
	}
	first.now = 5 * exploreLease / 2
	first.tick(0)
	for len(first.inTransit) > 0 && first.holders() == 0 {
		if first.inTransit[0].to == "c" {
			first.inTransit = first.inTransit[1:]
			continue
		}
		first.deliver(0, false)
	}
	first.inTransit = nil
	first.now += after
	return first
}

// next returns the states that can follow, each by one thing that happens, and whether a ballot did not grow
// in it.
func (state *exploreState) next() (states []*exploreState, oldBallot []bool) {
	try := func(happen func(*exploreState) (oldBallot bool)) {
		next := state.clone()
		next.steps--
		oldBallot = append(oldBallot, happen(next))
		states = append(states, next)
	}
	for i := range state.nodes {
		if state.clock(i) >= state.nodes[i].tickAt {
			try(func(next *exploreState) bool { return next.tick(i) })
		}
		if state.crashes > 0 {
			try(func(next *exploreState) bool { next.crashes--; next.start(i); return false })
		}
		if state.fault.wallTime && state.setBack[i] == 0 {
			try(func(next *exploreState) bool { next.setBack[i] = 2 * exploreLease; return false })
		}
	}
	try(func(next *exploreState) bool { next.now += exploreRenewal / 2; return false })
	for k := range state.inTransit {
		try(func(next *exploreState) bool { return next.deliver(k, false) })
		if state.copies > 0 {
			try(func(next *exploreState) bool { next.copies--; return next.deliver(k, true) })
		}
	}
	return states, oldBallot
}

// explore looks at up to a number of states, depth first, each once for what may still happen from it. It
// starts from a first holder, some time after the grant.
func explore(fault plantedFault, after int64, steps, limit int) (states int, found string) {
	first := firstHolder(fault, after, steps)
	if after == 0 && first.holders() != 1 {
		return 0, "the first owner did not come to be"
	}
	seen := map[uint64]int{} // the most steps that were left when a state was looked at
	stack := []*exploreState{first}
	for len(stack) > 0 && states < limit {
		state := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		key := state.key()
		if steps, been := seen[key]; been && steps >= state.steps {
			continue
		}
		seen[key] = state.steps
		states++
		if state.steps == 0 {
			continue
		}
		following, oldBallot := state.next()
		for i, next := range following {
			switch {
			case next.holders() > 1:
				return states, foundTwoHolders
			case oldBallot[i]:
				return states, foundOldBallot
			}
		}
		stack = append(stack, following...)
	}
	return states, foundNothing
}

// exploreLimit is how many states are looked at; TEALPATH_EXPLORE asks for more.
func exploreLimit(usual int) int {
	if limit, err := strconv.Atoi(os.Getenv("TEALPATH_EXPLORE")); err == nil && limit > 0 {
		return limit
	}
	return usual
}

func TestExploreFindsNothing(t *testing.T) {
	for _, after := range []int64{0, exploreLease - exploreRenewal/2, exploreLease + exploreRenewal/2} {
		for _, steps := range []int{8, 12} {
			states, found := explore(plantedFault{}, after, steps, exploreLimit(60_000))
			t.Logf("%d states to depth %d, from %d after the first grant", states, steps, after)
			if found != foundNothing {
				t.Errorf("after %d states: %s", states, found)
			}
		}
	}
}

func TestExploreFindsPlantedFaults(t *testing.T) {
	for _, test := range []struct {
		name  string
		fault plantedFault
		after int64
		steps int
		want  string
	}{
		{"a restarted voter that grants at once", plantedFault{grantAtOnce: true}, 0, 8, foundTwoHolders},
		{
			"an owner that goes by wall time",
			plantedFault{wallTime: true},
			exploreLease - exploreRenewal/2, 8, foundTwoHolders,
		},
		{
			"a clock that drifts more than is reckoned with",
			plantedFault{noDrift: true},
			exploreLease - exploreRenewal/2, 8, foundTwoHolders,
		},
		{"numbers used again", plantedFault{forgetBallots: true}, exploreLease + exploreRenewal/2, 10, foundOldBallot},
	} {
		t.Run(test.name, func(t *testing.T) {
			states, found := explore(test.fault, test.after, test.steps, 1_000_000)
			t.Logf("%d states", states)
			if found != test.want {
				t.Errorf("found %q, planted %q", found, test.want)
			}
		})
	}
}
