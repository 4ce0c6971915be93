package experiment

import (
	"bufio"
	"context"
	"encoding/csv"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"tealpath/internal/adminsocket"
	"tealpath/internal/server"
)

// Idle is the experiment on idle connections.
type Idle struct {
	Binary, Baseline string // programs; an empty baseline is none
	Holder           string // this tool's own program, for client processes
	Folder, Out      string
	Counts           []int // rising, from 0
	Most             int   // connections that one router process holds
	Rate             float64
	Seconds          time.Duration
	Expire           time.Duration // idle time in the play of the mass expiry; 0 leaves it out
	Process          io.Writer
}

// IdleRow is what was seen with so many idle connections.
type IdleRow struct {
	Version      string  `json:"version"`
	Idle         int     `json:"idle"`
	Parked       int     `json:"parked"`
	HeapPer      float64 `json:"heap_per_conn_bytes"` // heap and stacks after a collection; baseline: not told
	ResidentPer  float64 `json:"rss_per_conn_bytes"`
	Goroutines   int     `json:"goroutines"`
	P50          float64 `json:"active_p50_ms"`
	P99          float64 `json:"active_p99_ms"`
	P999         float64 `json:"active_p999_ms"`
	Settled      float64 `json:"settled_share"`
	CPU          float64 `json:"cpu_share"`
	OpenedInSecs float64 `json:"opened_in_s"`
}

// IdleResult is the tool's last line.
type IdleResult struct {
	Routers     int       `json:"routers"` // processes on the one core
	Rows        []IdleRow `json:"rows"`
	WaveS       float64   `json:"wave_s"`
	WaveP99     float64   `json:"wave_active_p99_ms"`
	WakeS       float64   `json:"wake_s"`
	WakeP99     float64   `json:"wake_active_p99_ms"`
	ExpiryS     float64   `json:"expiry_s"`
	ExpiryP99   float64   `json:"expiry_active_p99_ms"`
	Failed      int       `json:"failed"` // connections that could not be opened or were not answered
	P99Ratio    float64   `json:"p99_ratio_most_to_none"`
	WaveRatio   float64   `json:"p99_ratio_wave_to_none"`
	ExpiryRatio float64   `json:"p99_ratio_expiry_to_none"`
}

// rig is routers on one core with their client processes.
type rig struct {
	*Cluster
	holders []*holding
	failed  int
}

// holding is one client process.
type holding struct {
	cmd *exec.Cmd
	in  io.WriteCloser
	out *bufio.Scanner
}

func (h *holding) tell(line string) (held, failed int, ms float64, err error) {
	if _, err = fmt.Fprintln(h.in, line); err != nil {
		return
	}
	if !h.out.Scan() {
		return 0, 0, 0, fmt.Errorf("a client process ended at %q", line)
	}
	what := ""
	_, err = fmt.Sscan(h.out.Text(), &what, &held, &failed, &ms)
	return
}

// all tells every client process the same at once, or each its own share of a number.
func (r *rig) all(word string, n int) (slowest float64, err error) {
	var group sync.WaitGroup
	var mu sync.Mutex
	for i, h := range r.holders {
		line := word
		if word == "open" {
			share := n / len(r.holders)
			if i < n%len(r.holders) {
				share++
			}
			line = fmt.Sprint(word, " ", share)
		}
		group.Go(func() {
			_, failed, ms, e := h.tell(line)
			mu.Lock()
			defer mu.Unlock()
			r.failed += failed
			if slowest = max(slowest, ms/1000); e != nil {
				err = e
			}
		})
	}
	group.Wait()
	return slowest, err
}

func (d Idle) rig(folder, binary string, routers int, after time.Duration) (*rig, error) {
	s := Setup{Binary: binary, Folder: filepath.Join(d.Folder, folder), Instances: routers, Caches: 4, Sockets: 20000, MemoryMB: 192,
		Bare: after == 0, File: fmt.Sprintf("(socket \"%%s\")\n(idle (after %s) (spread 5s) (most %d))\n", after, d.Most)}
	if err := os.MkdirAll(s.Folder, 0o700); err != nil {
		return nil, err
	}
	c, err := NewCluster(s)
	if err != nil {
		return nil, err
	}
	r := &rig{Cluster: c}
	for i, name := range c.Names {
		if err := c.Start(name); err != nil {
			return r, err
		}
		cmd := exec.Command(d.Holder, "hold", "--to", c.clients[name], "--from", fmt.Sprintf("127.1.0.%d", i+1))
		cmd.Stderr = os.Stderr
		in, err := cmd.StdinPipe()
		if err != nil {
			return r, err
		}
		out, err := cmd.StdoutPipe()
		if err != nil {
			return r, err
		}
		if err := cmd.Start(); err != nil {
			return r, err
		}
		r.holders = append(r.holders, &holding{cmd, in, bufio.NewScanner(out)})
	}
	time.Sleep(time.Second)
	return r, nil
}

func (r *rig) close() {
	for _, h := range r.holders {
		h.in.Close()
		h.cmd.Wait()
	}
	r.Cluster.Close()
}

// usage sums over the routers what they hold and have used.
func (r *rig) usage(ctx context.Context) (sum server.Connections, kb int64, cpu float64) {
	for _, name := range r.Names {
		var one server.Connections
		if !r.Bare && adminsocket.Query(ctx, r.path(name, ".sock"), &one, "connections") == nil {
			sum.All += one.All
			sum.Suspended += one.Suspended
			sum.Goroutines += one.Goroutines
			sum.HeapBytes += one.HeapBytes + one.StackBytes
		}
		kb += residentKB(r.PID(name))
		cpu += cpuSeconds(r.PID(name))
	}
	return sum, kb, cpu
}

func (r *rig) load(ctx context.Context, rate float64, span time.Duration) (LoadResult, error) {
	var addresses []string
	for _, name := range r.Names {
		addresses = append(addresses, r.clients[name])
	}
	return Load{Rate: rate, Addresses: addresses, Each: max(1, 16/len(addresses))}.Run(ctx, span)
}

// Run plays the experiment.
func (d Idle) Run(ctx context.Context) (IdleResult, error) {
	if err := leaveCore(0); err != nil { // that is the routers'
		return IdleResult{}, err
	}
	most := d.Counts[len(d.Counts)-1]
	result := IdleResult{Routers: max(1, (most+d.Most-101)/(d.Most-100))}
	now, err := d.rig("now", d.Binary, result.Routers, time.Hour)
	if now != nil {
		defer now.close()
	}
	if err != nil {
		return result, err
	}
	if err := d.rows(ctx, now, "now", d.Counts, &result); err != nil {
		return result, err
	}
	// A wave: all connections end and come again at once, as after a restart; then all wake at once.
	if most > 0 {
		for _, play := range []struct {
			word         string
			seconds, p99 *float64
		}{{"renew", &result.WaveS, &result.WaveP99}, {"wake", &result.WakeS, &result.WakeP99}} {
			if *play.seconds, *play.p99, err = d.during(ctx, now, func() (float64, error) { return now.all(play.word, 0) }); err != nil {
				return result, err
			}
			fmt.Fprintf(d.Process, "%s of %d: %.1f s, active p99 %.2f ms\n", play.word, most, *play.seconds, *play.p99)
			time.Sleep(3 * time.Second)
		}
	}
	result.Failed = now.failed
	now.close()
	if d.Expire > 0 && most > 0 {
		if err := d.expiry(ctx, most, &result); err != nil {
			return result, err
		}
	}
	if d.Baseline != "" {
		old, err := d.rig("before", d.Baseline, result.Routers, 0)
		if old != nil {
			defer old.close()
		}
		if err != nil {
			return result, err
		}
		if err := d.rows(ctx, old, "before", d.Counts, &result); err != nil {
			return result, err
		}
	}
	base := max(result.Rows[0].P99, 0.001)
	result.P99Ratio, result.WaveRatio = result.Rows[len(d.Counts)-1].P99/base, result.WaveP99/base
	result.ExpiryRatio = result.ExpiryP99 / base
	return result, d.write(result)
}

// rows opens more and more connections and measures with each number.
func (d Idle) rows(ctx context.Context, r *rig, version string, counts []int, result *IdleResult) error {
	var none int64
	var noneHeap uint64
	held := 0
	span := d.Seconds
	if version == "before" {
		span = min(span, 6*time.Second) // it closes what is idle after 10 s
	}
	for i, count := range counts {
		row := IdleRow{Version: version, Idle: count}
		if version == "before" && held > 0 {
			if _, err := r.all("renew", 0); err != nil {
				return err
			}
		}
		opened, err := r.all("open", count-held)
		if err != nil {
			return err
		}
		held, row.OpenedInSecs = count, opened
		if version == "now" {
			time.Sleep(3 * time.Second) // until they rest
		}
		_, _, cpu := r.usage(ctx)
		began := time.Now()
		l, err := r.load(ctx, d.Rate, span)
		if err != nil {
			return err
		}
		sum, kb, cpuAfter := r.usage(ctx)
		row.CPU = (cpuAfter - cpu) / time.Since(began).Seconds()
		if i == 0 {
			none, noneHeap = kb, sum.HeapBytes
		} else {
			row.ResidentPer = float64(kb-none) * 1024 / float64(count)
			if version == "now" {
				row.HeapPer = (float64(sum.HeapBytes) - float64(noneHeap)) / float64(count)
			}
		}
		row.Parked, row.Goroutines = sum.Suspended, sum.Goroutines
		row.P50, row.P99, row.P999 = l.MS(50), l.MS(99), l.MS(99.9)
		row.Settled = float64(l.Settled) / float64(max(1, l.Sent))
		result.Rows = append(result.Rows, row)
		fmt.Fprintf(d.Process, "%s, %d idle (%d parked, %d goroutines): %.0f B heap and %.0f B resident each; p50 %.2f p99 %.2f p99.9 %.2f ms, "+
			"%.4f settled, %.2f of a core\n", version, count, row.Parked, row.Goroutines, row.HeapPer, row.ResidentPer, row.P50, row.P99,
			row.P999, row.Settled, row.CPU)
	}
	return nil
}

// during measures active traffic while something goes on, and a second after.
func (d Idle) during(ctx context.Context, r *rig, what func() (float64, error)) (seconds, p99 float64, err error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var l LoadResult
	var failed error
	over := make(chan struct{})
	go func() {
		defer close(over)
		l, failed = r.load(ctx, d.Rate, 5*time.Minute)
	}()
	time.Sleep(300 * time.Millisecond)
	seconds, err = what()
	time.Sleep(time.Second)
	stop()
	<-over
	if err == nil {
		err = failed
	}
	return seconds, l.MS(99), err
}

// expiry has all connections run out at once.
func (d Idle) expiry(ctx context.Context, count int, result *IdleResult) error {
	r, err := d.rig("expiry", d.Binary, result.Routers, d.Expire)
	if r != nil {
		defer r.close()
	}
	if err != nil {
		return err
	}
	if _, err := r.all("open", count); err != nil {
		return err
	}
	if _, err := r.all("wake", 0); err != nil {
		return err
	}
	time.Sleep(d.Expire - 4*time.Second)
	var first time.Time
	_, result.ExpiryP99, err = d.during(ctx, r, func() (float64, error) {
		for end := time.Now().Add(2 * d.Expire); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
			all := 0
			for _, name := range r.Names {
				var one server.Connections
				if err := adminsocket.Query(ctx, r.path(name, ".sock"), &one, "connections"); err != nil {
					return 0, err
				}
				all += one.All
			}
			if first.IsZero() && all < count*99/100 {
				first = time.Now()
			}
			if all < count/100+50 {
				break
			}
		}
		return 0, nil
	})
	result.ExpiryS = time.Since(first).Seconds() - 1
	fmt.Fprintf(d.Process, "expiry of %d: %.1f s, active p99 %.2f ms\n", count, result.ExpiryS, result.ExpiryP99)
	return err
}

// write writes tables and a chart.
func (d Idle) write(result IdleResult) error {
	raw, err := json.MarshalIndent(result, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(d.Out, "idle.json"), raw, 0o644); err != nil {
		return err
	}
	var text strings.Builder
	table := csv.NewWriter(&text)
	table.Write([]string{"version", "idle", "parked", "goroutines", "heap_per_conn", "rss_per_conn", "p50_ms", "p99_ms", "p999_ms", "cpu"})
	number := func(x float64) string { return strconv.FormatFloat(x, 'f', 3, 64) }
	lines := map[string]plotter.XYs{}
	for _, r := range result.Rows {
		table.Write([]string{r.Version, strconv.Itoa(r.Idle), strconv.Itoa(r.Parked), strconv.Itoa(r.Goroutines), number(r.HeapPer),
			number(r.ResidentPer), number(r.P50), number(r.P99), number(r.P999), number(r.CPU)})
		lines[r.Version] = append(lines[r.Version], plotter.XY{X: float64(r.Idle), Y: r.P99})
	}
	table.Flush()
	if err := os.WriteFile(filepath.Join(d.Out, "idle.csv"), []byte(text.String()), 0o644); err != nil {
		return err
	}
	p := plot.New()
	p.Title.Text = "Active traffic beside idle connections"
	p.X.Label.Text, p.Y.Label.Text, p.Y.Min = "idle connections", "p99, ms", 0
	for i, version := range []string{"now", "before"} {
		if len(lines[version]) == 0 {
			continue
		}
		l, dots, err := plotter.NewLinePoints(lines[version])
		if err != nil {
			return err
		}
		l.Dashes = [][]vg.Length{nil, {vg.Points(4), vg.Points(4)}}[i]
		p.Add(l, dots)
		p.Legend.Add(version, l, dots)
	}
	for _, end := range []string{".svg", ".png"} {
		if err := p.Save(16*vg.Centimeter, 10*vg.Centimeter, filepath.Join(d.Out, "idle"+end)); err != nil {
			return err
		}
	}
	return nil
}
