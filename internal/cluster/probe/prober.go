package probe

import (
	"cmp"
	"slices"
	"time"

	"tealpath/internal/cluster/lease"

	"github.com/cespare/xxhash/v2"
)

// maxWait is how far ahead of now the time that Next returns may be, ns.
const maxWait = int64(time.Second)

// Target is one endpoint that is probed.
type Target struct {
	Name, Address string
	Parent        bool    // it is a parent cache, with the limits of Config.Parent
	Capacity      float64 // seconds of sending time per second
	WarmAt        int64   // when it will be warm, by the clock of the Prober's callers; 0: it is warm
}

// Probe is a health check that the caller must send.
type Probe struct {
	Target, Address string
	Slot            int
	Ballot          uint64 // of the slot's lease
	Until           int64  // when the lease ends; the probe must be sent before then, or not at all
	Timeout         int64  // within which the probe must be answered, ns
}

// HoldsFunc reports whether this instance holds a slot's lease now, under which ballot and until when.
type HoldsFunc = func(slot int) (ballot uint64, until int64, ok bool)

// targetState is a target with the state of its probing.
type targetState struct {
	Target
	slot      int
	nextAt    int64   // when the next probe is due
	probedAt  []int64 // times of the probes within the cold limit's window
	answered  bool    // whether the last probe was answered
	wasProbed bool    // whether a probe has ended, so that answered is set
}

// Prober decides which probes one instance sends.
type Prober struct {
	config     Config
	targets    []*targetState // sorted by name
	acquiredAt map[int]int64  // by held slot: when its lease was acquired
	skipped    int64
}

// New returns a prober without targets.
func New(config Config) *Prober { return &Prober{config: config, acquiredAt: map[int]int64{}} }

// SetTargets replaces the list of targets. Targets that are in both lists keep their state.
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

// SlotAcquired tells the prober that this instance now holds a slot. The previous holder may have probed just before
// it stopped, so the first probe of each target is due one period later. For a cold target it is due at least one
// window later, so that only one holder at a time uses the capacity reserved for probing.
func (prober *Prober) SlotAcquired(now int64, slot int) {
	prober.acquiredAt[slot] = now
	for _, state := range prober.targets {
		if state.slot == slot {
			state.probedAt, state.nextAt = nil, prober.firstProbe(now, state)
		}
	}
}

// SlotLost tells the prober that this instance no longer holds a slot.
func (prober *Prober) SlotLost(slot int) { delete(prober.acquiredAt, slot) }

func (prober *Prober) holds(state *targetState) bool {
	_, held := prober.acquiredAt[state.slot]
	return held
}

// firstProbe returns when the first probe of a target is due after its slot was acquired.
func (prober *Prober) firstProbe(acquiredAt int64, state *targetState) int64 {
	wait := prober.config.Period
	if state.isCold(acquiredAt) {
		wait = max(wait, prober.config.limitOf(state.Target).Window)
	}
	// Spread by name, because otherwise all targets of a failed holder would be probed at the same time.
	spread := int64(xxhash.Sum64String("phase "+state.Name) % uint64(prober.config.Period/2))
	return acquiredAt + prober.config.withDrift(wait) + spread
}

func (state *targetState) isCold(now int64) bool { return now < state.WarmAt }

// Due returns the probes to be sent now. It skips those that a cold target cannot bear.
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

// schedule sets when the next probe is due: a period after this one was due, so that delays do not lengthen the
// period. If that time has passed, it is a period from now, so that missed probes are not made up for in a burst.
func (state *targetState) schedule(now, period int64) {
	state.nextAt += period
	if state.nextAt <= now {
		state.nextAt = now + period
	}
}

// spend records a probe of a target and returns true, unless the target is cold and the probe would exceed its
// ColdBudget.
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

// ColdBudget returns how much all probes of a cold target within a window may cost together, in seconds of sending
// time. It is computed from the target's capacity at its start, although the capacity rises during the warm-up.
func (prober *Prober) ColdBudget(target Target) float64 {
	limit := prober.config.limitOf(target)
	window := float64(limit.Window)
	return prober.config.ColdPart * limit.Factor * limit.Share * target.Capacity * window / float64(time.Second)
}

// ProbeEnded handles the result of a probe. A target that answers after a failed probe counts as cold, because it
// may have been restarted and the list of targets shows that only later.
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

// Next returns when Due is to be called next: when the next probe is due, at most maxWait from now.
func (prober *Prober) Next(now int64) int64 {
	next := now + maxWait
	for _, state := range prober.targets {
		if prober.holds(state) {
			next = min(next, state.nextAt)
		}
	}
	return max(next, now)
}

// Skipped returns how many probes were not sent because a cold target could not bear them.
func (prober *Prober) Skipped() int64 { return prober.skipped }

// Count returns the number of all targets, and of those in slots that this instance holds.
func (prober *Prober) Count() (all, own int) {
	for _, state := range prober.targets {
		if prober.holds(state) {
			own++
		}
	}
	return len(prober.targets), own
}
