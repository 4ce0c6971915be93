package probe

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"tealpath/internal/cluster/lease"
)

const ms = int64(1e6)

func testConfig() Config {
	cold := ColdLimit{Share: 0.1, Factor: 2, Window: 1500 * ms, WarmUpDuration: 17000 * ms}
	return Config{
		Period: 1000 * ms, Timeout: 500 * ms, ColdPart: 0.05, Cost: 0.001, MaxClockDrift: 0.01, Slots: 64,
		Cache: cold, Parent: cold,
	}
}

func testTargets(count int) []Target {
	var targets []Target
	for i := range count {
		targets = append(targets, Target{Name: fmt.Sprint("t", i), Address: "x", Capacity: 1})
	}
	return targets
}

func holdsAll(int) (ballot uint64, until int64, ok bool)  { return 7, 1 << 60, true }
func holdsNone(int) (ballot uint64, until int64, ok bool) { return 0, 0, false }

// newProber returns a prober with count targets, for an instance that holds the leases on all slots.
func newProber(config Config, count int) *Prober {
	prober := New(config)
	prober.SetTargets(0, testTargets(count))
	for slot := range config.Slots {
		prober.SlotAcquired(0, slot)
	}
	return prober
}

// probeTimes holds the times, in ns, at which each target was probed, by the target's name.
type probeTimes map[string][]int64

// run advances the time in steps of 10 ms and records the probes that are due.
func (times probeTimes) run(prober *Prober, from, to int64, holds HoldsFunc) {
	for now := from; now < to; now += 10 * ms {
		for _, probe := range prober.Due(now, holds) {
			times[probe.Target] = append(times[probe.Target], now)
		}
	}
}

func TestOneProbePerTargetAndPeriod(t *testing.T) {
	for _, count := range []int{3, 200} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			times := probeTimes{}
			times.run(newProber(testConfig(), count), 0, 32000*ms, holdsAll)
			for _, target := range testTargets(count) {
				if probes := len(times[target.Name]); probes < 30 || probes > 31 {
					t.Errorf("%s was probed %d times in 32 periods, want 30 or 31", target.Name, probes)
				}
			}
		})
	}
}

// An instance whose lease has ended must not probe, because another one may already do so: neither before SlotLost
// tells the prober that the lease is lost, nor after it.
func TestNoProbesWithoutLease(t *testing.T) {
	prober, times := newProber(testConfig(), 5), probeTimes{}
	times.run(prober, 0, 5000*ms, holdsNone)
	if len(times) != 0 {
		t.Errorf("probed without holding the leases: %v", times)
	}
	for slot := range testConfig().Slots {
		prober.SlotLost(slot)
	}
	times.run(prober, 5000*ms, 9000*ms, holdsAll)
	if len(times) != 0 {
		t.Errorf("probed after the slots were lost: %v", times)
	}
}

// A target that is no longer on the list must not be probed until it is on the list again.
func TestRemovedTarget(t *testing.T) {
	prober, times := newProber(testConfig(), 3), probeTimes{}
	times.run(prober, 0, 5000*ms, holdsAll)
	prober.SetTargets(5000*ms, testTargets(1))
	before := len(times["t2"])
	times.run(prober, 5000*ms, 9000*ms, holdsAll)
	if len(times["t2"]) != before {
		t.Errorf("removed target t2 was probed %d times", len(times["t2"])-before)
	}
	prober.SetTargets(9000*ms, testTargets(3))
	times.run(prober, 9000*ms, 13000*ms, holdsAll)
	if len(times["t2"]) == before {
		t.Error("target t2 was not probed after it was added to the list again")
	}
}

func TestCountAndNext(t *testing.T) {
	prober := newProber(testConfig(), 3)
	if all, own := prober.Count(); all != 3 || own != 3 {
		t.Errorf("%d targets, %d of them in held slots, want 3 and 3", all, own)
	}
	prober.SlotLost(lease.SlotOf("t1", testConfig().Slots))
	if all, own := prober.Count(); all != 3 || own != 2 {
		t.Errorf("%d targets, %d of them in held slots once a slot is lost, want 3 and 2", all, own)
	}
	for now := int64(0); now < 5000*ms; now += 10 * ms {
		due := len(prober.Due(now, holdsAll)) > 0
		if next := prober.Next(now); next <= now || due && next > now+1000*ms {
			t.Fatalf("Next returned %d at %d, want a later time, and at most a period later if probes were due", next, now)
		}
	}
	if next := New(testConfig()).Next(0); next != 1000*ms {
		t.Errorf("Next without targets returned %d, want %d", next, 1000*ms)
	}
}

// sentProbe is a probe, with the number of the lease holder that sent it.
type sentProbe struct {
	at     int64 // simulated time of the probe, ns
	holder int
}

// When leases on a cold target's slot change hands at random times, between instances with fast and slow clocks, the
// target must not be overloaded: in no window of simulated time may the probes cost more than the budget, and no two
// holders may probe within one period.
func TestColdBudgetAndPeriodHoldOverTakeovers(t *testing.T) {
	config := testConfig()
	config.Period = 100 * ms // so short that the budget limits the probes
	config.Timeout = config.Period
	config.Cost = 0.004
	for _, parent := range []bool{false, true} {
		target := Target{Name: "t0", Address: "x", Capacity: 1, Parent: parent}
		for seed := range uint64(200) {
			sent := runTakeovers(seed, config, target)
			checkBudget(t, seed, config, New(config).ColdBudget(target), sent)
			if seed == 0 && len(sent) < 5 {
				t.Fatalf("seed 0: only %d probes were sent, want at least 5", len(sent))
			}
		}
	}
}

// runTakeovers simulates ten seconds in which holders with random clock rates follow each other at random times. It
// returns the probes that they sent.
func runTakeovers(seed uint64, config Config, target Target) []sentProbe {
	rng := rand.New(rand.NewPCG(seed, 1))
	var sent []sentProbe
	holder := 0
	for now := int64(0); now < 10000*ms; holder++ {
		rate := 1 + 0.01*(2*rng.Float64()-1)
		clock := func(at int64) int64 { return int64(float64(at) * rate) }
		prober := New(config)
		// The target is warm from the same simulated time on for all holders, although their clocks read differently.
		target.WarmAt = clock(17000 * ms)
		prober.SetTargets(clock(now), []Target{target})
		prober.SlotAcquired(clock(now), lease.SlotOf(target.Name, config.Slots))
		for end := now + rng.Int64N(4000*ms); now < end; now += 5 * ms {
			for range prober.Due(clock(now), holdsAll) {
				sent = append(sent, sentProbe{now, holder})
			}
		}
	}
	return sent
}

func checkBudget(t *testing.T, seed uint64, config Config, budget float64, sent []sentProbe) {
	t.Helper()
	for i, first := range sent {
		spent := 0.
		for _, later := range sent[i:] {
			if later.at-first.at < config.Cache.Window {
				spent += config.Cost
			}
			if later.holder != first.holder && later.at-first.at < config.Period {
				t.Fatalf("seed %d: holders %d and %d probed within %d ms",
					seed, first.holder, later.holder, (later.at-first.at)/ms)
			}
		}
		if spent > budget+1e-9 {
			t.Fatalf("seed %d: probes cost %.4f s in a window, the budget is %.4f s", seed, spent, budget)
		}
	}
}

// A target that answers after a failed probe may have been restarted and be cold. Probes at the rate for a warm target
// could overload it.
func TestTargetThatAnswersAgainCountsAsCold(t *testing.T) {
	config := testConfig()
	config.Cost = 1 // more than the budget of a cold target
	prober, times := newProber(config, 1), probeTimes{}
	times.run(prober, 0, 4000*ms, holdsAll)
	prober.ProbeEnded(4000*ms, "t0", false)
	prober.ProbeEnded(4500*ms, "t0", true)
	before := len(times["t0"])
	times.run(prober, 4500*ms, 9000*ms, holdsAll)
	if before == 0 || len(times["t0"]) != before || prober.Skipped() == 0 {
		t.Errorf("probed %d times before it answered again and %d in all, want above 0 and equal; %d skipped, want above 0",
			before, len(times["t0"]), prober.Skipped())
	}
	prober.ProbeEnded(0, "unknown", true)
}

func TestCheck(t *testing.T) {
	for _, test := range []struct {
		name    string
		change  func(*Config)
		setting string
	}{
		{"cold part above the maximum", func(c *Config) { c.ColdPart = 0.31 }, "cold-part"},
		{"cold part of 0", func(c *Config) { c.ColdPart = 0 }, "cold-part"},
		{"cold part of NaN", func(c *Config) { c.ColdPart = math.NaN() }, "cold-part"},
		{"cost of 0", func(c *Config) { c.Cost = 0 }, "cost"},
		{"timeout longer than the period", func(c *Config) { c.Timeout = 2 * c.Period }, "within"},
		{"period of 0", func(c *Config) { c.Period = 0 }, "period"},
	} {
		t.Run(test.name, func(t *testing.T) {
			config := testConfig()
			test.change(&config)
			var configError *ConfigError
			if err := config.Check(); !errors.As(err, &configError) || configError.Setting != test.setting {
				t.Errorf("error %v, want a ConfigError for %s", err, test.setting)
			}
		})
	}
	if err := testConfig().Check(); err != nil {
		t.Errorf("valid configuration: %v", err)
	}
}
