package probe

import (
	"cmp"
	"slices"
	"time"

	"tealpath/internal/cluster/lease"

	"github.com/cespare/xxhash/v2"
)

// maxWait is the longest time from now until the instant that Next returns, ns.
const maxWait = int64(time.Second)

// Target is an endpoint to be probed periodically.
type Target struct {
	Name, Address string
	Parent        bool    // whether it is a parent cache, so that Config.Parent is its limit
	Capacity      float64 // load that the warm target can bear: seconds of sending per second
	WarmAt        int64   // when the target will be warm, ns of this instance's clock; 0: it is warm
}

// Probe is a health check that the caller must send.
type Probe struct {
	Target, Address string
	Slot            int
	Ballot          uint64 // ballot of the lease on Slot
	Until           int64  // when the lease on Slot ends; the probe must be sent before that, or not at all
	Timeout         int64  // time within which the probe must be answered, ns
}

// HoldsFunc returns the ballot under which this instance holds a slot's lease now, and when the lease ends; ok is
// false if this instance does not hold it.
type HoldsFunc = func(slot int) (ballot uint64, until int64, ok bool)

// targetState is a target, its slot, and what is known of its probes.
type targetState struct {
	Target
	slot      int
	nextAt    int64   // when the next probe is due, if this instance holds the slot
	probedAt  []int64 // when probes were sent, within the last ColdLimit.Window
	answered  bool    // whether the last probe that ended was answered
	wasProbed bool    // whether any probe has ended
}

// Prober decides which probes one instance sends and when.
type Prober struct {
	config     Config
	targets    []*targetState // sorted by name
	acquiredAt map[int]int64  // by slot, for slots that this instance holds: when it acquired the lease
	skipped    int64
}

// New returns a prober without targets.
func New(config Config) *Prober { return &Prober{config: config, acquiredAt: map[int]int64{}} }

// SetTargets replaces the list of targets. A target that is also in the previous list keeps its schedule and the
// results of its probes.
func (prober *Prober) SetTargets(now int64, list []Target) {
	known := map[string]*targetState{}
	for _, state := range prober.targets {
		known[state.Name] = state
	}
	prober.targets = prober.targets[:0]
	for _, target := range list {
		state := known[target.Name]
		if state == nil {
			state = prober.newTarget(now, target)
		}
		target.WarmAt = max(target.WarmAt, state.WarmAt) // a list must not shorten a known warm-up
		state.Target = target
		prober.targets = append(prober.targets, state)
	}
	slices.SortFunc(prober.targets, func(a, b *targetState) int { return cmp.Compare(a.Name, b.Name) })
}

func (prober *Prober) newTarget(now int64, target Target) *targetState {
	state := &targetState{Target: target, slot: lease.SlotOf(target.Name, prober.config.Slots)}
	if acquiredAt, held := prober.acquiredAt[state.slot]; held {
		state.nextAt = max(prober.firstProbe(acquiredAt, state), now)
	}
	return state
}

// SlotAcquired tells the prober that this instance now holds the lease on a slot. The previous holder may have probed
// the slot's targets just before its lease ended, so the first probe of each target is due at least one period later.
// That of a cold target is due at least one ColdLimit.Window later, so that within a window only one holder uses the
// capacity reserved for probing.
func (prober *Prober) SlotAcquired(now int64, slot int) {
	prober.acquiredAt[slot] = now
	for _, state := range prober.targets {
		if state.slot == slot {
			state.probedAt, state.nextAt = nil, prober.firstProbe(now, state)
		}
	}
}

// SlotLost tells the prober that this instance no longer holds the lease on a slot. It then sends no probes to the
// slot's targets.
func (prober *Prober) SlotLost(slot int) { delete(prober.acquiredAt, slot) }

func (prober *Prober) holds(state *targetState) bool {
	_, held := prober.acquiredAt[state.slot]
	return held
}

// firstProbe returns when the first probe of a target is due if the lease on its slot was acquired at acquiredAt.
func (prober *Prober) firstProbe(acquiredAt int64, state *targetState) int64 {
	wait := prober.config.Period
	if state.isCold(acquiredAt) {
		wait = max(wait, prober.config.limitOf(state.Target).Window)
	}
	// The probes of different targets are spread out by their names. Otherwise all targets of a failed holder would be
	// probed at the same time.
	spread := int64(xxhash.Sum64String("phase "+state.Name) % uint64(prober.config.Period/2))
	return acquiredAt + prober.config.withDrift(wait) + spread
}

func (state *targetState) isCold(now int64) bool { return now < state.WarmAt }

// Due returns the probes to be sent now and schedules the next ones. It leaves out probes that would be too much load
// for a cold target.
func (prober *Prober) Due(now int64, holds HoldsFunc) []Probe {
	var probes []Probe
	for _, state := range prober.targets {
		if !prober.holds(state) || now < state.nextAt {
			continue
		}
		ballot, until, ok := holds(state.slot)
		if !ok {
			continue
		}
		state.schedule(now, prober.config.Period)
		if !prober.spend(now, state) {
			prober.skipped++
			continue
		}
		probes = append(probes, Probe{
			Target: state.Name, Address: state.Address, Slot: state.slot, Ballot: ballot, Until: until,
			Timeout: prober.config.Timeout,
		})
	}
	return probes
}

// schedule sets the time of the next probe to one period after the time at which the present one was due, so that
// delays do not lengthen the period. If that time has passed, it is one period after now, so that missed probes are
// not sent in a burst.
func (state *targetState) schedule(now, period int64) {
	state.nextAt += period
	if state.nextAt <= now {
		state.nextAt = now + period
	}
}

// spend records that a probe of a target is sent now. It returns false and records nothing if the target is cold and
// the probes within its window would cost more than ColdBudget.
func (prober *Prober) spend(now int64, state *targetState) bool {
	window := prober.config.withDrift(prober.config.limitOf(state.Target).Window)
	state.probedAt = slices.DeleteFunc(state.probedAt, func(at int64) bool { return at <= now-window })
	cost := float64(len(state.probedAt)+1) * prober.config.Cost
	if state.isCold(now) && cost > prober.ColdBudget(state.Target) {
		return false
	}
	state.probedAt = append(state.probedAt, now)
	return true
}

// ColdBudget returns the largest total cost of the probes that a cold target may get within its ColdLimit.Window, in
// seconds for which the target sends. It is computed from the capacity at the target's start, although that rises
// while the target warms up.
func (prober *Prober) ColdBudget(target Target) float64 {
	limit := prober.config.limitOf(target)
	window := float64(limit.Window)
	return prober.config.ColdPart * limit.Factor * limit.Share * target.Capacity * window / float64(time.Second)
}

// ProbeEnded tells the prober the result of a probe. A target that answers again after a failed probe counts as cold
// from now on, because it may have been restarted, which the list of targets shows only later. A result for an unknown
// target is ignored.
func (prober *Prober) ProbeEnded(now int64, name string, answered bool) {
	index, found := slices.BinarySearchFunc(prober.targets, name, func(state *targetState, name string) int {
		return cmp.Compare(state.Name, name)
	})
	if !found {
		return
	}
	state := prober.targets[index]
	if answered && state.wasProbed && !state.answered {
		state.WarmAt = max(state.WarmAt, now+prober.config.limitOf(state.Target).WarmUpDuration)
	}
	state.answered, state.wasProbed = answered, true
}

// Next returns when Due is to be called again: when the next probe is due, but at most maxWait from now.
func (prober *Prober) Next(now int64) int64 {
	next := now + maxWait
	for _, state := range prober.targets {
		if prober.holds(state) {
			next = min(next, state.nextAt)
		}
	}
	return max(next, now)
}

// Skipped returns how many probes were left out since the start because they would have been too much load for a cold
// target.
func (prober *Prober) Skipped() int64 { return prober.skipped }

// Count returns the number of targets, and the number of those in slots whose leases this instance holds.
func (prober *Prober) Count() (all, own int) {
	for _, state := range prober.targets {
		if prober.holds(state) {
			own++
		}
	}
	return len(prober.targets), own
}
