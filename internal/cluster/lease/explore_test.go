package lease

import (
	"encoding/binary"
	"os"
	"slices"
	"strconv"
	"testing"

	"github.com/cespare/xxhash/v2"
)

// The tests in this file explore the states that three nodes with one slot can reach in a given number of steps. A
// step delivers, loses or duplicates a message, crashes and restarts a node, or lets time pass; all orders of steps
// are tried, up to a limit on the number of states. Two of the clocks are fast and slow by the maximum drift. Each
// node has only itself as a candidate, so all of them keep requesting the slot. A state is a violation if the slot has
// two holders, or if it was acquired under a ballot that is not above all earlier ones. Durations are small numbers of
// nanoseconds. The drift is 10%, so that during one lease the clocks of two nodes move apart by more than a time step,
// which is half a renewal interval.
const (
	exploreRenewal = int64(800)
	exploreLease   = 3 * exploreRenewal
	exploreDrift   = 0.1
	maxInTransit   = 5 // largest number of messages in transit; beyond it the oldest are lost
)

// explore returns one of these texts as its finding, or another text if node a does not hold the slot at the start.
const (
	foundNothing     = ""
	foundTwoHolders  = "two holders of the slot at one instant"
	foundStaleBallot = "the slot acquired under a ballot that did not grow"
)

var exploreNames = [3]string{"a", "b", "c"}

// plantedFault selects deliberate faults of the nodes, which the exploration must find. Zero selects none.
type plantedFault struct {
	skipSilence   bool // a voter grants leases at once after a start, without waiting for RestartSilence
	forgetBallots bool // nodes forget all ballots they have seen, and the wall clock stays at 0
	settableClock bool // each node's clock can be set back once, by two lease durations
	ignoreDrift   bool // nodes are configured with a MaxClockDrift of 0, although their clocks drift
}

// exploreState is one state of the three nodes and of the messages in transit, with the numbers of events that may
// still follow.
type exploreState struct {
	fault         plantedFault
	nodes         [3]*Node
	startedAt     [3]int64 // simulated time of each node's latest start, at which its clock read 0, ns
	setBack       [3]int64 // time by which each node's clock was set back since its latest start, ns
	now           int64
	inTransit     []inFlightMessage
	highestBallot uint64 // highest ballot under which any node acquired the slot; 0: none did yet
	starts        uint64

	// How many crashes, duplicated messages and events of any kind may still follow.
	crashes, copies, steps int
}

// clock returns what the clock of node i reads now, in ns.
func (state *exploreState) clock(i int) int64 {
	// a, the first holder, is slow; b, whose vote it needs, is fast.
	rate := []float64{1 - exploreDrift, 1 + exploreDrift, 1}[i]
	return int64(float64(state.now-state.startedAt[i])*rate) - state.setBack[i]
}

// start starts or restarts node i without any state; its clock then reads 0.
func (state *exploreState) start(i int) {
	state.starts++
	state.startedAt[i], state.setBack[i] = state.now, 0
	config := Config{
		Self: Instance{exploreNames[i], state.starts}, Slots: 1,
		LeaseDuration: exploreLease, RenewInterval: exploreRenewal, MaxClockDrift: exploreDrift,
		Voters: Voters{Epoch: 1, Current: exploreNames[:]},
	}
	if state.fault.ignoreDrift {
		config.MaxClockDrift = 0
	}
	node, err := New(0, config)
	if err != nil {
		panic(err) // the configuration above is valid
	}
	if state.fault.skipSilence {
		node.grantsFrom = 0
	}
	node.SetCandidates(0, []Candidate{{exploreNames[i], 1}})
	state.nodes[i] = node
}

// cloneNode returns a copy of a node that shares no mutable state with it.
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

// clone returns a copy of the state that shares no mutable state with it.
func (state *exploreState) clone() *exploreState {
	clone := *state
	for i, node := range state.nodes {
		clone.nodes[i] = cloneNode(node)
	}
	clone.inTransit = slices.Clone(state.inTransit)
	return &clone
}

// plantForgottenBallots makes node i forget all ballots if the fault forgetBallots is planted, so that the node uses
// the same ballots again.
func (state *exploreState) plantForgottenBallots(i int) {
	if !state.fault.forgetBallots {
		return
	}
	node := state.nodes[i]
	node.highestBallot, node.promiseFloor = 0, 0
	node.grants[0].promisedBallot, node.grants[0].ballot = 0, 0
}

// collect takes the effects of node i and puts its messages in transit. It reports whether the node acquired the slot
// under a ballot that is not above all earlier ones.
func (state *exploreState) collect(i int) (staleBallot bool) {
	for _, effect := range state.nodes[i].TakeEffects() {
		switch effect := effect.(type) {
		case Send:
			// A message that is never delivered counts as lost.
			state.inTransit = append(state.inTransit,
				inFlightMessage{from: state.nodes[i].config.Self, to: effect.To, message: effect.Message})
		case Acquired:
			staleBallot = staleBallot || effect.Ballot <= state.highestBallot
			state.highestBallot = max(state.highestBallot, effect.Ballot)
		}
	}
	if len(state.inTransit) > maxInTransit {
		// Drop the oldest messages. If one of them equals a later message, delivering the later one is enough.
		state.inTransit = slices.Clone(state.inTransit[len(state.inTransit)-maxInTransit:])
	}
	return staleBallot
}

// deliver delivers the message with index k in inTransit. If keep is true, the message stays in transit, so that it
// can be delivered again. staleBallot is true if the receiving node acquired the slot under a ballot that is not above
// all earlier ones.
func (state *exploreState) deliver(k int, keep bool) (staleBallot bool) {
	delivered := state.inTransit[k]
	if !keep {
		state.inTransit = slices.Delete(slices.Clone(state.inTransit), k, k+1)
	}
	i := slices.Index(exploreNames[:], delivered.to)
	state.plantForgottenBallots(i)
	state.nodes[i].Receive(state.clock(i), delivered.from, delivered.message)
	return state.collect(i)
}

// tick calls Tick on node i and returns the result of collect. The exploration may tick a node late, as happens on a
// slow machine.
func (state *exploreState) tick(i int) (staleBallot bool) {
	wallMS := state.now/exploreRenewal + 1
	if state.fault.forgetBallots {
		wallMS = 0
	}
	state.plantForgottenBallots(i)
	state.nodes[i].Tick(state.clock(i), wallMS)
	return state.collect(i)
}

// holders returns how many nodes hold the slot.
func (state *exploreState) holders() (count int) {
	for i, node := range state.nodes {
		if _, _, ok := node.Holds(state.clock(i), 0); ok {
			count++
		}
	}
	return count
}

// key returns a hash of everything that the following states depend on, except the number of steps left.
func (state *exploreState) key() uint64 {
	encoded := make([]byte, 0, 512)
	put := func(values ...int64) {
		for _, value := range values {
			encoded = binary.LittleEndian.AppendUint64(encoded, uint64(value))
		}
	}
	put(state.now, int64(state.highestBallot), int64(state.crashes), int64(state.copies))
	for i, node := range state.nodes {
		put(state.startedAt[i], state.setBack[i])
		put(node.tickAt, node.renewAt, int64(node.highestBallot), int64(node.promiseFloor))
		put(int64(node.config.Self.Incarnation))
		grant := node.grants[0]
		put(int64(grant.promisedBallot), int64(grant.promisedTo.Incarnation))
		put(int64(grant.holder.Incarnation), int64(grant.ballot), grant.until)
		holding := node.holdings[0]
		put(int64(holding.ballot), holding.preparedAt, int64(holding.promises), int64(holding.rejections))
		put(holding.until, holding.busyUntil, holding.freeSince, holding.attemptAt)
		put(holding.acceptedSentAt...)
		if holding.held {
			put(-1)
		}
		if holding.proposing {
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

// stateAfterFirstGrant returns a state in which all nodes have been running for longer than Config.RestartSilence, and
// node a acquired the slot with the votes of a and b. after is the time in ns since the acquisition; steps is the
// number of events that may follow.
func stateAfterFirstGrant(fault plantedFault, after int64, steps int) *exploreState {
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

// next returns all states that can follow by one event and, in staleBallot, for each of them whether the event
// acquired the slot under a ballot that is not above all earlier ones.
func (state *exploreState) next() (states []*exploreState, staleBallot []bool) {
	addState := func(event func(*exploreState) (staleBallot bool)) {
		next := state.clone()
		next.steps--
		staleBallot = append(staleBallot, event(next))
		states = append(states, next)
	}
	for i := range state.nodes {
		if state.clock(i) >= state.nodes[i].tickAt {
			addState(func(next *exploreState) bool { return next.tick(i) })
		}
		if state.crashes > 0 {
			addState(func(next *exploreState) bool { next.crashes--; next.start(i); return false })
		}
		if state.fault.settableClock && state.setBack[i] == 0 {
			addState(func(next *exploreState) bool { next.setBack[i] = 2 * exploreLease; return false })
		}
	}
	addState(func(next *exploreState) bool { next.now += exploreRenewal / 2; return false })
	for k := range state.inTransit {
		addState(func(next *exploreState) bool { return next.deliver(k, false) })
		if state.copies > 0 {
			addState(func(next *exploreState) bool { next.copies--; return next.deliver(k, true) })
		}
	}
	return states, staleBallot
}

// explore visits up to limit states, depth first, until it finds a violation. It returns the number of states visited
// and the finding. It starts from stateAfterFirstGrant with the given arguments, and visits a state again only if more
// steps are left than at all earlier visits.
func explore(fault plantedFault, after int64, steps, limit int) (states int, found string) {
	first := stateAfterFirstGrant(fault, after, steps)
	if after == 0 && first.holders() != 1 {
		return 0, "node a did not acquire the slot in the first state"
	}
	seen := map[uint64]int{} // by exploreState.key: the most steps that were left at a visit of the state
	stack := []*exploreState{first}
	for len(stack) > 0 && states < limit {
		state := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		key := state.key()
		if steps, visited := seen[key]; visited && steps >= state.steps {
			continue
		}
		seen[key] = state.steps
		states++
		if state.steps == 0 {
			continue
		}
		successors, staleBallot := state.next()
		for i, next := range successors {
			switch {
			case next.holders() > 1:
				return states, foundTwoHolders
			case staleBallot[i]:
				return states, foundStaleBallot
			}
		}
		stack = append(stack, successors...)
	}
	return states, foundNothing
}

// exploreLimit returns how many states to visit: the value of the environment variable TEALPATH_EXPLORE or, if that
// is not set, defaultLimit.
func exploreLimit(defaultLimit int) int {
	if limit, err := strconv.Atoi(os.Getenv("TEALPATH_EXPLORE")); err == nil && limit > 0 {
		return limit
	}
	return defaultLimit
}

func TestExploreFindsNoViolation(t *testing.T) {
	for _, after := range []int64{0, exploreLease - exploreRenewal/2, exploreLease + exploreRenewal/2} {
		for _, steps := range []int{8, 12} {
			states, found := explore(plantedFault{}, after, steps, exploreLimit(60_000))
			t.Logf("visited %d states to depth %d, starting %d ns after the first grant", states, steps, after)
			if found != foundNothing {
				t.Errorf("depth %d, starting %d ns after the first grant: found %s in %d states",
					steps, after, found, states)
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
		{"restarted voter without restart silence", plantedFault{skipSilence: true}, 0, 8, foundTwoHolders},
		{
			"clock that is set back",
			plantedFault{settableClock: true},
			exploreLease - exploreRenewal/2, 8, foundTwoHolders,
		},
		{
			"clocks that drift more than configured",
			plantedFault{ignoreDrift: true},
			exploreLease - exploreRenewal/2, 8, foundTwoHolders,
		},
		{"reused ballots", plantedFault{forgetBallots: true}, exploreLease + exploreRenewal/2, 10, foundStaleBallot},
	} {
		t.Run(test.name, func(t *testing.T) {
			states, found := explore(test.fault, test.after, test.steps, 1_000_000)
			t.Logf("visited %d states", states)
			if found != test.want {
				t.Errorf("explore found %q in %d states, want %q", found, states, test.want)
			}
		})
	}
}
