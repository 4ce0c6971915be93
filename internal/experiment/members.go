package experiment

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"tealpath/internal/adminsocket"
	"tealpath/internal/cluster"
	"tealpath/internal/emulator/relay"
)

// Members plays real instances that watch each other, with faults between them.
type Members struct {
	Setup
	Faults []string // of RealFaults
	Span   time.Duration
	Seed   uint64
	Out    string
}

// RealFaults are what is done to real processes.
var RealFaults = []string{"kill", "pause", "late", "oneway", "deaf", "mute", "split", "flap", "many", "slow", "rolling"}

// MembersResult is what a play gave.
type MembersResult struct {
	Instances int     `json:"instances"`
	Seconds   float64 `json:"seconds"`
	Kills     int     `json:"kills"`
	Detect50  float64 `json:"detect_p50_ms"` // until the last of the others believed it
	Detect99  float64 `json:"detect_p99_ms"`
	DetectMax float64 `json:"detect_max_ms"`
	Missed    int     `json:"kills_not_believed_by_all"`
	False     int     `json:"false_deaths"`
	Pauses    int     `json:"pauses"`
	Judged    float64 `json:"oneway_judged_max_ms"`
	Unjudged  int     `json:"oneway_not_judged"`
	Disagree  float64 `json:"disagree_max_ms"` // after a fault has ended, until all hand on the same view
	Bytes     float64 `json:"bytes_per_member_per_s"`
	Links     int     `json:"links_per_member_max"`
	Views     float64 `json:"view_changes"`
	Formed    float64 `json:"formed_ms"`
	Owned     float64 `json:"all_slots_owned_ms"` // after the start
	CPU       float64 `json:"cpu_share_idle"`     // of a core, a member
	Resident  int64   `json:"resident_kb"`
	Trouble   []Fault `json:"-"`
}

// Fault is one fault and what came of it.
type Fault struct {
	Kind, Victim string
	MS           float64 // until all others believed it; 0 where nobody was to
	False        int
	AgreedMS     float64
}

// Bounds of docs/membership.md, for the setting that the experiment runs with.
const (
	detectBound   = 3000.
	judgedBound   = 5000.
	agreeBound    = 5000.
	linksBound    = 16
	membersFile   = "(membership (interval 500ms) (silence 2100ms))"
	agreeWithin   = 20 * time.Second
	believeWithin = 10 * time.Second
)

func (c *Cluster) members(ctx context.Context, name string) (s cluster.MembersStatus, err error) {
	err = adminsocket.Query(ctx, c.path(name, ".sock"), &s, "members")
	return s, err
}

// agreed waits until all running instances hand on the same view of so many, and tells how long that took.
func (c *Cluster) agreed(ctx context.Context, alive int, within time.Duration) (time.Duration, error) {
	began := time.Now()
	last := ""
	for time.Since(began) < within && ctx.Err() == nil {
		digest, differ := uint64(0), ""
		for _, name := range c.Names {
			if c.PID(name) == 0 {
				continue
			}
			s, err := c.members(ctx, name)
			if err != nil {
				differ = err.Error()
			} else if s.Alive != alive || digest != 0 && s.Digest != digest {
				differ = fmt.Sprintf("%s believes in %d", name, s.Alive)
			}
			if digest = s.Digest; differ != "" {
				break
			}
		}
		if last = differ; differ == "" {
			return time.Since(began), nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return 0, fmt.Errorf("no agreement on %d within %s: %s", alive, within, last)
}

// believed waits until all others that run have logged one as dead since a time.
func (c *Cluster) believed(victim string, others []string, since time.Time, within time.Duration) (time.Duration, bool) {
	for time.Since(since) < within {
		last, seen := since, map[string]bool{}
		for _, l := range c.Lines() {
			if l.At.After(since) && l.Event == memberDead && l.Member == victim && !seen[l.Instance] {
				seen[l.Instance] = true
				if l.At.After(last) {
					last = l.At
				}
			}
		}
		if !slices.ContainsFunc(others, func(o string) bool { return !seen[o] }) {
			return last.Sub(since), true
		}
		time.Sleep(20 * time.Millisecond)
	}
	return 0, false
}

// falsely counts deaths of others than some that were logged between two times, but for those that some logged.
func (c *Cluster) falsely(from time.Time, about ...string) (n int) {
	for _, l := range c.Lines() {
		if l.At.After(from) && (l.Event == memberDead || l.Event == membersDead) && !slices.Contains(about, l.Member) && !slices.Contains(about, l.Instance) {
			n++
		}
	}
	return n
}

// cut scripts the ways from some to others.
func (c *Cluster) cut(from, to func(string) bool, on bool) {
	for pair, way := range c.Ways {
		if from(pair[0]) && to(pair[1]) {
			way.SetConditions(relay.Conditions{CutForward: on, CutBackward: on})
		}
	}
}

// Run plays it.
func (m Members) Run(ctx context.Context) (result MembersResult, err error) {
	result.Instances = m.Instances
	m.Setup.Extra, m.Setup.Voters, m.Setup.Caches = membersFile, min(5, m.Instances), 1
	m.Setup.Relays = slices.ContainsFunc(m.Faults, func(f string) bool { return f != "kill" && f != "pause" })
	c, err := NewCluster(m.Setup)
	if err != nil {
		return result, err
	}
	defer c.Close()
	began := time.Now()
	for _, name := range c.Names {
		if err := c.Start(name); err != nil {
			return result, err
		}
	}
	if _, err := c.agreed(ctx, m.Instances, time.Minute); err != nil {
		return result, err
	}
	result.Formed = float64(time.Since(began)) / 1e6
	if err := c.Settled(ctx, time.Minute); err != nil {
		return result, err
	}
	result.Owned = float64(time.Since(began)) / 1e6
	if err := m.calm(ctx, c, &result); err != nil {
		return result, err
	}
	if len(m.Faults) == 0 { // nothing is to happen
		at := time.Now()
		select {
		case <-time.After(m.Span):
		case <-ctx.Done():
		}
		result.False = c.falsely(at)
	}
	rng := rand.New(rand.NewPCG(m.Seed, uint64(m.Instances)))
	var detect []float64
	for i, end := 0, time.Now().Add(m.Span); time.Now().Before(end) && ctx.Err() == nil && len(m.Faults) > 0; i++ {
		f, err := m.trouble(ctx, c, m.Faults[i%len(m.Faults)], rng, &result)
		if err != nil {
			return result, err
		}
		switch {
		case f.Kind == "kill" && f.MS > 0:
			detect = append(detect, f.MS)
		case f.Kind == "deaf" || f.Kind == "mute":
			result.Judged = max(result.Judged, f.MS)
		}
		result.False += f.False
		result.Disagree = max(result.Disagree, f.AgreedMS)
		result.Trouble = append(result.Trouble, f)
	}
	if slices.Sort(detect); len(detect) > 0 {
		n := len(detect)
		result.Detect50, result.Detect99, result.DetectMax = detect[n/2], detect[min(n-1, n*99/100)], detect[n-1]
	}
	result.Seconds = time.Since(began).Seconds()
	for _, name := range c.Names {
		s, err := c.members(ctx, name)
		if err != nil {
			return result, err
		}
		result.Links = max(result.Links, s.Links)
		result.Views += float64(s.View) / float64(m.Instances)
	}
	if m.Out != "" {
		raw, err := json.MarshalIndent(result.Trouble, "", " ")
		if err = errors.Join(err, os.WriteFile(filepath.Join(m.Out, "members.json"), raw, 0o644)); err != nil {
			return result, err
		}
	}
	if result.DetectMax > detectBound || result.Missed+result.False+result.Unjudged > 0 || result.Judged > judgedBound ||
		result.Disagree > agreeBound || m.Instances > 3*linksBound && result.Links > linksBound+result.voters() {
		return result, ErrBound
	}
	return result, nil
}

// voters is how many links more a voter may have: one to each that asks it for duties.
func (r MembersResult) voters() int { return r.Instances }

// calm measures what members cost that do nothing but watch.
func (m Members) calm(ctx context.Context, c *Cluster, result *MembersResult) error {
	const span = 6 * time.Second
	look := func() (bytes int64, cpu float64, err error) {
		for _, name := range c.Names {
			s, err := c.members(ctx, name)
			if err != nil {
				return 0, 0, err
			}
			bytes += s.BytesSent
			cpu += cpuSeconds(c.PID(name))
			result.Resident = max(result.Resident, residentKB(c.PID(name)))
		}
		return bytes, cpu, nil
	}
	time.Sleep(3 * time.Second)
	before, used, err := look()
	if err != nil {
		return err
	}
	at := time.Now()
	time.Sleep(span)
	bytes, cpu, err := look()
	took := time.Since(at).Seconds() * float64(m.Instances)
	result.Bytes, result.CPU = float64(bytes-before)/took, (cpu-used)/took
	return err
}

// trouble does one thing and waits until all is well again.
func (m Members) trouble(ctx context.Context, c *Cluster, kind string, rng *rand.Rand, result *MembersResult) (f Fault, err error) {
	at := rng.IntN(len(c.Names))
	victim := c.Names[at]
	f = Fault{Kind: kind, Victim: victim}
	others := slices.DeleteFunc(slices.Clone(c.Names), func(n string) bool { return n == victim })
	is := func(n string) bool { return n == victim }
	any := func(string) bool { return true }
	began := time.Now()
	about := []string{victim}
	wait := func(no *int) {
		took, ok := c.believed(victim, others, began, believeWithin)
		if f.MS = float64(took) / 1e6; !ok {
			*no++
		}
	}
	switch kind {
	case "kill":
		result.Kills++
		err = c.Signal(victim, syscall.SIGKILL)
		wait(&result.Missed)
		err = errors.Join(err, c.Start(victim))
	case "pause":
		result.Pauses++
		span := []time.Duration{500 * time.Millisecond, 1500 * time.Millisecond, 5 * time.Second}[result.Pauses%3]
		if span <= 1500*time.Millisecond {
			about = nil
		}
		err = c.Signal(victim, syscall.SIGSTOP)
		time.Sleep(span)
		err = errors.Join(err, c.Signal(victim, syscall.SIGCONT))
	case "many": // a tenth is stopped at once, for longer than the silence
		about = nil
		var stopped []string
		for i, name := range c.Names {
			if i%10 == at%10 {
				stopped = append(stopped, name)
				err = errors.Join(err, c.Signal(name, syscall.SIGSTOP))
			}
		}
		time.Sleep(5 * time.Second)
		for _, name := range stopped {
			err = errors.Join(err, c.Signal(name, syscall.SIGCONT))
		}
		about = stopped
	case "slow": // a twentieth of its time, for 10 s
		about = nil
		for end := time.Now().Add(10 * time.Second); time.Now().Before(end) && err == nil; {
			err = c.Signal(victim, syscall.SIGSTOP)
			time.Sleep(95 * time.Millisecond)
			err = errors.Join(err, c.Signal(victim, syscall.SIGCONT))
			time.Sleep(5 * time.Millisecond)
		}
	case "rolling": // all are restarted in turn, within a minute
		about = nil
		for _, name := range c.Names {
			life := c.life(name)
			err = errors.Join(err, c.Signal(name, syscall.SIGTERM))
			c.waitGone(name, life)
			err = errors.Join(err, c.Start(name))
		}
	case "late":
		about = nil
		c.set(victim, false, 300*time.Millisecond)
		time.Sleep(5 * time.Second)
		c.set(victim, false, 0)
	case "oneway":
		about = nil
		other := others[rng.IntN(len(others))]
		c.cut(is, func(n string) bool { return n == other }, true)
		time.Sleep(8 * time.Second)
		c.cut(any, any, false)
	case "deaf", "mute":
		if kind == "deaf" {
			c.cut(any, is, true)
		} else {
			c.cut(is, any, true)
		}
		wait(&result.Unjudged)
		time.Sleep(time.Second)
		c.cut(any, any, false)
	case "split":
		about = c.Names
		side := func(n string) bool { return slices.Index(c.Names, n)%3 == 0 }
		not := func(n string) bool { return !side(n) }
		c.cut(side, not, true)
		c.cut(not, side, true)
		time.Sleep(10 * time.Second)
		c.cut(any, any, false)
	case "flap":
		for i := range 6 {
			c.cut(is, any, i%2 == 0)
			time.Sleep(time.Second)
		}
	default:
		return f, fmt.Errorf("faults are of %s", strings.Join(RealFaults, ", "))
	}
	if err != nil {
		return f, err
	}
	took, err := c.agreed(ctx, len(c.Names), agreeWithin)
	f.AgreedMS = float64(took) / 1e6
	f.False = c.falsely(began, about...)
	if kind == "kill" {
		f.AgreedMS = 0 // a start is no disagreement
	}
	if err != nil {
		return f, fmt.Errorf("after %s of %s: %w", kind, victim, err)
	}
	return f, nil
}
