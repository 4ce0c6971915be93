package experiment

import (
	"fmt"
	"image/color"
	"math/rand/v2"
	"path/filepath"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"tealpath/internal/cluster"
	"tealpath/internal/cluster/membership"
	"tealpath/internal/experiment/counters"
	"tealpath/internal/timerqueue"
)

// MemberSim plays internal/cluster/membership in simulated time, by seed, or the counters that were before it.
type MemberSim struct {
	Instances int
	Span      int64 // ns
	Seed      uint64
	Interval  int64
	Quiet     int64   // silence from which a neighbour is reported
	Loss      float64 // of messages, all the time
	Faults    []string
	Every     int64 // between two faults, ns; 0: none
	Before    bool  // counters passed on
	Spread    int64 // over which all start
}

// MemberFaults are what can happen.
var MemberFaults = []string{"kill", "pause", "loss", "oneway", "deaf", "mute", "split", "flap", "late", "twice"}

// MemberSimResult is what it gave.
type MemberSimResult struct {
	Instances int     `json:"instances"`
	Before    bool    `json:"before"`
	Seconds   float64 `json:"simulated_s"`
	Kills     int     `json:"kills"`
	Detect50  float64 `json:"detect_p50_ms"` // until all that live believe it
	Detect99  float64 `json:"detect_p99_ms"`
	DetectMax float64 `json:"detect_max_ms"`
	Missed    int     `json:"kills_not_believed_by_all"`
	False     int     `json:"false_deaths"` // beliefs, each of one about another
	Pauses    int     `json:"pauses"`
	Judged    float64 `json:"oneway_judged_max_ms"` // until all agree on one that only hears, or only sends
	Unjudged  int     `json:"oneway_not_judged"`
	Disagree  float64 `json:"disagree_max_ms"` // handed views differ, from the end of the last fault on
	Bytes     float64 `json:"bytes_per_member_per_s"`
	Calm      float64 `json:"bytes_per_member_per_s_calm"` // over spans without a fault
	Messages  float64 `json:"messages_per_member_per_s"`
	Links     int     `json:"links_per_member_max"`
	Views     float64 `json:"view_changes"` // handed on, a member
	Formed    float64 `json:"formed_ms"`    // until all believe in all, after the start
}

// speaker is one member's protocol.
type speaker interface {
	tick(now int64) []packet
	heard(now int64, from string, p packet) []packet
	next() int64
	believes(name string) (dead, alive bool)
	view() (digest uint64, number uint64)
	links() int
}

type packet struct {
	to     string
	gossip any
	bytes  int
}

type ringSpeaker struct{ *membership.Table }

func wrap(m cluster.Message) int {
	raw, err := cbor.Marshal(m)
	if err != nil {
		panic(err) // the types are this program's
	}
	return len(raw) + 4 + 22 // a frame's length, and what TLS 1.3 adds to a record
}

func (s ringSpeaker) packets(tell []membership.Send) (out []packet) {
	for _, t := range tell {
		out = append(out, packet{t.To, t.Gossip, wrap(cluster.Message{Gossip: &t.Gossip, HighestBallot: 1 << 40})})
	}
	return out
}

func (s ringSpeaker) tick(now int64) []packet {
	tell, _ := s.Tick(now)
	return s.packets(tell)
}

func (s ringSpeaker) heard(now int64, from string, p packet) []packet {
	tell, _ := s.Receive(now, from, p.gossip.(membership.Gossip))
	return s.packets(tell)
}
func (s ringSpeaker) next() int64 { return s.Next() }
func (s ringSpeaker) believes(name string) (bool, bool) {
	v, _ := s.Member(name)
	return v.State == membership.Dead, v.State == membership.Alive
}
func (s ringSpeaker) view() (uint64, uint64) {
	number, digest, _ := s.ViewInfo()
	return digest, number
}
func (s ringSpeaker) links() int { return len(s.Peers()) }

type countSpeaker struct{ *counters.Table }

func (s countSpeaker) tick(now int64) (out []packet) {
	tell, _ := s.Tick(now)
	for _, t := range tell {
		raw, _ := cbor.Marshal(t.Entries)
		out = append(out, packet{t.To, t.Entries, len(raw) + 40})
	}
	return out
}

func (s countSpeaker) heard(now int64, _ string, p packet) []packet {
	s.Heard(now, p.gossip.([]counters.Entry))
	return nil
}
func (s countSpeaker) next() int64 { return s.Next() }
func (s countSpeaker) believes(name string) (bool, bool) {
	v, _ := s.View(name)
	return v.State == counters.Dead, v.State == counters.Alive
}
func (s countSpeaker) view() (digest, number uint64) {
	for _, e := range s.Alive() {
		for _, c := range []byte(e.Name) {
			digest = digest*31 + uint64(c)
		}
	}
	return digest, s.Version()
}
func (s countSpeaker) links() int { return len(s.All()) }

type simMember struct {
	name     string
	at       int
	speaker  speaker
	life     uint64
	down     bool
	paused   int64 // until
	deaf     bool
	mute     bool
	side     int
	troubled int64 // until then it may rightly be believed dead
	timer    int64
	waiting  []func()
}

type memberRun struct {
	MemberSim
	rng     *rand.Rand
	now     int64
	order   timerqueue.Queue[func()]
	members []*simMember
	byName  map[string]*simMember
	cut     map[[2]int]bool
	loss    float64
	delay   int64
	twice   bool
	result  MemberSimResult
	detect  []float64
	bytes   float64
	sent    int
	calmNS  float64
	calm    float64
	quietAt int64 // no fault is at work from then on
	differ  int64
	dead    map[[2]int]bool
	turn    int
}

// Run plays it.
func (s MemberSim) Run() MemberSimResult {
	r := &memberRun{MemberSim: s, rng: rand.New(rand.NewPCG(s.Seed, uint64(s.Instances))), byName: map[string]*simMember{},
		cut: map[[2]int]bool{}, loss: s.Loss, delay: 2e6, differ: -1, dead: map[[2]int]bool{},
		result: MemberSimResult{Instances: s.Instances, Before: s.Before}}
	for i := range s.Instances {
		m := &simMember{name: fmt.Sprintf("n%04d", i), at: i}
		r.members, r.byName[m.name] = append(r.members, m), m
		r.later(r.rng.Int64N(max(1, s.Spread)), func() { r.start(m) })
	}
	formed := int64(-1)
	r.quietAt = s.Spread + 20*s.Interval
	var look func()
	look = func() {
		if formed < 0 && r.whole() {
			formed = r.now
			r.result.Formed = float64(r.now-s.Spread) / 1e6
		}
		r.look()
		r.later(s.Interval/2, look)
	}
	r.later(s.Spread+s.Interval, look)
	if s.Every > 0 {
		var trouble func()
		trouble = func() {
			r.trouble()
			r.later(s.Every/2+r.rng.Int64N(s.Every), trouble)
		}
		r.later(s.Spread+40*s.Interval, trouble)
	}
	for r.order.Next() <= s.Span {
		at, next := r.order.Pop()
		r.now = at
		next()
	}
	slices.Sort(r.detect)
	if n := len(r.detect); n > 0 {
		r.result.Detect50, r.result.Detect99, r.result.DetectMax = r.detect[n/2], r.detect[min(n-1, n*99/100)], r.detect[n-1]
	}
	r.result.Seconds = float64(s.Span) / 1e9
	r.result.Bytes = r.bytes / r.result.Seconds / float64(s.Instances)
	r.result.Messages = float64(r.sent) / r.result.Seconds / float64(s.Instances)
	if r.calmNS > 0 {
		r.result.Calm = r.calm / (r.calmNS / 1e9) / float64(s.Instances)
	}
	for _, m := range r.members {
		if m.speaker != nil {
			_, number := m.speaker.view()
			r.result.Views += float64(number) / float64(s.Instances)
		}
	}
	if formed < 0 {
		r.result.Formed = -1
	}
	return r.result
}

func (r *memberRun) later(span int64, f func()) { r.order.Push(r.now+span, f) }

func (r *memberRun) start(m *simMember) {
	m.life++
	m.down, m.paused, m.waiting = false, 0, nil
	if r.Before {
		var contacts []counters.Contact
		for _, x := range r.members {
			contacts = append(contacts, counters.Contact{Name: x.name, Address: x.name, Weight: 1})
		}
		m.speaker = countSpeaker{counters.New(r.now, counters.Config{Self: counters.Entry{Name: m.name, Incarnation: m.life<<20 + uint64(m.at) + 1,
			Address: m.name, Weight: 1}, Contacts: contacts, Interval: r.Interval, Silence: 5 * r.Interval, Seed: r.rng.Uint64()})}
	} else {
		var contacts []membership.Contact
		for _, x := range r.members {
			contacts = append(contacts, membership.Contact{Name: x.name, Address: x.name, Weight: 1})
		}
		phase := r.rng.Int64N(r.Interval)
		m.speaker = ringSpeaker{membership.New(r.now, membership.Config{Self: membership.Entry{Name: m.name, Incarnation: r.rng.Uint64() | 1,
			Start: uint64(r.now/1e6) + 1, Address: m.name, Weight: 1}, Contacts: contacts, HeartbeatInterval: r.Interval, SilenceTimeout: r.Quiet,
			ReplacedTimeout: 5 * r.Interval, Seed: r.rng.Uint64(), NextHeartbeat: func(now int64) int64 { return now + r.Interval - (now+phase)%r.Interval }})}
	}
	r.arm(m)
}

// arm sets a member's timer.
func (r *memberRun) arm(m *simMember) {
	at := max(m.speaker.next(), r.now+1e6)
	m.timer = at
	life := m.life
	r.order.Push(at, func() {
		if m.life != life || m.timer != at || m.down {
			return
		}
		r.awake(m, func() {
			r.send(m, m.speaker.tick(r.now))
			r.arm(m)
		})
	})
}

// awake does something at a member once it is not paused.
func (r *memberRun) awake(m *simMember, f func()) {
	if m.paused <= r.now {
		f()
		return
	}
	life, at := m.life, m.paused
	m.waiting = append(m.waiting, f)
	if len(m.waiting) == 1 {
		r.order.Push(at, func() {
			if m.life != life || m.down {
				return
			}
			waiting := m.waiting
			m.waiting = nil
			for i := len(waiting) - 1; i >= 0; i-- { // the timer, as a rule, is seen first: nothing is known of the time away
				waiting[i]()
			}
		})
	}
}

func (r *memberRun) send(from *simMember, out []packet) {
	for _, p := range out {
		to := r.byName[p.to]
		r.bytes += float64(p.bytes)
		r.sent++
		if r.now >= r.quietAt {
			r.calm += float64(p.bytes)
		}
		if to == nil || from.mute || to.deaf || to.side != from.side || r.cut[[2]int{from.at, to.at}] || r.rng.Float64() < r.loss {
			continue
		}
		times := 1
		if r.twice && r.rng.IntN(2) == 0 {
			times = 2
		}
		for range times {
			life, start := to.life, from.life
			r.later(r.delay/2+r.rng.Int64N(r.delay), func() {
				if to.down || to.life != life || to.speaker == nil || from.life != start {
					return
				}
				r.awake(to, func() {
					r.send(to, to.speaker.heard(r.now, from.name, p))
					if next := to.speaker.next(); next < to.timer {
						r.arm(to)
					}
				})
			})
		}
	}
	if r.sent%16 == 0 || r.now < r.quietAt {
		r.result.Links = max(r.result.Links, from.speaker.links())
	}
}

// fit tells whether a member is there to believe something, and to be believed in.
func (r *memberRun) fit(m *simMember) bool {
	return !m.down && m.speaker != nil && m.paused <= r.now && !m.deaf && !m.mute
}

func (r *memberRun) whole() bool {
	for _, m := range r.members {
		if !r.fit(m) {
			return false
		}
		for _, x := range r.members {
			if _, alive := m.speaker.believes(x.name); x != m && !alive {
				return false
			}
		}
	}
	return true
}

// look counts what is believed wrongly, and whether the views handed on differ.
func (r *memberRun) look() {
	const lookers = 24 // at large sizes some look at a time, in turn
	r.turn++
	for i, m := range r.members {
		if !r.fit(m) || len(r.members) > 2*lookers && (i+r.turn)%(len(r.members)/lookers) != 0 {
			continue
		}
		for _, x := range r.members {
			if x == m || !r.fit(x) || x.troubled > r.now || m.troubled > r.now || x.side != m.side {
				continue
			}
			pair := [2]int{m.at, x.at}
			if dead, _ := m.speaker.believes(x.name); dead != r.dead[pair] {
				if r.dead[pair] = dead; dead {
					r.result.False++
				}
			}
		}
	}
	if r.now < r.quietAt {
		r.differ = -1
		return
	}
	r.calmNS += float64(r.Interval / 2)
	same, first, seen := true, uint64(0), false
	for _, m := range r.members {
		if r.fit(m) {
			digest, _ := m.speaker.view()
			same = same && (!seen || digest == first)
			first, seen = digest, true
		}
	}
	switch {
	case same:
		r.differ = -1
	case r.differ < 0:
		r.differ = r.quietAt
		fallthrough
	default:
		r.result.Disagree = max(r.result.Disagree, float64(r.now-r.differ)/1e6)
	}
}

// until notes that a fault is at work for a while, and what it may rightly cause for so much longer.
func (r *memberRun) until(span int64) { r.quietAt = max(r.quietAt, r.now+span) }

func (r *memberRun) trouble() {
	if r.now < r.quietAt {
		return // one at a time: figures are each of one fault
	}
	x := r.members[r.rng.IntN(len(r.members))]
	if !r.fit(x) {
		return
	}
	switch fault := r.Faults[r.rng.IntN(len(r.Faults))]; fault {
	case "kill":
		r.kill(x, 20e9)
	case "pause":
		span := []int64{5e8, 15e8, 5e9, 30e9}[r.rng.IntN(4)]
		r.result.Pauses++
		x.paused = r.now + span
		if span > 15e8 {
			x.troubled = x.paused + 5e9
		}
		r.until(span + 5e9)
	case "loss":
		was := r.loss
		r.loss = 0.2
		r.until(15e9)
		r.later(10e9, func() { r.loss = was })
	case "late":
		was := r.delay
		r.delay = 500e6
		r.until(15e9)
		r.later(10e9, func() { r.delay = was })
	case "twice":
		r.twice = true
		r.until(12e9)
		r.later(10e9, func() { r.twice = false })
	case "oneway":
		y := r.members[r.rng.IntN(len(r.members))]
		r.cut[[2]int{x.at, y.at}] = true
		r.until(15e9)
		r.later(10e9, func() { clear(r.cut) })
	case "deaf", "mute":
		x.deaf, x.mute = fault == "deaf", fault == "mute"
		r.believed(x, func(ms float64) { r.result.Judged = max(r.result.Judged, ms) }, func() { r.result.Unjudged++ }, 5e9)
		x.troubled = r.now + 15e9
		r.until(15e9)
		r.later(8e9, func() { x.deaf, x.mute = false, false })
	case "split":
		for _, m := range r.members {
			if m.at%3 == 0 {
				m.side = 1
			}
			m.troubled = r.now + 15e9
		}
		r.until(15e9)
		r.later(10e9, func() {
			for _, m := range r.members {
				m.side = 0
			}
		})
	case "flap":
		for i := range int64(8) {
			r.later(i*1e9, func() { x.mute = i%2 == 0 })
		}
		x.troubled = r.now + 14e9
		r.until(14e9)
	}
}

// kill ends a member, and has it back later.
func (r *memberRun) kill(x *simMember, back int64) {
	r.result.Kills++
	x.down = true
	x.life++
	x.troubled = r.now + back + 5e9
	r.until(back + 5e9)
	r.believed(x, func(ms float64) { r.detect = append(r.detect, ms) }, func() { r.result.Missed++ }, back)
	r.later(back, func() { r.start(x) })
}

// believed waits until all others that are fit believe one dead.
func (r *memberRun) believed(x *simMember, yes func(ms float64), no func(), within int64) {
	began := r.now
	var look func()
	look = func() {
		if r.now-began >= within {
			no()
			return
		}
		for _, m := range r.members {
			if m == x || !r.fit(m) {
				continue
			}
			if dead, _ := m.speaker.believes(x.name); !dead {
				r.later(20e6, look)
				return
			}
		}
		yes(float64(r.now-began) / 1e6)
	}
	r.later(20e6, look)
}

// Broken tells whether a bound of docs/membership.md is.
func (r MemberSimResult) Broken() bool {
	return r.DetectMax > detectBound || r.Missed+r.False+r.Unjudged > 0 || r.Judged > judgedBound || r.Disagree > agreeBound ||
		r.Links > linksBound
}

// ChartMembers draws detection and bytes by size.
func ChartMembers(out string, plays []MemberSimResult) error {
	for name, figure := range map[string]func(MemberSimResult) float64{
		"bytes":  func(r MemberSimResult) float64 { return r.Calm },
		"detect": func(r MemberSimResult) float64 { return r.Detect99 },
	} {
		p := plot.New()
		p.Title.Text = map[string]string{"bytes": "Bytes a member sends a second, no fault at work, simulated",
			"detect": "Until all believe a killed one dead, p99, simulated"}[name]
		p.X.Label.Text, p.Y.Label.Text, p.Y.Min = "members", map[string]string{"bytes": "bytes a second", "detect": "ms"}[name], 0
		for _, before := range []bool{true, false} {
			var points plotter.XYs
			for _, r := range plays {
				if r.Before == before {
					points = append(points, plotter.XY{X: float64(r.Instances), Y: figure(r)})
				}
			}
			if len(points) == 0 {
				continue
			}
			line, dots, err := plotter.NewLinePoints(points)
			if err != nil {
				return err
			}
			line.Color = color.RGBA{B: 0xc0, A: 0xff}
			label := "now"
			if before {
				line.Color, label = color.RGBA{R: 0xb0, A: 0xff}, "before"
			}
			p.Add(line, dots)
			p.Legend.Add(label, line)
		}
		if err := p.Save(16*vg.Centimeter, 10*vg.Centimeter, filepath.Join(out, "members-"+name+".svg")); err != nil {
			return err
		}
	}
	return nil
}
