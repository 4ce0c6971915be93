package experiment

import (
	"context"
	"encoding/csv"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"syscall"
	"tealpath/internal/emulator/relay"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Duties is the experiment on divided duties.
type Duties struct {
	Setup
	Kills   int
	Seed    uint64
	Out     string // folder of the results
	Calm    time.Duration
	Process io.Writer // of the experiment's course
}

// Takeover is one kill and what followed.
type Takeover struct {
	Kill   int     `json:"kill"`
	How    string  `json:"how"`
	Victim string  `json:"victim"`
	Slots  int     `json:"slots"`
	GapMS  float64 `json:"gap_ms"` // until the last of its slots had a new owner
}

// DutiesResult is the tool's last line.
type DutiesResult struct {
	Kills              int     `json:"kills"`
	GapP50             float64 `json:"gap_p50_ms"`
	GapP99             float64 `json:"gap_p99_ms"`
	GapMax             float64 `json:"gap_max_ms"`
	Overlaps           int     `json:"overlaps"`      // probes of a target within less than its period by different owners
	Stale              int     `json:"stale_actions"` // probes under a number below one seen at the target
	ProbesPerPeriod    float64 `json:"probes_per_target_per_period"`
	ColdWorst          float64 `json:"cold_budget_worst_share"`
	CalmProbes         float64 `json:"calm_probes_per_target_per_period"`
	Undivided          float64 `json:"undivided_probes_per_target_per_period"`
	GapKillMax         float64 `json:"gap_sigkill_max_ms"`
	GapTermMax         float64 `json:"gap_sigterm_max_ms"`
	GapFreezeMax       float64 `json:"gap_freeze_max_ms"`
	GapCutMax          float64 `json:"gap_cut_max_ms"`
	GapDelayMax        float64 `json:"gap_delay_max_ms"`
	IdleCPUPercent     float64 `json:"idle_cpu_percent_of_a_core"`
	MessagesPerSecond  float64 `json:"frames_per_second_an_instance"`
	ResidentKB         int64   `json:"resident_kb"`
	BareCPUPercent     float64 `json:"cpu_percent_without_operator"`
	BareResidentKB     int64   `json:"resident_kb_without_operator"`
	BoundMS            float64 `json:"bound_ms"`
	BoundsBroken       string  `json:"bounds_broken,omitempty"`
	ProbesWhileLeft    int     `json:"probes"`
	SecondsPlayed      float64 `json:"seconds"`
	TargetsNeverProbed int     `json:"targets_never_probed"`
}

// ErrBound is a bound of the note that did not hold.
var ErrBound = errors.New("a bound of docs/duties.md is broken")

// Run plays the experiment, writes its files and returns its result.
func (d Duties) Run(ctx context.Context) (DutiesResult, error) {
	var result DutiesResult
	d.Relays = true
	c, err := NewCluster(d.Setup)
	if err != nil {
		return result, err
	}
	defer c.Close()
	for _, name := range c.Names {
		if err := c.Start(name); err != nil {
			return result, err
		}
	}
	if err := c.Settled(ctx, 10*d.Lease+10*time.Second); err != nil {
		return result, err
	}
	alone := d.Setup
	alone.Folder, alone.Instances, alone.Bare, alone.Relays = filepath.Join(d.Folder, "bare"), 1, true, false
	if err := os.MkdirAll(alone.Folder, 0o700); err != nil {
		return result, err
	}
	bare, err := NewCluster(alone)
	if err != nil {
		return result, err
	}
	defer bare.Close()
	if err := bare.Start(bare.Names[0]); err != nil {
		return result, err
	}
	time.Sleep(2*d.Lease + 2*d.Period) // hand-overs and first probes
	d.calm(c, bare, &result)
	began := time.Now()
	takeovers, err := d.kills(ctx, c)
	if err != nil {
		return result, err
	}
	ended := time.Now()
	d.sum(c, takeovers, began, ended, &result)
	if err := d.write(takeovers, result); err != nil {
		return result, err
	}
	if result.BoundsBroken != "" {
		return result, fmt.Errorf("%w: %s", ErrBound, result.BoundsBroken)
	}
	return result, nil
}

// calm measures instances that are left alone.
func (d Duties) calm(c, bare *Cluster, result *DutiesResult) {
	ctx := context.Background()
	before, at := map[string]float64{}, time.Now()
	frames := func() (n int64) {
		for _, name := range c.Names {
			s, _ := c.Status(ctx, name)
			n += s.Frames
		}
		return n
	}
	for _, name := range c.Names {
		before[name] = cpuSeconds(c.PID(name))
	}
	bareBefore := cpuSeconds(bare.PID(bare.Names[0]))
	counted, sent := c.probes(), frames()
	time.Sleep(d.Calm)
	span := time.Since(at).Seconds()
	for _, name := range c.Names {
		result.IdleCPUPercent = max(result.IdleCPUPercent, 100*(cpuSeconds(c.PID(name))-before[name])/span)
		result.ResidentKB = max(result.ResidentKB, residentKB(c.PID(name)))
	}
	result.BareCPUPercent = 100 * (cpuSeconds(bare.PID(bare.Names[0])) - bareBefore) / span
	result.BareResidentKB = residentKB(bare.PID(bare.Names[0]))
	result.MessagesPerSecond = float64(frames()-sent) / span / float64(d.Instances)
	result.CalmProbes = float64(c.probes()-counted) / float64(d.Caches) / (span / d.Period.Seconds())
	result.Undivided = float64(d.Instances)
	fmt.Fprintf(d.Process, "calm for %.0f s: %.3f probes a target and period, %.1f frames a second and instance; %.2f%% of a core at the busiest "+
		"and %d KB, without operator's file %.2f%% and %d KB\n", span, result.CalmProbes, result.MessagesPerSecond,
		result.IdleCPUPercent, result.ResidentKB, result.BareCPUPercent, result.BareResidentKB)
}

func (c *Cluster) probes() (n int) {
	for _, x := range c.Caches {
		n += len(x.HealthChecks())
	}
	return n
}

// kinds are the ways in which an owner is lost, in turn.
var kinds = []string{"SIGKILL", "SIGKILL", "SIGTERM", "freeze", "cut", "delay"}

// kills ends owners one after another: by SIGKILL mostly, by SIGTERM, by standing still, by cutting their
// ways or making them later than a lease.
func (d Duties) kills(ctx context.Context, c *Cluster) (out []Takeover, err error) {
	rng := rand.New(rand.NewPCG(d.Seed, 1))
	for k := range d.Kills {
		victim := c.Names[rng.IntN(len(c.Names))]
		s, err := c.Status(ctx, victim)
		if err != nil {
			return nil, err
		}
		lost := map[int]uint64{}
		for _, slot := range s.Slots {
			if slot.Own {
				lost[slot.SlotStatus.Slot] = slot.Ballot
			}
		}
		t := Takeover{Kill: k, Victim: victim, Slots: len(lost), How: kinds[k%len(kinds)]}
		time.Sleep(time.Duration(rng.Int64N(int64(d.Renewal)))) // at any moment of a renewal
		at := time.Now()
		life := c.life(victim)
		switch t.How {
		case "SIGKILL":
			err = c.Signal(victim, syscall.SIGKILL)
		case "SIGTERM":
			err = c.Signal(victim, syscall.SIGTERM)
		case "freeze":
			err = c.Signal(victim, syscall.SIGSTOP)
		case "cut":
			c.set(victim, true, 0)
		case "delay":
			c.set(victim, false, 4*d.Lease/3)
		}
		if err != nil {
			return nil, err
		}
		gap, err := c.takenOver(lost, victim, at, 4*d.Lease)
		if err != nil {
			return nil, fmt.Errorf("kill %d, %s of %s: %w", k, t.How, victim, err)
		}
		t.GapMS = float64(gap) / 1e6
		out = append(out, t)
		fmt.Fprintf(d.Process, "%d: %s of %s with %d slots: taken over after %.0f ms\n", k, t.How, victim, t.Slots, t.GapMS)
		time.Sleep(time.Duration(rng.Int64N(int64(d.Lease))))
		switch t.How {
		case "freeze":
			err = c.Signal(victim, syscall.SIGCONT)
		case "cut", "delay":
			c.set(victim, false, 0)
		default:
			c.waitGone(victim, life)
			err = c.Start(victim)
		}
		if err == nil {
			err = c.Settled(ctx, 10*d.Lease+10*time.Second)
		}
		if err != nil {
			return nil, err
		}
		time.Sleep(2*d.Lease + 2*d.Renewal) // the one that is back gets its slots again
	}
	return out, nil
}

func (c *Cluster) life(name string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lives[name]
}

// waitGone waits until an instance that was told to end has closed its listeners; its planned end takes a while.
func (c *Cluster) waitGone(name string, life int) {
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, l := range c.Lines() {
			if l.Instance == name && l.Life == life && l.Event == phaseChanged && l.Phase == stoppedPhase {
				return
			}
		}
		if _, err := c.Status(context.Background(), name); err != nil {
			return
		}
	}
}

// set scripts all ways from and to an instance.
func (c *Cluster) set(name string, cut bool, delay time.Duration) {
	for pair, way := range c.Ways {
		if pair[0] == name || pair[1] == name {
			way.SetConditions(relay.Conditions{CutForward: cut, CutBackward: cut, Delay: delay})
		}
	}
}

// takenOver waits until others have logged that they gained all of some slots under higher numbers.
func (c *Cluster) takenOver(lost map[int]uint64, victim string, since time.Time, within time.Duration) (time.Duration, error) {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		got, last := map[int]bool{}, since
		for _, l := range c.Lines() {
			if l.Event != leasesAcquired || l.Instance == victim || l.At.Before(since) {
				continue
			}
			for _, s := range l.Slots {
				if number, was := lost[s]; was && l.Ballot > number && !got[s] {
					got[s] = true
					if l.At.After(last) {
						last = l.At
					}
				}
			}
		}
		if len(got) == len(lost) {
			return last.Sub(since), nil
		}
	}
	return 0, fmt.Errorf("not all of %d slots were taken over within %s", len(lost), within)
}

// sum counts what the stand-ins saw, and holds it against the bounds.
func (d Duties) sum(c *Cluster, takeovers []Takeover, began, ended time.Time, result *DutiesResult) {
	gaps := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	worst := map[string]*float64{"SIGKILL": &result.GapKillMax, "SIGTERM": &result.GapTermMax, "freeze": &result.GapFreezeMax,
		"cut": &result.GapCutMax, "delay": &result.GapDelayMax}
	for _, t := range takeovers {
		gaps.RecordValue(max(1, int64(t.GapMS*1000)))
		*worst[t.How] = max(*worst[t.How], t.GapMS)
	}
	result.Kills = len(takeovers)
	result.GapP50, result.GapP99 = float64(gaps.ValueAtQuantile(50))/1000, float64(gaps.ValueAtQuantile(99))/1000
	result.GapMax = max(result.GapKillMax, result.GapTermMax, result.GapFreezeMax, result.GapCutMax, result.GapDelayMax)
	const budget = 0.05 * 2.5 * 0.16 * 4 * 1.5 // the cluster's settings: part, factor, share, units, window in s
	probes := 0
	for _, x := range c.Caches {
		seen := x.HealthChecks()
		highest, last, by := uint64(0), time.Time{}, uint64(0)
		for i, p := range seen {
			number, _ := strconv.ParseUint(p.ID, 16, 64)
			if number < highest {
				result.Stale++
			}
			// A number is one owner's; the clocks of two owners may differ by the drift, and the way takes its time.
			if number != by && by != 0 && p.At.Sub(last) < d.Period*98/100 {
				result.Overlaps++
			}
			highest, last, by = max(highest, number), p.At, number
			if p.At.After(began) && p.At.Before(ended) {
				probes++
			}
			spent := 0.
			for _, q := range seen[i:] {
				if q.At.Sub(p.At) < 1500*time.Millisecond {
					spent += 0.001
				}
			}
			result.ColdWorst = max(result.ColdWorst, spent/budget)
		}
		if len(seen) == 0 {
			result.TargetsNeverProbed++
		}
	}
	span := ended.Sub(began)
	result.SecondsPlayed, result.ProbesWhileLeft = span.Seconds(), probes
	result.ProbesPerPeriod = float64(probes) / float64(d.Caches) / (span.Seconds() / d.Period.Seconds())
	result.BoundMS = float64(d.Lease+2*d.Renewal) / 1e6
	for _, b := range []struct {
		broken bool
		what   string
	}{{result.GapP99 > result.BoundMS, "takeover"}, {result.Overlaps > 0, "two owners"}, {result.Stale > 0, "stale actions"},
		{result.ColdWorst > 1, "cold budget"}, {result.CalmProbes > 1.05, "probes"}, {result.TargetsNeverProbed > 0, "targets left out"}} {
		if b.broken {
			result.BoundsBroken += b.what + "; "
		}
	}
}

// write writes the tables and charts.
func (d Duties) write(takeovers []Takeover, result DutiesResult) error {
	raw, err := json.MarshalIndent(struct {
		Result    DutiesResult
		Takeovers []Takeover
	}{result, takeovers}, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(d.Out, "duties.json"), raw, 0o644); err != nil {
		return err
	}
	file, err := os.Create(filepath.Join(d.Out, "duties.csv"))
	if err != nil {
		return err
	}
	defer file.Close()
	table := csv.NewWriter(file)
	table.Write([]string{"kill", "how", "victim", "slots", "gap_ms"})
	for _, t := range takeovers {
		table.Write([]string{strconv.Itoa(t.Kill), t.How, t.Victim, strconv.Itoa(t.Slots), strconv.FormatFloat(t.GapMS, 'f', 1, 64)})
	}
	table.Flush()
	if err := table.Error(); err != nil {
		return err
	}
	return chart(d.Out, takeovers, result.BoundMS)
}

// byKind gives the gaps of one kind of kill, the shortest first.
func byKind(takeovers []Takeover, how string) (out []float64) {
	for _, t := range takeovers {
		if t.How == how {
			out = append(out, t.GapMS)
		}
	}
	slices.Sort(out)
	return out
}
