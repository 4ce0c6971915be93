package experiment

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"tealpath/internal/cluster/lease"
	"tealpath/internal/cluster/sharedconfig"
	"tealpath/internal/compatibility"
	"tealpath/internal/timerqueue"
)

// AgreeSim plays internal/cluster/sharedconfig with real settings in simulated time, with changes and troubles drawn by seed.
type AgreeSim struct {
	Instances int
	Span      int64 // ns
	Seed      uint64
	Lease     int64
	Renewal   int64
	Every     int64 // between two changes or troubles, in the mean
}

// AgreeResult is what it gave.
type AgreeResult struct {
	Instances int     `json:"instances"`
	Hours     float64 `json:"hours"`
	Changes   int     `json:"changes"`
	InForce   int     `json:"changes_in_force"`
	Refused   int     `json:"changes_refused"`
	Broken    int     `json:"contradictions"` // moments at which versions that exclude each other were acted on
	MaxMS     float64 `json:"contradiction_max_ms"`
	BoundMS   float64 `json:"bound_ms"`
	Force50   float64 `json:"in_force_p50_ms"` // from the proposal until all that can act on it
	Force99   float64 `json:"in_force_p99_ms"`
	Floor     float64 `json:"floor_share_of_time"` // of instances that run
	Share     float64 `json:"share_sum_worst"`     // of a cold budget, all instances that act, by what they act on
}

type agreeNode struct {
	name   string
	node   *sharedconfig.Node
	rate   float64
	born   int64
	life   int
	down   bool
	frozen int64
	side   int
	timer  int64
}

type agreeRun struct {
	AgreeSim
	rng      *rand.Rand
	now      int64
	order    timerqueue.Queue[func()]
	nodes    []*agreeNode
	voters   []string
	result   AgreeResult
	loss     float64
	first    map[uint64]int64
	waiting  map[uint64]int64 // proposals until all act on them
	forces   []float64
	settings compatibility.Settings
	run, off float64
	excluded map[[2]string]bool
}

// Run plays it.
func (s AgreeSim) Run() AgreeResult {
	r := &agreeRun{AgreeSim: s, rng: rand.New(rand.NewPCG(s.Seed, uint64(s.Instances))), first: map[uint64]int64{}, waiting: map[uint64]int64{},
		excluded: map[[2]string]bool{}, result: AgreeResult{Instances: s.Instances, Hours: float64(s.Span) / 3600e9, BoundMS: float64(s.Lease+s.Renewal/5) / 1e6}}
	for i := range s.Instances {
		x := &agreeNode{name: fmt.Sprintf("n%03d", i), rate: 1 + 0.01*(2*r.rng.Float64()-1)}
		r.nodes = append(r.nodes, x)
		if i < 5 {
			r.voters = append(r.voters, x.name)
		}
	}
	r.settings = compatibility.Settings{Routers: s.Instances, Slots: 64, LeaseDuration: s.Lease, MaxClockDrift: 0.01, PurgeWindow: 6e9,
		Voters: lease.Voters{Epoch: 1, Current: r.voters}}
	for _, x := range r.nodes {
		r.start(x)
	}
	var look, trouble func()
	look = func() { r.look(); r.order.Push(r.now+s.Renewal/10, look) }
	trouble = func() { r.trouble(); r.order.Push(r.now+s.Every/2+r.rng.Int64N(s.Every), trouble) }
	r.order.Push(2*s.Lease, look)
	r.order.Push(4*s.Lease, trouble)
	for r.order.Next() <= s.Span {
		at, next := r.order.Pop()
		r.now = at
		next()
	}
	if slices.Sort(r.forces); len(r.forces) > 0 {
		n := len(r.forces)
		r.result.Force50, r.result.Force99 = r.forces[n/2], r.forces[min(n-1, n*99/100)]
	}
	r.result.Floor = r.off / max(1, r.run)
	return r.result
}

func (r *agreeRun) clock(x *agreeNode) int64 { return int64(float64(r.now-x.born) * x.rate) }

func (r *agreeRun) start(x *agreeNode) {
	x.life++
	x.born, x.down, x.frozen = r.now, false, 0
	first := r.settings
	first.Voters = lease.Voters{Epoch: 1, Current: r.voters}
	content, err := compatibility.Encode(compatibility.Settings{Routers: r.Instances, Slots: 64, LeaseDuration: r.Lease, MaxClockDrift: 0.01, PurgeWindow: 6e9, Voters: first.Voters})
	if err != nil {
		panic(err) // the settings are this file's
	}
	x.node = sharedconfig.New(0, sharedconfig.Config{Self: x.name, Voters: r.voters, LeaseDuration: r.Lease, RenewInterval: r.Renewal, MaxClockDrift: 0.01, Incompatible: compatibility.Incompatible,
		Initial: content, Incarnation: r.rng.Uint64()})
	r.arm(x)
}

func (r *agreeRun) arm(x *agreeNode) {
	at := r.now + max(1e6, int64(float64(x.node.Next(r.clock(x))-r.clock(x))/x.rate)+1)
	x.timer = at
	life := x.life
	r.order.Push(at, func() {
		switch {
		case x.down || x.life != life || x.timer != at:
		case x.frozen > r.now:
			x.timer = 0
			r.order.Push(x.frozen, func() {
				if !x.down && x.life == life {
					r.arm(x)
				}
			})
		default:
			x.node.Tick(r.clock(x), 1e12+r.now/1e6)
			r.carry(x)
			r.arm(x)
		}
	})
}

func (r *agreeRun) carry(x *agreeNode) {
	for _, e := range x.node.TakeEffects() {
		switch e := e.(type) {
		case sharedconfig.ProposalEnded:
			if e.Reason == "" {
				r.waiting[e.Number] = r.now
			} else {
				r.result.Refused++
			}
		case sharedconfig.Send:
			to := r.nodes[slices.IndexFunc(r.nodes, func(y *agreeNode) bool { return y.name == e.To })]
			if r.rng.Float64() < r.loss || to.side != x.side {
				continue
			}
			life, from := to.life, x.life
			var come func()
			come = func() {
				switch {
				case to.down || to.life != life || x.life != from || to.side != x.side:
				case to.frozen > r.now:
					r.order.Push(to.frozen, come)
				default:
					to.node.Receive(r.clock(to), x.name, e.Message)
					r.carry(to)
					if next := to.node.Next(r.clock(to)); next < r.clock(to)+int64(1e6) {
						r.arm(to)
					}
				}
			}
			r.order.Push(r.now+1e6+r.rng.Int64N(10e6), come)
		}
	}
}

// look checks what is acted on at an instant.
func (r *agreeRun) look() {
	acted, count, running := map[uint64][]byte{}, map[uint64]int{}, 0
	share := 0.
	for _, x := range r.nodes {
		if x.down || x.frozen > r.now {
			continue
		}
		running++
		v, _, ok := x.node.Active(r.clock(x))
		if !ok {
			r.off++
			continue
		}
		acted[v.Number] = v.Content
		if count[v.Number]++; r.first[v.Number] == 0 {
			r.first[v.Number] = r.now
		}
		if s, err := compatibility.Decode(v.Content); err == nil {
			share += 1 / float64(s.Routers)
		}
	}
	r.run += float64(running)
	r.result.Share = max(r.result.Share, share)
	for a, was := range acted {
		for b, is := range acted {
			if a >= b {
				continue
			}
			pair := [2]string{string(was), string(is)}
			excludes, known := r.excluded[pair]
			if !known {
				excludes, _ = compatibility.Incompatible(was, is)
				r.excluded[pair] = excludes
			}
			if excludes {
				r.result.Broken++
			}
			r.result.MaxMS = max(r.result.MaxMS, float64(r.now-r.first[b])/1e6)
		}
	}
	for number, at := range r.waiting {
		if count[number] == running && running > 0 {
			r.forces = append(r.forces, float64(r.now-at)/1e6)
			r.result.InForce++
			delete(r.waiting, number)
		} else if r.now-at > 60e9 {
			delete(r.waiting, number) // overtaken, or some are cut off
		}
	}
}

// trouble changes a setting, or does harm.
func (r *agreeRun) trouble() {
	x := r.nodes[r.rng.IntN(len(r.nodes))]
	switch r.rng.IntN(10) {
	case 0, 1, 2, 3:
		if x.down || x.frozen > r.now {
			return
		}
		s, err := compatibility.Decode(x.node.Newest().Content)
		if err != nil {
			panic(err) // only settings are proposed
		}
		switch r.rng.IntN(4) {
		case 0:
			s.Slots = 32 << r.rng.IntN(3)
		case 1:
			s.Routers = r.Instances + r.rng.IntN(50)
		case 2:
			s.DrainedEndpoints = []string{fmt.Sprint("s-", r.rng.IntN(9))}
		case 3:
			s.PurgeWindow = int64(4+r.rng.IntN(6)) * 1e9
		}
		content, err := compatibility.Encode(s)
		if err != nil {
			panic(err)
		}
		if x.node.Propose(r.clock(x), 1e12+r.now/1e6, content) == nil {
			r.result.Changes++
			r.carry(x)
			r.arm(x)
		}
	case 4:
		x.down = true
		life := x.life
		r.order.Push(r.now+int64(r.rng.IntN(10))*1e9, func() {
			if x.life == life {
				r.start(x)
			}
		})
	case 5:
		x.frozen = r.now + int64(r.rng.IntN(60))*1e9
	case 6:
		for _, y := range r.nodes {
			y.side = r.rng.IntN(2)
		}
		r.order.Push(r.now+6e9, func() {
			for _, y := range r.nodes {
				y.side = 0
			}
		})
	case 7:
		r.loss = 0.2
		r.order.Push(r.now+5e9, func() { r.loss = 0 })
	case 8:
		if r.rng.IntN(5) == 0 { // all restart
			for _, y := range r.nodes {
				r.start(y)
			}
		}
	}
}
