package experiment

import (
	"cmp"
	"encoding/csv"
	"encoding/json"
	"errors"
	"fmt"
	"image/color"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"tealpath/control"
	"tealpath/internal/connpool"
	"tealpath/internal/emulator/cache"
	"tealpath/internal/lifecycle/startup"
	"tealpath/internal/router"
	"tealpath/internal/timerqueue"
)

// FleetCold is a cold start of whole routers (the module, the reducer, internal/lifecycle/startup, internal/connpool) in simulated time, with
// caches that bear little, a list service that can be down, and clients that come again. One goroutine, by seed.
type FleetCold struct {
	Routers, Caches int
	Seed            uint64
	Faults          string // one of FleetFaults
	Span            int64  // ns
	Rate            float64
	Tries           int     // of a client for one object, the first included
	Before          bool    // calls without chance, links as dispatches need them
	Holds           int     // connections that a cache holds; 0 is four for each three routers
	Opens           float64 // connections that it takes a second; 0 is no bound
	Hold            int64
	Bound           int     // routers that the settings tell; 0 is as many as there are
	Listed          bool    // the configuration knows the list
	Bears           float64 // calls a second that the list service takes; 0 is 100
}

// FleetFaults are what can be wrong in simulated time.
var FleetFaults = []string{"none", "list-down", "list-slow", "caches-cold", "caches-silent", "cache-hangs", "retries", "half-killed"}

// FleetColdResult is what it gave.
type FleetColdResult struct {
	Faults    string        `json:"faults"`
	Before    bool          `json:"before"`
	Routers   int           `json:"routers"`
	Peak      int           `json:"list_connects_peak_per_s"`
	CachePeak int           `json:"cache_connections_peak"`
	Holds     int           `json:"cache_connections_held"`
	Denied    int           `json:"cache_connections_refused"`
	Worst     float64       `json:"cold_budget_worst_share"`
	Fallen    int           `json:"caches_fallen"`
	Listed99  float64       `json:"time_to_listed_p99_ms"`
	Whole99   float64       `json:"time_to_whole_p99_ms"`
	Sent      int           `json:"sent"`
	Settled10 float64       `json:"settled_share_first_10s"`
	Settled   float64       `json:"settled_share"`
	Back      float64       `json:"usual_service_again_s"` // after the cause ended; -1 is never
	Lost      int           `json:"lost"`
	Connects  int           `json:"connects"`
	Seconds   []FleetSecond `json:"-"`
}

func (r FleetColdResult) String() string {
	raw, _ := json.Marshal(r)
	return string(raw)
}

// FleetSecond is one second of it; shares are of the wanted objects whose clients' first try came then.
type FleetSecond struct {
	Calls, Connects, Wanted, Settled, Fallen, Open int
}

const (
	wireTime   = int64(5e5) // one way
	fleetWork  = int64(60e6)
	fleetFill  = int64(60e6)
	coldFor    = int64(15e9)
	fleetDown  = int64(5e9) // until when the fault of the list service lasts
	fleetUnits = 8
	wanted     = 4000 // objects
)

type coldPlay struct {
	FleetCold
	rng     *rand.Rand
	now     int64
	order   timerqueue.Queue[func()]
	routers []*coldRouter
	caches  []*cache.CapacityModel
	silent  []bool
	free    int64 // when the list service takes the next call
	perCall int64
	res     FleetColdResult
	asked   map[coldAsk]*coldWant
	seq     int32
}

type coldAsk struct {
	router int
	seq    int32
}

type coldWant struct {
	object uint64
	tries  int
	second int
	until  int64
}

type coldRouter struct {
	id     int
	life   int // starts
	r      *router.Router
	calls  *startup.CallSchedule
	start  *startup.Progress
	wait   int64 // the last, before
	links  map[router.ConnectionID]int
	timer  int64
	listed bool
	began  int64
	known  float64
	whole  float64
}

func (p *coldPlay) at(when int64, f func()) { p.order.Push(max(when, p.now), f) }

// Run plays it.
func (f FleetCold) Run() (FleetColdResult, error) {
	if !slices.Contains(FleetFaults, f.Faults) {
		return FleetColdResult{}, fmt.Errorf("faults are one of %v", FleetFaults)
	}
	f.Tries, f.Bound = max(1, f.Tries), cmp.Or(f.Bound, f.Routers)
	f.Holds = cmp.Or(f.Holds, f.Routers*4/3)
	p := &coldPlay{FleetCold: f, rng: rand.New(rand.NewPCG(f.Seed, 0xc01d)), asked: map[coldAsk]*coldWant{}, now: 1e18}
	begin := p.now
	p.res = FleetColdResult{Faults: f.Faults, Before: f.Before, Routers: f.Routers, Holds: f.Holds,
		Seconds: make([]FleetSecond, f.Span/1e9+2)}
	for i := range f.Caches {
		b := cache.Limits{
			MaxConnections: f.Holds,
			Concurrency:    fleetUnits,
			ServiceTime:    fleetWork,
			FillTime:       fleetFill,
			InitialShare:   .16,
			OverloadFactor: 2.5,
			WarmUpDuration: coldFor,
			OverloadWindow: 15e8,
			DownTime:       3e9,
		}
		started := int64(0)
		if f.Faults == "caches-cold" || f.Faults == "retries" {
			started = begin
		}
		b.Unresponsive = f.Faults == "cache-hangs" && i == 0
		p.caches = append(p.caches, cache.NewCapacityModel(b, started))
		p.silent = append(p.silent, f.Faults == "caches-silent" && i%3 == 0)
	}
	if p.perCall = int64(1e9 / cmp.Or(f.Bears, 100)); f.Faults == "list-slow" {
		p.perCall *= 4
	}
	for i := range f.Routers {
		x := &coldRouter{id: i}
		p.routers = append(p.routers, x)
		p.at(begin+p.rng.Int64N(1e9), func() { p.begin(x) })
	}
	if f.Faults == "half-killed" {
		p.at(begin+fleetDown, func() {
			for _, x := range p.routers[:f.Routers*7/10] {
				p.kill(x)
				p.at(p.now+1e8+p.rng.Int64N(1e9), func() { p.begin(x) })
			}
		})
	}
	gap := int64(1e9 / f.Rate)
	var ask func()
	ask = func() {
		p.want(&coldWant{object: uint64(float64(wanted) * math.Pow(p.rng.Float64(), 2.5)), second: p.second(begin)})
		p.at(p.now+gap/2+p.rng.Int64N(gap), ask)
	}
	p.at(begin+1e9, ask) // once all processes run
	for end := begin + f.Span; p.order.Next() <= end; {
		at, next := p.order.Pop()
		p.now = at
		next()
	}
	return p.result(begin), nil
}

func (p *coldPlay) second(begin int64) int { return int((p.now - begin) / 1e9) }

func (p *coldPlay) this() *FleetSecond {
	return &p.res.Seconds[min(int((p.now-1e18)/1e9), len(p.res.Seconds)-1)]
}

// settings are a deployment of one location.
func (f FleetCold) settings() control.Settings {
	settings := control.DefaultSettings()
	settings.Location = "here"
	settings.Routers = f.Bound
	settings.LocationRouters = max(1, f.Bound)
	settings.MaxAttempts = 6
	settings.Hedging = true
	settings.CancelAttempts = true
	settings.RetryAfter = true
	settings.MaxRetryAfter = 5e8
	settings.ConnectTimeout = 4e8
	settings.MaxStreamsPerConnection = 100
	settings.AnswerGrace = 8e6
	settings.MaxInFlight = 1000
	settings.LongestDeadline = 12e8
	settings.Classes = []control.ClassSettings{{
		Name:             "stills",
		LatencyObjective: 4e8,
		PriorityWeight:   1,
		Idempotency:      control.Idempotent,
		KeyScope:         control.ScopeAll,
	}}
	settings.CacheSlowStart = control.SlowStartSettings{Share: .16, Factor: 2.5, Window: 15e8, WarmUpDuration: coldFor}
	settings.ParentSlowStart = control.SlowStartSettings{Share: 1, Factor: 2.5, Window: 15e8}
	return settings
}

func (p *coldPlay) begin(x *coldRouter) {
	seed := p.Seed*1_000_003 + uint64(x.id) + uint64(x.life)<<40
	limits := router.Limits{MaxConnections: 256, MaxInFlight: 1000, MaxBodyBytes: 1 << 22}
	if !p.Before {
		limits.ConnectionPlan = connpool.New(connpool.Config{Router: fmt.Sprint("n", x.id), Seed: seed, Routers: p.Bound, MaxConnections: p.Holds,
			MaxConnectRate: p.Opens})
	}
	x.r = router.New(p.now, seed, p.settings(), limits)
	holding := startup.ReadinessHold{}
	if p.Hold > 0 {
		holding = startup.ReadinessHold{CallRate: float64(p.Routers) / float64(p.Hold) * 1.25e9, MaxDuration: p.Hold}
	}
	x.calls, x.start = startup.NewCallSchedule(seed, p.Bound, holding), startup.NewProgress(p.now, startup.RateWindow, holding)
	x.links, x.listed, x.wait, x.began, x.timer = map[router.ConnectionID]int{}, false, 0, p.now, 0
	x.known, x.whole = 0, 0
	if p.Listed {
		p.listTo(x)
	}
	if p.Before {
		p.call(x)
		return
	}
	p.callIn(x, x.calls.FirstDelay())
}

func (p *coldPlay) callIn(x *coldRouter, wait int64) {
	life := x.life
	p.at(p.now+wait, func() {
		if x.life == life {
			p.call(x)
		}
	})
}

// call is a router's call of the list service.
func (p *coldPlay) call(x *coldRouter) {
	p.this().Calls++
	again := func(how startup.CallResult) {
		if p.Before {
			x.wait = min(max(2*x.wait, 5e7), 5e8)
			p.callIn(x, x.wait)
			return
		}
		p.callIn(x, x.calls.CallEnded(p.now, how))
	}
	if p.Faults == "list-down" && p.now < 1e18+fleetDown {
		again(startup.Refused)
		return
	}
	p.free = max(p.free, p.now) + p.perCall
	wait, patience := p.free-p.now, int64(17e8)
	if !p.Before {
		patience = x.calls.ReadTimeout()
	}
	life := x.life
	if wait > patience {
		p.at(p.now+patience, func() {
			if x.life == life {
				again(startup.Unanswered)
			}
		})
		return
	}
	p.at(p.now+wait+wireTime, func() {
		if x.life != life {
			return
		}
		x.calls.DataReceived()
		x.start.ServiceReached(p.now)
		p.listTo(x)
	})
}

func (p *coldPlay) listTo(x *coldRouter) {
	var lines []router.EndpointEntry
	for i, c := range p.caches {
		lines = append(lines, router.EndpointEntry{Instance: fmt.Sprintf("s-%03d", i), Address: strconv.Itoa(i),
			Endpoint: control.Endpoint{Location: "here", Kind: "cache", Phase: "ready", Capacity: fleetUnits, StartedAt: c.StartedAt()}})
	}
	if x.start.ListReceived(); x.known == 0 {
		x.known = float64(p.now-x.began) / 1e6
	}
	x.listed = true
	x.calls.ListReceived()
	p.handle(x, router.EndpointListUpdated{Complete: true, Entries: lines})
}

func (p *coldPlay) kill(x *coldRouter) {
	x.life++
	for _, id := range sortedIDs(x.links) {
		p.caches[x.links[id]].Disconnect()
	}
	x.links, x.listed = map[router.ConnectionID]int{}, false
	for ask := range p.asked {
		if ask.router == x.id {
			delete(p.asked, ask) // its clients know: the connection was reset
		}
	}
}

func sortedIDs(m map[router.ConnectionID]int) []router.ConnectionID {
	ids := make([]router.ConnectionID, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// want is a client's try for an object, at any router.
func (p *coldPlay) want(w *coldWant) {
	if w.tries == 0 {
		p.res.Sent++
		p.res.Seconds[w.second].Wanted++
		w.until = p.now + 15e8
	}
	w.tries++
	x := p.routers[p.rng.IntN(len(p.routers))]
	if !x.listed || !x.start.Ready(p.now) { // its health is not good: the client asks elsewhere, a moment later
		p.comeAgain(w, 2e8)
		return
	}
	p.seq++
	p.asked[coldAsk{x.id, p.seq}] = w
	request, err := router.DecodeRequest(map[string]string{
		"verb":  "stills",
		"txn":   fmt.Sprintf("%016x", uint64(p.seq)),
		"limit": "1000",
		"item":  fmt.Sprintf("%016x", w.object),
		"nth":   "0",
		"batch": "17",
	}, nil)
	p.handle(x, router.RequestReceived{Client: 1, Seq: p.seq, Request: request, DecodeError: err})
}

func (p *coldPlay) comeAgain(w *coldWant, later int64) {
	if w.tries < p.Tries && p.now+later < w.until {
		p.at(p.now+later, func() { p.want(w) })
	}
}

func (p *coldPlay) handle(x *coldRouter, e router.Event) {
	life := x.life
	after := func(wait int64, f func()) {
		p.at(p.now+wait, func() {
			if x.life == life {
				f()
			}
		})
	}
	for _, effect := range slices.Clone(x.r.Handle(p.now, e)) {
		switch e := effect.(type) {
		case router.SetTimer:
			x.timer = e.At
			after(e.At-p.now, func() {
				if x.timer == e.At {
					if phase, changed := x.start.Update(p.now); changed && phase == startup.Warm {
						x.whole = float64(p.now-x.began) / 1e6
					}
					p.handle(x, router.TimerFired{})
				}
			})
		case router.Dial:
			p.this().Connects++
			p.res.Connects++
			i, _ := strconv.Atoi(e.Address)
			if p.silent[i] {
				after(e.Timeout, func() { p.handle(x, router.ConnectionDown{Connection: e.Connection}) })
				continue
			}
			after(wireTime, func() {
				if !p.caches[i].Connect(p.now) {
					p.handle(x, router.ConnectionDown{Connection: e.Connection})
					return
				}
				x.links[e.Connection] = i
				p.this().Open = max(p.this().Open, p.caches[i].PeakConnections)
				p.handle(x, router.ConnectionUp{Connection: e.Connection})
			})
		case router.Send:
			after(wireTime, func() { p.ask(x, e, after) })
		case router.Close:
			if i, up := x.links[e.Connection]; up {
				delete(x.links, e.Connection)
				p.caches[i].Disconnect()
			}
		case router.Respond:
			p.answered(x, e)
		}
	}
}

// ask is a request that reaches a cache.
func (p *coldPlay) ask(x *coldRouter, e router.Send, after func(int64, func())) {
	i, up := x.links[e.Connection]
	if !up {
		return
	}
	c := p.caches[i]
	response := c.Request(p.now, e.Request.Object)
	wait, fill, fell := response.Delay, response.Fill, response.Crashed
	if fell {
		p.this().Fallen++
		for _, other := range p.routers {
			for _, id := range sortedIDs(other.links) {
				if other.links[id] == i {
					delete(other.links, id)
					life := other.life
					p.at(p.now+wireTime, func() {
						if other.life == life {
							p.handle(other, router.ConnectionDown{Connection: id})
						}
					})
				}
			}
		}
		return
	}
	if c.Unresponsive {
		return
	}
	note := int64(1)
	if fill {
		note = 2
	}
	after(wait+wireTime, func() {
		if _, up := x.links[e.Connection]; up {
			p.handle(x, router.ResponseReceived{Connection: e.Connection, ID: e.Request.ID, Result: control.Succeeded, Note: note})
		}
	})
}

func (p *coldPlay) answered(x *coldRouter, e router.Respond) {
	w := p.asked[coldAsk{x.id, e.Seq}]
	if w == nil {
		return
	}
	delete(p.asked, coldAsk{x.id, e.Seq})
	if e.Kind == router.Served {
		p.res.Seconds[w.second].Settled++
		return
	}
	later := e.RetryAfter
	if p.Faults == "retries" {
		later = min(later, 5e7) // these do not heed advice
	}
	p.comeAgain(w, later)
}

func (p *coldPlay) result(begin int64) FleetColdResult {
	r := &p.res
	settled, sent, all := 0, 0, 0
	for i, s := range r.Seconds {
		r.Peak = max(r.Peak, s.Calls)
		if all += s.Settled; i < 11 { // the first second is the processes' own
			settled, sent = settled+s.Settled, sent+s.Wanted
		}
	}
	r.Settled10, r.Settled = float64(settled)/math.Max(1, float64(sent)), float64(all)/math.Max(1, float64(r.Sent))
	for _, c := range p.caches {
		r.CachePeak, r.Worst, r.Denied = max(r.CachePeak, c.PeakConnections), math.Max(r.Worst, c.PeakLoad), r.Denied+c.RefusedConnections
		r.Fallen += c.Crashes
	}
	// What was asked longer ago than a client waits has had its answer, or is lost.
	for ask, w := range p.asked {
		if w.until+3e9 < p.now && p.routers[ask.router].listed {
			r.Lost++
		}
	}
	var known, whole []float64
	for _, x := range p.routers {
		known, whole = append(known, cmp.Or(x.known, math.Inf(1))), append(whole, cmp.Or(x.whole, math.Inf(1)))
	}
	slices.Sort(known)
	slices.Sort(whole)
	r.Listed99, r.Whole99 = finite(known[len(known)*99/100]), finite(whole[len(whole)*99/100])
	r.Back = -1
	last := len(r.Seconds) - 4
	usual := r.share(max(0, last-3), last)
	for from := int(p.cause() / 1e9); from+2 < last; from++ {
		if r.share(from, from+2) >= 0.95*usual {
			r.Back = float64(from) - float64(p.cause())/1e9
			break
		}
	}
	return *r
}

func finite(x float64) float64 {
	if math.IsInf(x, 1) {
		return -1
	}
	return x
}

// cause is when the cause of trouble has ended, ns from the start.
func (f FleetCold) cause() int64 {
	switch f.Faults {
	case "list-down", "half-killed":
		return fleetDown
	case "caches-cold", "retries":
		return coldFor
	}
	return 1e9
}

// share is the part of what was wanted in some seconds that was settled.
func (r *FleetColdResult) share(from, to int) float64 {
	wanted, settled := 0, 0
	for _, s := range r.Seconds[from:to] {
		wanted, settled = wanted+s.Wanted, settled+s.Settled
	}
	return float64(settled) / math.Max(1, float64(wanted))
}

// KeepFleet writes plays of one fault as a table and charts.
func KeepFleet(out string, plays ...FleetColdResult) error {
	name := fmt.Sprintf("coldfleet-%s-%d", plays[0].Faults, plays[0].Routers)
	file, err := os.Create(filepath.Join(out, name+".csv"))
	if err != nil {
		return err
	}
	defer file.Close()
	w := csv.NewWriter(file)
	w.Write([]string{"before", "second", "calls", "connects", "wanted", "settled", "fallen"})
	for _, r := range plays {
		for i, s := range r.Seconds {
			row := []string{strconv.FormatBool(r.Before)}
			for _, n := range []int{i, s.Calls, s.Connects, s.Wanted, s.Settled, s.Fallen} {
				row = append(row, strconv.Itoa(n))
			}
			w.Write(row)
		}
	}
	w.Flush()
	draw := func(what, unit string, figure func(FleetSecond) float64) error {
		p := plot.New()
		p.Title.Text = fmt.Sprintf("%s, %d routers, %s, simulated", what, plays[0].Routers, plays[0].Faults)
		p.X.Label.Text, p.Y.Label.Text = "s after the start", unit
		for _, r := range plays {
			points := make(plotter.XYs, len(r.Seconds))
			for i, s := range r.Seconds {
				points[i] = plotter.XY{X: float64(i), Y: figure(s)}
			}
			line, err := plotter.NewLine(points)
			if err != nil {
				return err
			}
			label := "now"
			if line.Color = (color.RGBA{B: 0xc0, A: 0xff}); r.Before {
				label, line.Color = "before", color.RGBA{R: 0xb0, A: 0xff}
			}
			p.Add(line)
			p.Legend.Add(label, line)
		}
		p.Legend.Top = true
		return p.Save(16*vg.Centimeter, 10*vg.Centimeter, filepath.Join(out, name+"-"+unit[:4]+".svg"))
	}
	return errors.Join(w.Error(),
		draw("Settled of what is wanted", "share settled", func(s FleetSecond) float64 { return float64(s.Settled) / math.Max(1, float64(s.Wanted)) }),
		draw("Calls at the list service", "calls a second", func(s FleetSecond) float64 { return float64(s.Calls) }),
		draw("Connections opened to caches", "opened a second", func(s FleetSecond) float64 { return float64(s.Connects) }))
}
