package lease

import (
	"encoding/binary"
	"os"
	"slices"
	"strconv"
	"testing"

	"github.com/cespare/xxhash/v2"
)

// The checker explores what three nodes and one slot can come to: every order in which messages arrive, are lost or
// come twice, nodes crash and start again, and time goes on, under clocks that are fast and slow by the drift. Each
// node believes that it alone is alive, so that all always try. It looks for two owners at one instant, and for numbers
// that do not grow. Spans are short numbers of nanoseconds; the drift is 10%, so that it shows in steps of a renewal.
const (
	exRenewal = int64(800)
	exLease   = 3 * exRenewal
	exDrift   = 0.1
)

type space struct {
	nodes   [3]*Node
	born    [3]int64 // real time at which a clock read 0
	back    [3]int64 // by which a clock was set back: only where the planted fault has it read wall time
	now     int64
	mail    []letter
	highest uint64
	lives   uint64

	crashes, copies, steps int // what may still happen
}

type planted struct {
	fault
	wallTime bool // nodes go by a clock that may be set back
	noDrift  bool
}

var exNames = [3]string{"a", "b", "c"}

func (s *space) clock(i int) int64 {
	rate := []float64{1 - exDrift, 1 + exDrift, 1}[i] // a, the first owner, is slow; b, a voter, fast
	return int64(float64(s.now-s.born[i])*rate) - s.back[i]
}

func (s *space) start(i int, p planted) {
	s.lives++
	s.born[i], s.back[i] = s.now, 0
	c := Config{Self: Instance{exNames[i], s.lives}, Slots: 1, LeaseDuration: exLease, RenewInterval: exRenewal, MaxClockDrift: exDrift,
		Voters: Voters{Epoch: 1, Current: exNames[:]}}
	if p.noDrift {
		c.MaxClockDrift = 0
	}
	n, err := New(0, c)
	if err != nil {
		panic(err)
	}
	n.fault = p.fault
	n.SetCandidates(0, []Candidate{{exNames[i], 1}})
	s.nodes[i] = n
}

func (s *space) clone() *space {
	c := *s
	for i, n := range s.nodes {
		c.nodes[i] = n.Clone()
	}
	c.mail = slices.Clone(s.mail)
	return &c
}

// collect takes a node's effects; it tells whether a number did not grow.
func (s *space) collect(i int) (fell bool) {
	for _, e := range s.nodes[i].TakeEffects() {
		switch e := e.(type) {
		case Send:
			// Of two alike the later one is enough; what is not delivered in the end is lost.
			s.mail = append(s.mail, letter{from: s.nodes[i].config.Self, to: e.To, message: e.Message})
		case Acquired:
			fell = fell || e.Ballot <= s.highest
			s.highest = max(s.highest, e.Ballot)
		}
	}
	const most = 5 // messages under way; the oldest is lost
	if len(s.mail) > most {
		s.mail = slices.Clone(s.mail[len(s.mail)-most:])
	}
	return fell
}

func (s *space) deliver(k int, keep bool) (fell bool) {
	l := s.mail[k]
	if !keep {
		s.mail = slices.Delete(slices.Clone(s.mail), k, k+1)
	}
	i := slices.Index(exNames[:], l.to)
	s.nodes[i].Receive(s.clock(i), l.from, l.message)
	return s.collect(i)
}

// tick lets one node do what is due: nodes that do not are slow.
func (s *space) tick(i int) (fell bool) {
	s.nodes[i].Tick(s.clock(i), s.now/exRenewal+1)
	return s.collect(i)
}

func (s *space) owners() (n int) {
	for i, node := range s.nodes {
		if _, _, ok := node.Holds(s.clock(i), 0); ok {
			n++
		}
	}
	return n
}

func (s *space) key() uint64 {
	b := make([]byte, 0, 512)
	put := func(values ...int64) {
		for _, v := range values {
			b = binary.LittleEndian.AppendUint64(b, uint64(v))
		}
	}
	put(s.now, int64(s.highest), int64(s.crashes), int64(s.copies))
	for i, n := range s.nodes {
		g, h := n.grants[0], n.holds[0]
		put(s.born[i], s.back[i], n.tickAt, n.renewAt, int64(n.highest), int64(n.floor), int64(n.config.Self.Incarnation))
		put(int64(g.promised), int64(g.promisedTo.Incarnation), int64(g.holder.Incarnation), int64(g.number), g.until)
		put(int64(h.number), h.asked, int64(h.promises), int64(h.refusals), h.until, h.busyUntil, h.freeSince, h.tryAt)
		put(h.acked...)
		if h.held {
			put(-1)
		}
		if h.taking {
			put(-2)
		}
	}
	for _, l := range s.mail {
		put(int64(l.from.Incarnation), int64(l.to[0]), int64(l.message.Kind), l.message.SentAt, int64(l.message.Items[0].Ballot),
			l.message.Items[0].Remaining)
	}
	return xxhash.Sum64(b)
}

// explore looks at up to most states, depth first, each once for what may still happen from it. It starts from an
// owner that a and b granted, some time after that.
func explore(p planted, after int64, steps, most int) (states int, found string) {
	first := &space{crashes: 1, copies: 1, steps: steps}
	for i := range first.nodes {
		first.start(i, p)
	}
	// To the first interesting state: the silence is over, and a owns with the votes of itself and b.
	first.now = 5 * exLease / 2
	first.tick(0)
	for len(first.mail) > 0 && first.owners() == 0 {
		if first.mail[0].to == "c" {
			first.mail = first.mail[1:]
			continue
		}
		first.deliver(0, false)
	}
	first.mail = nil
	first.now += after
	if after == 0 && first.owners() != 1 {
		return 0, "the first owner did not come to be"
	}
	seen := map[uint64]int8{}
	stack := []*space{first}
	for len(stack) > 0 && states < most {
		s := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		key := s.key()
		if left, been := seen[key]; been && int(left) >= s.steps {
			continue
		}
		seen[key] = int8(s.steps)
		states++
		if s.steps == 0 {
			continue
		}
		try := func(act func(*space) bool) bool {
			next := s.clone()
			next.steps--
			if act(next) {
				found = "a number that did not grow"
			}
			if next.owners() > 1 {
				found = "two owners"
			}
			stack = append(stack, next)
			return found != ""
		}
		for i := range s.nodes {
			if s.clock(i) >= s.nodes[i].tickAt && try(func(n *space) bool { return n.tick(i) }) {
				return states, found
			}
			if s.crashes > 0 && try(func(n *space) bool { n.crashes--; n.start(i, p); return false }) {
				return states, found
			}
			if p.wallTime && s.back[i] == 0 && try(func(n *space) bool { n.back[i] = 2 * exLease; return false }) {
				return states, found
			}
		}
		if try(func(n *space) bool { n.now += exRenewal / 2; return false }) {
			return states, found
		}
		for k := range s.mail {
			if try(func(n *space) bool { return n.deliver(k, false) }) {
				return states, found
			}
			if s.copies > 0 && try(func(n *space) bool { n.copies--; return n.deliver(k, true) }) {
				return states, found
			}
		}
	}
	return states, ""
}

// exploreMost is how many states are looked at; TEALPATH_EXPLORE asks for more.
func exploreMost(usual int) int {
	if n, err := strconv.Atoi(os.Getenv("TEALPATH_EXPLORE")); err == nil && n > 0 {
		return n
	}
	return usual
}

func TestExploreFindsNothing(t *testing.T) {
	for _, after := range []int64{0, exLease - exRenewal/2, exLease + exRenewal/2} {
		for _, steps := range []int{8, 12} {
			states, found := explore(planted{}, after, steps, exploreMost(60_000))
			t.Logf("%d states to depth %d, from %d after the first grant", states, steps, after)
			if found != "" {
				t.Errorf("after %d states: %s", states, found)
			}
		}
	}
}

func TestExploreFindsPlantedFaults(t *testing.T) {
	for _, tc := range []struct {
		name  string
		p     planted
		after int64
		steps int
		want  string
	}{
		{"a restarted voter that grants at once", planted{fault: fault{grantAtOnce: true}}, 0, 8, "two owners"},
		{"an owner that goes by wall time", planted{wallTime: true}, exLease - exRenewal/2, 8, "two owners"},
		{"a clock that drifts more than is reckoned with", planted{noDrift: true}, exLease - exRenewal/2, 8, "two owners"},
		{"numbers used again", planted{fault: fault{reuseNumbers: true}}, exLease + exRenewal/2, 10,
			"a number that did not grow"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			states, found := explore(tc.p, tc.after, tc.steps, 1_000_000)
			t.Logf("%d states", states)
			if found != tc.want {
				t.Errorf("found %q, planted %q", found, tc.want)
			}
		})
	}
}
