package experiment

import (
	"container/heap"
	"context"
	"fmt"
	"math/rand/v2"

	"tealpath/internal/cluster"
	"tealpath/internal/cluster/lease"
	"tealpath/internal/cluster/membership"
	"tealpath/internal/cluster/probe"
	"tealpath/internal/logevent"
)

// Virtual is the fleet's reducers played in simulated time.
type Virtual struct {
	Instances, Slots, Targets int
	Hours                     float64
	Steps                     bool // wall clocks are set back and forth by an hour
	Seed                      uint64
	Lease, Renewal            int64
}

// VirtualResult is what came of it. All figures are simulated.
type VirtualResult struct {
	Instances  int     `json:"instances"`
	Hours      float64 `json:"hours"`
	Overlaps   int     `json:"overlaps"` // moments at which two owned a slot
	Backward   int     `json:"backward"` // numbers that did not grow, while no wall clock was set back
	Stepped    int     `json:"backward_with_clocks_set_back"`
	Duplicated int     `json:"duplicated"` // probes of a target by two owners within its period
	Tenures    int     `json:"tenures"`
	Kills      int     `json:"kills"`
	Splits     int     `json:"splits"`
	Messages   int     `json:"messages"`
	Probes     int     `json:"probes"`
	Expected   float64 `json:"probes_of_an_undisturbed_owner"`
	OwnedShare float64 `json:"owned_share"` // of slots and time
}

// event is one thing to come: a message, a node's timer, or the next trouble.
type event struct {
	at   int64
	seq  int
	node int // -1: trouble
	life int
	came *cluster.MessageReceived
}

type agenda []event

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].seq < a[j].seq
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(event)) }
func (a *agenda) Pop() any {
	old := *a
	x := old[len(old)-1]
	*a = old[:len(old)-1]
	return x
}

type virtualNode struct {
	name   string
	node   *cluster.Node
	life   int
	born   int64
	rate   float64
	frozen int64 // until
	side   int
	deaf   bool // nothing reaches it
	timer  int64
	wall   int64 // by which its wall clock is off, ms
}

type virtualRun struct {
	Virtual
	result  VirtualResult
	rng     *rand.Rand
	now     int64
	agenda  agenda
	seq     int
	nodes   []*virtualNode
	owner   []int // by slot; -1 is nobody
	highest []uint64
	probed  map[string]virtualProbe
	loss    float64
	delay   int64
	owned   int
	ownedAt int64
	ownedNS float64
}

type virtualProbe struct {
	at    int64
	owner int
}

// Run plays it. Troubles come every few leases: restarts, a majority's among them, splits, one-way loss, losses,
// delays longer than a lease, frozen instances, wall clocks set back and forth.
func (v Virtual) Run(ctx context.Context) VirtualResult {
	r := &virtualRun{Virtual: v, rng: rand.New(rand.NewPCG(v.Seed, uint64(v.Instances))), probed: map[string]virtualProbe{},
		result: VirtualResult{Instances: v.Instances, Hours: v.Hours}, delay: v.Renewal / 100}
	r.owner, r.highest = make([]int, v.Slots), make([]uint64, v.Slots)
	for s := range r.owner {
		r.owner[s] = -1
	}
	for i := range v.Instances {
		r.nodes = append(r.nodes, &virtualNode{name: fmt.Sprintf("n%02d", i), rate: 1 + 0.01*(2*r.rng.Float64()-1)})
	}
	for i := range r.nodes {
		r.start(i)
	}
	r.push(event{at: 4 * v.Lease, node: -1})
	for end := int64(v.Hours * 3600e9); len(r.agenda) > 0; {
		e := heap.Pop(&r.agenda).(event)
		if e.at > end || e.node < 0 && ctx.Err() != nil {
			break
		}
		r.ownedNS += float64(r.owned) * float64(e.at-r.now)
		r.now = e.at
		r.step(e)
	}
	r.result.OwnedShare = r.ownedNS / float64(r.now) / float64(v.Slots)
	r.result.Expected = float64(v.Targets) * float64(r.now) / 1e9
	r.result.Hours = float64(r.now) / 3600e9
	return r.result
}

func (r *virtualRun) push(e event) {
	r.seq++
	e.seq = r.seq
	heap.Push(&r.agenda, e)
}

func (r *virtualRun) clock(n *virtualNode) int64 { return int64(float64(r.now-n.born) * n.rate) }

func (r *virtualRun) start(i int) {
	n := r.nodes[i]
	if n.node != nil {
		r.vacate(i)
	}
	n.life++
	n.born, n.frozen, n.timer = r.now, 0, 0
	var contacts []membership.Contact
	var voters []string
	for _, other := range r.nodes {
		contacts = append(contacts, membership.Contact{Name: other.name, Address: other.name + ":1", Weight: 1})
		if len(voters) < 5 {
			voters = append(voters, other.name)
		}
	}
	cold := probe.ColdLimit{Share: 0.16, Factor: 2.5, Window: 1500e6, WarmUpDuration: 17e9}
	node, err := cluster.New(0, cluster.Config{Self: lease.Instance{Name: n.name, Incarnation: uint64(n.life)}, Address: n.name + ":1",
		Weight: 1, Contacts: contacts, Seed: r.rng.Uint64(), Lease: lease.Config{Slots: r.Slots, LeaseDuration: r.Lease,
			RenewInterval: r.Renewal, MaxClockDrift: 0.01, Voters: lease.Voters{Epoch: 1, Current: voters}},
		Probe: &probe.Config{Period: 1e9, Timeout: 5e8, ColdPart: 0.05, Cost: 0.001, Cache: cold, Parent: cold}})
	if err != nil {
		panic(err)
	}
	n.node = node
	var targets []probe.Target
	for t := range r.Targets {
		targets = append(targets, probe.Target{Name: fmt.Sprintf("t%03d", t), Address: "x", Capacity: 4})
	}
	r.carry(i, node.Handle(0, cluster.TargetsUpdated{Targets: targets}))
}

// vacate notes that what a start owned is no longer owned by a live instance.
func (r *virtualRun) vacate(i int) {
	for s, o := range r.owner {
		if o == i {
			r.owner[s] = -1
			r.owned--
		}
	}
}

func (r *virtualRun) step(e event) {
	if e.node < 0 {
		r.trouble()
		return
	}
	n := r.nodes[e.node]
	switch {
	case n.frozen > r.now:
		e.at = n.frozen // it comes when the instance is awake again
		r.push(e)
		return
	case e.came != nil:
		from := r.place(e.came.From.Name)
		if r.nodes[from].side != n.side || n.deaf {
			return
		}
		r.carry(e.node, n.node.Handle(r.clock(n), *e.came))
	case e.life != n.life || e.at != n.timer:
		return // of a former start, or set anew
	default:
		r.carry(e.node, n.node.Handle(r.clock(n), cluster.TimerFired{WallMS: 1.7e12 + n.wall + r.now/1e6}))
	}
}

func (r *virtualRun) place(name string) int {
	for i, n := range r.nodes {
		if n.name == name {
			return i
		}
	}
	return -1
}

func (r *virtualRun) carry(i int, effects []cluster.Effect) {
	n := r.nodes[i]
	for _, e := range effects {
		switch e := e.(type) {
		case cluster.Send:
			r.result.Messages++
			to := r.place(e.To)
			if to < 0 || r.rng.Float64() < r.loss {
				continue
			}
			came := &cluster.MessageReceived{From: lease.Instance{Name: n.name, Incarnation: uint64(n.life)}, Message: e.Message}
			for range 1 + r.rng.IntN(21)/20 { // one in 21 comes twice
				r.push(event{at: r.now + r.delay/2 + r.rng.Int64N(r.delay), node: to, came: came})
			}
		case cluster.SendProbe:
			r.result.Probes++
			r.ask(i, e)
		case cluster.SetTimer:
			n.timer = max(r.now+1, n.born+int64(float64(e.At)/n.rate)+1)
			r.push(event{at: n.timer, node: i, life: n.life})
		case cluster.Log:
			r.changes(i, e.Event)
		}
	}
}

// changes follows who owns what by what is logged, and asks every other whether it owns that too at this moment.
func (r *virtualRun) changes(i int, logged logevent.Event) {
	switch event := logged.(type) {
	case cluster.LeasesAcquired:
		for _, slot := range event.Slots {
			r.acquired(i, slot, event.Ballot)
		}
	case cluster.LeasesLost:
		for _, slot := range event.Slots {
			if r.owner[slot] == i {
				r.owner[slot] = -1
				r.owned--
			}
		}
	}
}

// acquired notes that an instance holds a slot's lease from now on.
func (r *virtualRun) acquired(i, slot int, ballot uint64) {
	r.result.Tenures++
	switch {
	case ballot > r.highest[slot]:
	case r.Steps:
		r.result.Stepped++
	default:
		r.result.Backward++
	}
	r.highest[slot] = max(r.highest[slot], ballot)
	for k, other := range r.nodes {
		// A frozen one does nothing, but it believes; what counts is what it would do if it woke now.
		if _, _, ok := other.node.Holds(r.clock(other), slot); ok && k != i {
			r.result.Overlaps++
		}
	}
	if r.owner[slot] < 0 {
		r.owned++
	}
	r.owner[slot] = i
}

func (r *virtualRun) ask(i int, e cluster.SendProbe) {
	if last, been := r.probed[e.Target]; been && last.owner != i && r.now-last.at < 1e9 {
		r.result.Duplicated++
	}
	r.probed[e.Target] = virtualProbe{r.now, i}
	n := r.nodes[i]
	if _, _, ok := n.node.Holds(r.clock(n), e.Slot); !ok {
		r.result.Overlaps++
	}
}

// trouble changes something, and says when the next change comes.
func (r *virtualRun) trouble() {
	some := r.nodes[r.rng.IntN(len(r.nodes))]
	which := r.place(some.name)
	switch r.rng.IntN(10) {
	case 0, 1:
		r.result.Kills++
		r.start(which)
	case 2: // a majority, one after another at once
		for k := range len(r.nodes)/2 + 1 {
			r.result.Kills++
			r.start((which + k) % len(r.nodes))
		}
	case 3:
		r.result.Splits++
		for _, n := range r.nodes {
			n.side = r.rng.IntN(2)
		}
	case 4:
		some.deaf = true
	case 5:
		r.loss = 0.3 * r.rng.Float64()
	case 6:
		r.delay = r.Lease * int64(1+r.rng.IntN(3)) / 2
	case 7:
		some.frozen = r.now + r.rng.Int64N(4*r.Lease)
	case 8:
		if r.Steps {
			some.wall = []int64{-3600e3, 3600e3}[r.rng.IntN(2)]
		}
	default:
		for _, n := range r.nodes {
			n.side, n.deaf = 0, false
		}
		r.loss, r.delay = 0, r.Renewal/100
	}
	// Half of the troubles pass before the next one comes.
	if r.rng.IntN(2) == 0 {
		for _, n := range r.nodes {
			n.side, n.deaf = 0, false
		}
		r.loss, r.delay = 0, r.Renewal/100
	}
	r.push(event{at: r.now + r.Lease + r.rng.Int64N(10*r.Lease), node: -1})
}

// Add adds what another run came to.
func (r *VirtualResult) Add(o VirtualResult) {
	r.Hours += o.Hours
	r.Overlaps += o.Overlaps
	r.Backward += o.Backward
	r.Stepped += o.Stepped
	r.Duplicated += o.Duplicated
	r.Tenures += o.Tenures
	r.Kills += o.Kills
	r.Splits += o.Splits
	r.Messages += o.Messages
	r.Probes += o.Probes
	r.Expected += o.Expected
	r.OwnedShare += o.OwnedShare
}
