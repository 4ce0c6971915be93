package probe

import (
	"cmp"
	"slices"
	"time"

	"tealpath/internal/cluster/lease"

	"github.com/cespare/xxhash/v2"
)

// maxWait is for how long Next lets a prober rest that has nothing to do, ns.
const maxWait = int64(time.Second)

// Target is one endpoint that is probed.
type Target struct {
	Name, Address string
	Parent        bool    // it is a parent cache: other limits hold
	Capacity      float64 // seconds of sending time a second
	WarmAt        int64   // when it will be warm, by the clock of the calls; 0 is long ago
}

// Probe is one probe to be sent.
type Probe struct {
	Target, Address string
	Slot            int
	Ballot          uint64 // of the slot's lease
	Until           int64  // when the lease ends: it is written before, or not at all
	Timeout         int64  // by which it is to be answered, ns
}

// HoldsFunc reports whether a slot's lease is held at this instant, under which ballot and until when.
type HoldsFunc = func(slot int) (ballot uint64, until int64, ok bool)

// targetState is one target, with what its prober keeps of it.
type targetState struct {
	Target
	slot      int
	nextAt    int64
	probedAt  []int64 // over the cold limit's window
	answered  bool    // at its last probe
	wasProbed bool    // there was a last probe
}

// Prober is the periodic task of probing, at one instance.
type Prober struct {
	config     Config
	targets    []*targetState // by name
	acquiredAt map[int]int64  // by slot that is held
	skipped    int64
}

// New makes a prober without targets.
func New(config Config) *Prober { return &Prober{config: config, acquiredAt: map[int]int64{}} }

// SetTargets takes the list of targets as it is now.
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
		target.WarmAt = max(target.WarmAt, state.WarmAt) // what was taken for cold stays so
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

// SlotAcquired reports that a slot is held from now on. Its holder before may have probed just before it
// stopped, so the first probe comes a period later, and a window later for what is or may be cold: the part
// that is set aside is then spent by one holder at a time.
func (prober *Prober) SlotAcquired(now int64, slot int) {
	prober.acquiredAt[slot] = now
	for _, state := range prober.targets {
		if state.slot == slot {
			state.probedAt, state.nextAt = nil, prober.firstProbe(now, state)
		}
	}
}

// SlotLost reports that a slot is no longer held.
func (prober *Prober) SlotLost(slot int) { delete(prober.acquiredAt, slot) }

func (prober *Prober) holds(state *targetState) bool {
	_, held := prober.acquiredAt[state.slot]
	return held
}

// firstProbe is when a target is probed first after its slot was acquired.
func (prober *Prober) firstProbe(acquiredAt int64, state *targetState) int64 {
	wait := prober.config.Period
	if state.isCold(acquiredAt) {
		wait = max(wait, prober.config.limitOf(state.Target).Window)
	}
	// Spread by the name, or all targets of a dead holder would be probed at one instant.
	spread := int64(xxhash.Sum64String("phase "+state.Name) % uint64(prober.config.Period/2))
	return acquiredAt + prober.config.withDrift(wait) + spread
}

func (state *targetState) isCold(now int64) bool { return now < state.WarmAt }

// Due returns the probes that are to go out now.
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

// schedule sets when the next probe is due: a period from when this one was, so that the period does not grow
// by how late each one is; never in bursts.
func (state *targetState) schedule(now, period int64) {
	state.nextAt += period
	if state.nextAt <= now {
		state.nextAt = now + period
	}
}

// spend counts one more probe of a target, unless it is cold and the probe would go beyond the part set aside.
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

// ColdBudget is what probing may cost a target over the window while it is cold, seconds of sending time. The
// capacity is that of the very start, as if it never rose.
func (prober *Prober) ColdBudget(target Target) float64 {
	limit := prober.config.limitOf(target)
	window := float64(limit.Window)
	return prober.config.ColdPart * limit.Factor * limit.Share * target.Capacity * window / float64(time.Second)
}

// ProbeEnded tells how a probe ended. A target that answers again may have been restarted, which the list
// tells too late: it counts as cold.
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

// Next is when the next probe is due; a second on where none is.
func (prober *Prober) Next(now int64) int64 {
	next := now + maxWait
	for _, state := range prober.targets {
		if prober.holds(state) {
			next = min(next, state.nextAt)
		}
	}
	return max(next, now)
}

// Skipped is how many probes were left out to spare cold targets.
func (prober *Prober) Skipped() int64 { return prober.skipped }

// Count is how many targets there are, and how many of them are this instance's to probe.
func (prober *Prober) Count() (all, own int) {
	for _, state := range prober.targets {
		if prober.holds(state) {
			own++
		}
	}
	return len(prober.targets), own
}
