package lab

import (
	"bufio"
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

	"tealpath/plan/start"
	"tealpath/standin/cache"
	"tealpath/standin/lists"
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
}

// ColdFaults are what can be wrong while the routers start.
var ColdFaults = []string{"none", "list-down", "list-slow", "list-half", "list-restart", "half-killed"}

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

// Run plays one build, with the hold or without.
func (c Coldstart) Run(ctx context.Context, binary string, hold time.Duration) (result ColdResult, err error) {
	result = ColdResult{Binary: filepath.Base(binary), Faults: c.Faults, Routers: c.Routers, Bound: coldRate(c.Routers), Hold: hold.Seconds()}
	if !slices.Contains(ColdFaults, c.Faults) {
		return result, fmt.Errorf("faults are one of %s", strings.Join(ColdFaults, ", "))
	}
	service, err := lists.Start()
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
		members = append(members, fmt.Sprintf(`{"instanceId":"%s","hostPort":"%s","zone":"here","machineType":"cache",`+
			`"lifecycle":"active","weight":4,"startedAtMs":0}`, x.Name, x.Address()))
	}
	tell := func(generation int) {
		service.Tell(fmt.Sprintf(`{"pos":%%d,"hosts":{"generation":%d,"reset":true,"instances":[%s]}}`, generation,
			strings.Join(members, ",")))
	}
	tell(1)
	switch c.Faults {
	case "list-down":
		service.Down()
	case "list-slow":
		service.Set(lists.Way{PerSecond: 10})
	case "list-half":
		service.Set(lists.Way{Half: true})
	}
	addresses := make([]string, c.Routers)
	for i := range addresses {
		if addresses[i], err = free(); err != nil {
			return result, err
		}
		config := fmt.Sprintf(`{"name":"n%d","listen":"%s","seed":"%016x","limits":{"cores":1,"memory_mb":32,"sockets":256},
 "journal":"%s","settings":{"balancers":%d,"locality":"here","failureDomains":["here"],"machineTypes":["cache"],
 "familyInfo":{"zoneBalancers":[%d],"purgeTakesS":6},"limits":{"attemptsCap":6,"cancel":true,"secondCopies":true,
 "retryAfter":true,"maxRetryAfterS":0.5,"dialTimeoutS":0.4,"connIdleS":30,"streamsPerConn":100,"maxOpen":1000},
 "obligations":{"graceToAnswerS":0.008},
 "profiles":[{"name":"stills","onTimeS":0.4,"deadlineS":1.2,"points":1,"effect":"retryable","keyScope":"all"}]}}`,
			i, addresses[i], c.Seed*1000+uint64(i)+1, service.Address(), c.Routers, c.Routers)
		if err := os.WriteFile(filepath.Join(c.Folder, fmt.Sprintf("n%d.json", i)), []byte(config), 0o600); err != nil {
			return result, err
		}
	}
	if hold > 0 {
		file := fmt.Sprintf("(start (rate %g) (hold %s))", float64(c.Routers)/hold.Seconds()*1.25, hold)
		if err := os.WriteFile(filepath.Join(c.Folder, "hold.sx"), []byte(file), 0o600); err != nil {
			return result, err
		}
	}
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
		if hold > 0 {
			args = append(args, "--operator", filepath.Join(c.Folder, "hold.sx"))
		}
		cmd := exec.Command(binary, args...)
		cmd.Env = append(os.Environ(), "LB_CONFIG="+filepath.Join(c.Folder, fmt.Sprintf("n%d.json", i)))
		running[i] = cmd
		return cmd.Start()
	}
	began := time.Now()
	for i := range running {
		if err := begin(i); err != nil {
			return result, err
		}
	}
	listed := make([]float64, c.Routers) // ms; 0 is not yet
	watched, stop := context.WithTimeout(ctx, c.Span)
	defer stop()
	var group sync.WaitGroup
	for i := range addresses {
		group.Go(func() {
			for watched.Err() == nil {
				if health(addresses[i]) {
					listed[i] = float64(time.Since(began)) / 1e6
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
			err = service.Up()
		case "list-half":
			service.Set(lists.Way{})
		case "list-restart":
			service.Down()
			service.Anew()
			time.Sleep(outage / 5)
			tell(2)
			err = service.Up()
		case "half-killed":
			for i := range c.Routers * 7 / 10 {
				running[i].Process.Signal(syscall.SIGKILL)
				running[i].Wait()
			}
			for i := range c.Routers * 7 / 10 {
				err = errors.Join(err, begin(i))
			}
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
	calls := service.Calls()
	second, tenth := map[int64]int{}, map[int64]int{}
	for _, x := range calls {
		result.ListBytes += x.Sent
		second[int64(x.At.Sub(began)/time.Second)]++
		tenth[int64(x.At.Sub(began)/(100*time.Millisecond))]++
	}
	for _, n := range second {
		result.CallsPeak = max(result.CallsPeak, n)
	}
	for _, n := range tenth {
		result.CallsPeak100 = max(result.CallsPeak100, n)
	}
	for _, x := range caches {
		result.CachePeak = max(result.CachePeak, x.Peak())
	}
	var known []float64
	for _, at := range listed {
		if at > 0 {
			known = append(known, at)
		} else {
			result.Unlisted++
		}
	}
	slices.Sort(known)
	if n := len(known); n > 0 {
		result.Listed50, result.Listed99 = known[n/2], known[min(n-1, n*99/100)]
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
		c := start.NewCalls(v.Seed*1_000_003+uint64(i), v.Routers, start.Holding{})
		now, first := int64(0), true
		return func() (wait int64) {
			if wait = c.First(); !first {
				wait = c.Ended(now, start.Refused)
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
