// Package probe decides when a target is probed and by whom: one duty a target, done by whoever holds the target's
// slot. It keeps probes of a cold target within a part of what that can bear that is set aside for probing, over all
// instances and takeovers (docs/duties.md). It does no input or output and reads no clock.
package probe

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"tealpath/fleet/lease"

	"github.com/cespare/xxhash/v2"
)

// MaxColdPart is the largest part of a cold target's limit that may be set aside for probing: traffic of all routers
// uses 0.6 of it, and a tenth stays for what both reckon wrongly.
const MaxColdPart = 0.3

// ColdLimit is what a target that has just started bears, as the deployment's settings state it.
type ColdLimit struct {
	Share          float64 // of its capacity, at its start
	Factor         float64 // multiple of that at which it falls over
	Window         int64   // ns: over which it is reckoned
	WarmUpDuration int64   // ns: until it is warm; 0 is never cold
}

// Config is what a Prober goes by.
type Config struct {
	Period        int64   // ns between two probes of a target
	Timeout       int64   // ns by which a probe is to be answered
	ColdPart      float64 // of a cold target's limit
	Cost          float64 // of a probe, in seconds of sending time
	MaxClockDrift float64
	Slots         int
	Cache         ColdLimit
	Parent        ColdLimit
}

// Check tells what is wrong with a configuration.
func (c Config) Check() error {
	switch {
	case c.Period <= 0 || c.Timeout <= 0:
		return errors.New("the period and the time to answer must be above 0")
	case c.Timeout > c.Period:
		return fmt.Errorf("a probe of %d ms takes longer than the period of %d ms", c.Timeout/1e6, c.Period/1e6)
	case !(c.ColdPart > 0 && c.ColdPart <= MaxColdPart):
		return fmt.Errorf("a cold part of %v: above 0 to %v can be, as traffic uses 0.6", c.ColdPart, MaxColdPart)
	case !(c.Cost > 0):
		return errors.New("the cost of a probe must be above 0")
	}
	return nil
}

// Target is one member that is probed.
type Target struct {
	Name, Address string
	Parent        bool
	Capacity      float64 // its capacity, in seconds of sending a second
	WarmAt        int64   // when it will be warm, by the clock of the calls; 0 is long ago
}

// Probe is one probe to be sent: before Until, or not at all.
type Probe struct {
	Target, Address string
	Slot            int
	Ballot          uint64
	Until           int64
	Timeout         int64
}

// target is one member, with what its owner keeps of it.
type target struct {
	Target
	slot  int
	next  int64
	spent []int64 // when it was probed, over the window
	good  bool    // at its last probe
	tried bool
}

// Prober is the duty of probing at one instance.
type Prober struct {
	config  Config
	targets []*target // by name
	gained  map[int]int64
	skipped int64
}

// New makes a prober without targets.
func New(c Config) *Prober { return &Prober{config: c, gained: map[int]int64{}} }

// SetTargets gives the list of targets as it is now.
func (p *Prober) SetTargets(now int64, list []Target) {
	old := map[string]*target{}
	for _, t := range p.targets {
		old[t.Name] = t
	}
	p.targets = p.targets[:0]
	for _, l := range list {
		t := old[l.Name]
		if t == nil {
			t = &target{slot: p.slot(l.Name)}
			t.Target = l
			if at, held := p.gained[t.slot]; held {
				t.next = max(p.first(at, t), now)
			}
		}
		l.WarmAt = max(l.WarmAt, t.WarmAt) // what was taken for cold stays so
		t.Target = l
		p.targets = append(p.targets, t)
	}
	slices.SortFunc(p.targets, func(a, b *target) int { return cmp.Compare(a.Name, b.Name) })
}

func (p *Prober) slot(name string) int { return lease.SlotOf(name, p.config.Slots) }

// Gained tells that a slot is held from now on. Its holder before may have probed just before it stopped, so the
// first probe comes a period later, and a window later for what is or may be cold: the part that is set aside is
// then spent by one holder at a time.
func (p *Prober) SlotAcquired(now int64, slot int) {
	p.gained[slot] = now
	for _, t := range p.targets {
		if t.slot == slot {
			t.spent, t.next = nil, p.first(now, t)
		}
	}
}

// Lost tells that a slot is no longer held.
func (p *Prober) SlotLost(slot int) { delete(p.gained, slot) }

// first is when a target is probed first after its slot was gained.
func (p *Prober) first(gained int64, t *target) int64 {
	wait := p.config.Period
	if t.cold(gained) {
		wait = max(wait, p.cold(t).Window)
	}
	// Spread: all that a dead owner had came at one instant else.
	spread := int64(xxhash.Sum64String("phase "+t.Name) % uint64(p.config.Period/2))
	return gained + p.slack(wait) + spread
}

// slack is a span lengthened by what two clocks may differ in rate.
func (p *Prober) slack(span int64) int64 {
	return int64(float64(span) * (1 + 2*p.config.MaxClockDrift))
}

func (t *target) cold(now int64) bool { return now < t.WarmAt }

func (p *Prober) cold(t *target) ColdLimit {
	if t.Parent {
		return p.config.Parent
	}
	return p.config.Cache
}

// Due says which probes are to go out now. owns tells for a slot whether it is held at this moment, under which
// number and until when.
func (p *Prober) Due(now int64, owns func(slot int) (number uint64, until int64, ok bool)) (out []Probe) {
	for _, t := range p.targets {
		if _, held := p.gained[t.slot]; !held || now < t.next {
			continue
		}
		number, until, ok := owns(t.slot)
		if !ok {
			continue
		}
		// From the time it was due, so that the period does not grow by how late each one is; never in bursts.
		if t.next += p.config.Period; t.next <= now {
			t.next = now + p.config.Period
		}
		if !p.fits(now, t) {
			p.skipped++
			continue
		}
		out = append(out, Probe{
			Target: t.Name, Address: t.Address, Slot: t.slot, Ballot: number, Until: until,
			Timeout: p.config.Timeout,
		})
	}
	return out
}

// fits tells whether one more probe of a target keeps within the part set aside while it is cold; it is counted then.
// The capacity is that of the very start, as if it never rose.
func (p *Prober) fits(now int64, t *target) bool {
	c := p.cold(t)
	window := p.slack(c.Window)
	t.spent = slices.DeleteFunc(t.spent, func(at int64) bool { return at <= now-window })
	if t.cold(now) && float64(len(t.spent)+1)*p.config.Cost > p.ColdBudget(t.Target) {
		return false
	}
	t.spent = append(t.spent, now)
	return true
}

// ColdBudget is what probing may cost a target over the window while it is cold, in seconds of sending time.
func (p *Prober) ColdBudget(t Target) float64 {
	c := p.config.Cache
	if t.Parent {
		c = p.config.Parent
	}
	return p.config.ColdPart * c.Factor * c.Share * t.Capacity * float64(c.Window) / 1e9
}

// ProbeEnded tells how a probe ended. One that answers again may have been restarted, which the list tells too late: it
// counts as cold.
func (p *Prober) ProbeEnded(now int64, name string, good bool) {
	at, found := slices.BinarySearchFunc(p.targets, name, func(t *target, n string) int { return cmp.Compare(t.Name, n) })
	if !found {
		return
	}
	t := p.targets[at]
	if good && t.tried && !t.good {
		t.WarmAt = max(t.WarmAt, now+p.cold(t).WarmUpDuration)
	}
	t.good, t.tried = good, true
}

// Next is when the next probe is due; a second on where none is.
func (p *Prober) Next(now int64) int64 {
	next := now + 1e9
	for _, t := range p.targets {
		if _, held := p.gained[t.slot]; held {
			next = min(next, t.next)
		}
	}
	return max(next, now)
}

// Skipped is how many probes were left out to spare cold targets.
func (p *Prober) Skipped() int64 { return p.skipped }

// Count is how many targets there are, and how many of them are this instance's to probe.
func (p *Prober) Count() (all, own int) {
	for _, t := range p.targets {
		if _, held := p.gained[t.slot]; held {
			own++
		}
	}
	return len(p.targets), own
}
