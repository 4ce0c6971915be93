package experiment

import (
	"bufio"
	"cmp"
	"context"
	"encoding/csv"
	"errors"
	"fmt"
	"image/color"
	"io"
	"math"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"tealpath/internal/emulator/cache"
	"tealpath/internal/emulator/discoveryserver"
	"tealpath/internal/lifecycle/startup"
)

// Coldstart starts many real routers within a second, with a list service that bears little or fails, and plays clients.
type Coldstart struct {
	Routers int
	Caches  int
	Seed    uint64
	Faults  string // one of ColdFaults
	Span    time.Duration
	Rate    float64 // retrievals a second, all routers together
	Folder  string
	Out     string
	Process io.Writer
	Told    int // routers that the settings tell; 0 is as many as there are
	Holds   int // connections that a cache holds; 0 is four for each three routers
}

// ColdFaults are what can be wrong while the routers start.
var ColdFaults = []string{"none", "list-down", "list-slow", "list-half", "list-old", "list-restart", "half-killed", "killed-twice",
	"caches-cold", "caches-silent", "cache-hangs", "drained"}

// ColdResult is what one play gave.
type ColdResult struct {
	Binary       string  `json:"binary"`
	Faults       string  `json:"faults"`
	Routers      int     `json:"routers"`
	Calls        int     `json:"list_calls"`
	CallsPeak    int     `json:"list_connects_peak_per_s"`
	CallsPeak100 int     `json:"list_connects_peak_per_100ms"`
	ListBytes    int     `json:"list_bytes"`
	CachePeak    int     `json:"cache_connections_peak"`
	Listed50     float64 `json:"time_to_listed_p50_ms"`
	Listed99     float64 `json:"time_to_listed_p99_ms"`
	Unlisted     int     `json:"unlisted"`
	Sent         int     `json:"sent"`
	Settled      float64 `json:"settled_share_first_10s"`
	Lost         int     `json:"lost"`
	Hold         float64 `json:"hold_s"`
	Links        bool    `json:"links"`
	Holds        int     `json:"cache_connections_held"`
	Denied       int     `json:"cache_connections_refused"`
	Worst        float64 `json:"cold_budget_worst_share"`
	Fallen       int     `json:"caches_fallen"`
	Whole99      float64 `json:"time_to_whole_p99_ms"`
	Stale        int     `json:"stale_list_dispatches"`
	CPU          float64 `json:"cpu_ms_a_router"`
	Resident     int64   `json:"resident_kb_a_router"`
	Bound        int     `json:"bound_connects_per_s"`
}

// Bounds of a cold start (docs/coldstart.md). Calls are counted as they reach the service; on a machine with fewer cores
// than routers their own lateness bunches them, so a half is allowed beside what the decisions alone keep to.
const coldSlack = 1.5

// coldRate is the peak that docs/coldstart.md derives for so many routers, calls a second.
func coldRate(routers int) int {
	return int(coldSlack * 1.1 * math.Max(20, float64(routers)))
}

// outage is for how long a fault of the list service lasts.
const outage = 5 * time.Second

// health asks a router whether it is good.
func health(address string) bool {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(time.Second))
	conn.Write(call("health", 1, []byte{0}))
	var head [4]byte
	in := bufio.NewReader(conn)
	if _, err := io.ReadFull(in, head[:]); err != nil {
		return false
	}
	frame := make([]byte, int(head[2])<<8|int(head[3]))
	_, err = io.ReadFull(in, frame)
	return err == nil && strings.Contains(string(frame), "\x02\x00\x03\x01")
}

// file is the operator's file of a play; empty is none.
func (c Coldstart) file(hold time.Duration, links bool) (text string) {
	if hold > 0 {
		text = fmt.Sprintf("(start (rate %g) (hold %s))\n", float64(c.Routers)/hold.Seconds()*1.25, hold)
	}
	if links {
		text += fmt.Sprintf("(links (holds %d) (opens %d))\n", c.Holds, c.Holds)
	}
	return text
}

// Run plays one build, with the hold or without, with links planned or as dispatches need them.
func (c Coldstart) Run(ctx context.Context, binary string, hold time.Duration, links bool) (result ColdResult, err error) {
	c.Holds, c.Told = cmp.Or(c.Holds, c.Routers*4/3), cmp.Or(c.Told, c.Routers)
	result = ColdResult{Binary: filepath.Base(binary), Faults: c.Faults, Routers: c.Routers, Bound: coldRate(c.Routers), Hold: hold.Seconds(),
		Links: links, Holds: c.Holds}
	if !slices.Contains(ColdFaults, c.Faults) {
		return result, fmt.Errorf("faults are one of %s", strings.Join(ColdFaults, ", "))
	}
	service, err := discoveryserver.Start()
	if err != nil {
		return result, err
	}
	defer service.Close()
	var members []string
	var caches []*cache.Cache
	for i := range c.Caches {
		x, err := cache.Start(fmt.Sprintf("s-%03d", i), "")
		if err != nil {
			return result, err
		}
		defer x.Close()
		caches = append(caches, x)
		limits := cache.Limits{
			MaxConnections: c.Holds,
			Concurrency:    4,
			ServiceTime:    5e6,
			FillTime:       20e6,
			InitialShare:   .16,
			OverloadFactor: 2.5,
			WarmUpDuration: 8e9,
			OverloadWindow: 15e8,
			DownTime:       3e9,
		}
		started, ms := time.Unix(0, 0), int64(0)
		if c.Faults == "caches-cold" {
			started = time.Now()
			ms = started.UnixMilli()
		}
		limits.Unresponsive = c.Faults == "cache-hangs" && i == 0 || c.Faults == "caches-silent" && i%3 == 0
		x.SetLimits(limits, started)
		members = append(members, listed(x, ms))
	}
	tell := func(generation int) {
		service.Publish(fmt.Sprintf(`{"pos":%%d,"hosts":{"generation":%d,"reset":true,"instances":[%s]}}`, generation,
			strings.Join(members, ",")))
	}
	tell(1)
	known := "null"
	if c.Faults == "drained" { // after the configuration was written, before the routers start
		known = service.KnownEvents()
		service.Publish(`{"pos":%d,"hosts":{"generation":2,"instances":[` + strings.Replace(members[0], "active", "leaving", 1) + `]}}`)
	}
	switch c.Faults {
	case "list-down":
		service.Stop()
	case "list-slow":
		service.SetBehavior(discoveryserver.Behavior{MaxCallRate: 10})
	case "list-half":
		service.SetBehavior(discoveryserver.Behavior{Truncate: true})
	case "list-old":
		for i := range members[1:] { // what it tells first is of before: all but one drain
			service.Publish(`{"pos":%d,"hosts":{"generation":2,"instances":[` + members[1+i] + `]}}`)
		}
		service.SetBehavior(discoveryserver.Behavior{Stale: true})
	}
	addresses := make([]string, c.Routers)
	for i := range addresses {
		if addresses[i], err = free(); err != nil {
			return result, err
		}
		config := fmt.Sprintf(`{"name":"n%d","listen":"%s","seed":"%016x","limits":{"cores":1,"memory_mb":32,"sockets":256},
 "journal":"%s","known":%s,"settings":{"balancers":%d,"locality":"here","failureDomains":["here"],"machineTypes":["cache"],
 "familyInfo":{"zoneBalancers":[%d],"purgeTakesS":6},"limits":{"attemptsCap":6,"cancel":true,"secondCopies":true,
 "retryAfter":true,"maxRetryAfterS":0.5,"dialTimeoutS":0.4,"connIdleS":30,"streamsPerConn":100,"maxOpen":1000},
 "obligations":{"graceToAnswerS":0.008,"coldFrom":0.16,"warmUpS":8,"overloadFactor":2.5,"fallS":1.5},
 "profiles":[{"name":"stills","onTimeS":0.4,"deadlineS":1.2,"points":1,"effect":"retryable","keyScope":"all"}]}}`,
			i, addresses[i], c.Seed*1000+uint64(i)+1, service.Address(), known, c.Told, c.Told)
		if err := os.WriteFile(filepath.Join(c.Folder, fmt.Sprintf("n%d.json", i)), []byte(config), 0o600); err != nil {
			return result, err
		}
	}
	file := c.file(hold, links)
	if err := os.WriteFile(filepath.Join(c.Folder, "operator.sx"), []byte(file), 0o600); err != nil {
		return result, err
	}
	var whole []float64 // ms
	var wholeMu sync.Mutex
	running := make([]*exec.Cmd, c.Routers)
	defer func() {
		for _, cmd := range running {
			if cmd != nil {
				cmd.Process.Kill()
				cmd.Wait()
			}
		}
	}()
	begin := func(i int) error {
		args := []string{"serve"}
		if file != "" {
			args = append(args, "--operator", filepath.Join(c.Folder, "operator.sx"))
		}
		cmd := exec.Command(binary, args...)
		cmd.Env = append(os.Environ(), "LB_CONFIG="+filepath.Join(c.Folder, fmt.Sprintf("n%d.json", i)))
		out, err := cmd.StderrPipe()
		if err != nil {
			return err
		}
		running[i] = cmd
		started := time.Now()
		go func() {
			for in := bufio.NewScanner(out); in.Scan(); {
				if isStartupPhase(in.Bytes(), startup.Warm) {
					wholeMu.Lock()
					whole = append(whole, float64(time.Since(started))/1e6)
					wholeMu.Unlock()
				}
			}
		}()
		return cmd.Start()
	}
	began := time.Now()
	for i := range running {
		if err := begin(i); err != nil {
			return result, err
		}
	}
	goodAt := make([]float64, c.Routers) // ms; 0 is not yet
	watched, stop := context.WithTimeout(ctx, c.Span)
	defer stop()
	var group sync.WaitGroup
	again := func(n int) { // so many are killed at once, and come back
		for i := range n {
			running[i].Process.Signal(syscall.SIGKILL)
			running[i].Wait()
		}
		for i := range n {
			err = errors.Join(err, begin(i))
		}
	}
	for i := range addresses {
		group.Go(func() {
			for watched.Err() == nil {
				if health(addresses[i]) {
					goodAt[i] = float64(time.Since(began)) / 1e6
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	group.Go(func() { // the fault's course
		select {
		case <-time.After(outage):
		case <-watched.Done():
			return
		}
		switch c.Faults {
		case "list-down":
			err = service.Listen()
		case "list-half":
			service.SetBehavior(discoveryserver.Behavior{})
		case "list-restart":
			service.Stop()
			service.Reset()
			time.Sleep(outage / 5)
			tell(2)
			err = service.Listen()
		case "half-killed":
			again(c.Routers * 7 / 10)
		case "killed-twice":
			again(c.Routers)
			time.Sleep(outage / 2)
			again(c.Routers)
		}
	})
	load := Load{Rate: c.Rate, Addresses: addresses, Each: 1}
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if !slices.ContainsFunc(addresses, func(a string) bool {
			conn, err := net.DialTimeout("tcp", a, time.Second)
			if err == nil {
				conn.Close()
			}
			return err != nil
		}) {
			break
		}
	}
	served, failed := load.Run(watched, min(c.Span, 10*time.Second))
	group.Wait()
	if err = errors.Join(err, failed); err != nil {
		return result, err
	}
	for _, cmd := range running {
		result.CPU += 1000 * cpuSeconds(cmd.Process.Pid) / float64(c.Routers)
		result.Resident += residentKB(cmd.Process.Pid) / int64(c.Routers)
	}
	calls := service.Calls()
	second, tenth := map[int64]int{}, map[int64]int{}
	for _, x := range calls {
		result.ListBytes += x.BytesSent
		second[int64(x.At.Sub(began)/time.Second)]++
		tenth[int64(x.At.Sub(began)/(100*time.Millisecond))]++
	}
	for _, n := range second {
		result.CallsPeak = max(result.CallsPeak, n)
	}
	for _, n := range tenth {
		result.CallsPeak100 = max(result.CallsPeak100, n)
	}
	for i, x := range caches {
		course := x.Model()
		result.CachePeak, result.Worst = max(result.CachePeak, course.PeakConnections), math.Max(result.Worst, course.PeakLoad)
		result.Denied, result.Fallen = result.Denied+course.RefusedConnections, result.Fallen+course.Crashes
		if c.Faults == "drained" && i == 0 {
			result.Stale = x.Fetches()
		}
	}
	var good []float64
	for _, at := range goodAt {
		if at > 0 {
			good = append(good, at)
		} else {
			result.Unlisted++
		}
	}
	slices.Sort(good)
	slices.Sort(whole)
	if n := len(good); n > 0 {
		result.Listed50, result.Listed99 = good[n/2], good[min(n-1, n*99/100)]
	}
	if n := len(whole); n > 0 {
		result.Whole99 = whole[n*99/100]
	}
	result.Calls, result.Sent, result.Lost = len(calls), served.Sent, served.Lost
	result.Settled = float64(served.Settled) / math.Max(1, float64(served.Sent))
	return result, nil
}

// VirtualCold is a cold start of decisions alone, in simulated time.
type VirtualCold struct {
	Routers int
	Seed    uint64
	Down    int64 // ns for which the service refuses from the start
	Span    int64 // ns
}

// VirtualColdResult is what it gave; "before" is how routers called without chance.
type VirtualColdResult struct {
	Routers    int     `json:"routers"`
	Peak       int     `json:"list_connects_peak_per_s"`
	Before     int     `json:"before_peak_per_s"`
	Heard99    float64 `json:"time_to_heard_p99_ms"`
	Heard99Old float64 `json:"before_time_to_heard_p99_ms"`
	Bound      int     `json:"bound_connects_per_s"`
	Rates      []int   `json:"-"` // calls by second
	RatesOld   []int   `json:"-"`
}

// Run plays it.
func (v VirtualCold) Run() VirtualColdResult {
	result := VirtualColdResult{Routers: v.Routers, Bound: max(20, v.Routers+v.Routers/10)}
	seconds := int(v.Span/1e9) + 1
	play := func(next func(router int) func() int64) (rates []int, p99 float64) {
		rates = make([]int, seconds)
		var heard []float64
		for i := range v.Routers {
			wait := next(i)
			for at := wait(); at < v.Span; at += wait() {
				rates[at/1e9]++
				if at >= v.Down {
					heard = append(heard, float64(at-v.Down)/1e6)
					break
				}
			}
		}
		slices.Sort(heard)
		if len(heard) > 0 {
			p99 = heard[len(heard)*99/100]
		}
		return rates, p99
	}
	result.Rates, result.Heard99 = play(func(i int) func() int64 {
		c := startup.NewCallSchedule(v.Seed*1_000_003+uint64(i), v.Routers, startup.ReadinessHold{})
		now, first := int64(0), true
		return func() (wait int64) {
			if wait = c.FirstDelay(); !first {
				wait = c.CallEnded(now, startup.Refused)
			}
			first = false
			now += wait
			return wait
		}
	})
	result.RatesOld, result.Heard99Old = play(func(int) func() int64 {
		wait := int64(0)
		return func() int64 {
			now := wait
			wait = min(max(2*wait, 50e6), 500e6)
			return now
		}
	})
	result.Peak, result.Before = slices.Max(result.Rates), slices.Max(result.RatesOld)
	return result
}

// Keep writes the calls by second as a table and a chart.
func (r VirtualColdResult) Keep(out string) error {
	file, err := os.Create(filepath.Join(out, fmt.Sprintf("coldstart-%d.csv", r.Routers)))
	if err != nil {
		return err
	}
	defer file.Close()
	w := csv.NewWriter(file)
	w.Write([]string{"second", "calls", "calls_before"})
	p := plot.New()
	p.Title.Text = fmt.Sprintf("Calls at a list service that is down, %d routers, simulated", r.Routers)
	p.X.Label.Text, p.Y.Label.Text = "s after the start", "calls a second"
	for k, rates := range [][]int{r.RatesOld, r.Rates} {
		points := make(plotter.XYs, len(rates))
		for i, n := range rates {
			points[i] = plotter.XY{X: float64(i), Y: float64(n)}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return err
		}
		line.Color = []color.Color{color.RGBA{R: 0xb0, A: 0xff}, color.RGBA{B: 0xc0, A: 0xff}}[k]
		p.Add(line)
		p.Legend.Add([]string{"before", "now"}[k], line)
	}
	for i := range r.Rates {
		w.Write([]string{strconv.Itoa(i), strconv.Itoa(r.Rates[i]), strconv.Itoa(r.RatesOld[i])})
	}
	w.Flush()
	p.Legend.Top = true
	return errors.Join(w.Error(), p.Save(16*vg.Centimeter, 10*vg.Centimeter, filepath.Join(out, fmt.Sprintf("coldstart-%d.svg", r.Routers))))
}
