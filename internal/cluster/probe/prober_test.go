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

// newProber makes a prober of some targets that holds every slot.
func newProber(config Config, count int) *Prober {
	prober := New(config)
	prober.SetTargets(0, testTargets(count))
	for slot := range config.Slots {
		prober.SlotAcquired(0, slot)
	}
	return prober
}

// probeTimes are when each target was probed.
type probeTimes map[string][]int64

// run lets time go on and notes the probes.
func (times probeTimes) run(prober *Prober, from, to int64, holds HoldsFunc) {
	for now := from; now < to; now += 10 * ms {
		for _, probe := range prober.Due(now, holds) {
			times[probe.Target] = append(times[probe.Target], now)
		}
	}
}

func TestOneProbeATargetAndPeriod(t *testing.T) {
	for _, count := range []int{3, 200} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			times := probeTimes{}
			times.run(newProber(testConfig(), count), 0, 32000*ms, holdsAll)
			for _, target := range testTargets(count) {
				if probes := len(times[target.Name]); probes < 30 || probes > 31 {
					t.Errorf("%s was probed %d times in 32 periods", target.Name, probes)
				}
			}
		})
	}
}

func TestNothingWithoutTheLeaseAtThatInstant(t *testing.T) {
	prober, times := newProber(testConfig(), 5), probeTimes{}
	times.run(prober, 0, 5000*ms, holdsNone)
	if len(times) != 0 {
		t.Errorf("probed without holding: %v", times)
	}
	for slot := range testConfig().Slots {
		prober.SlotLost(slot)
	}
	times.run(prober, 5000*ms, 9000*ms, holdsAll)
	if len(times) != 0 {
		t.Errorf("probed after the slots were lost: %v", times)
	}
}

// A target that is gone from the list is not probed, and comes back in its turn.
func TestTargetsThatGo(t *testing.T) {
	prober, times := newProber(testConfig(), 3), probeTimes{}
	times.run(prober, 0, 5000*ms, holdsAll)
	prober.SetTargets(5000*ms, testTargets(1))
	before := len(times["t2"])
	times.run(prober, 5000*ms, 9000*ms, holdsAll)
	if len(times["t2"]) != before {
		t.Error("a target that is gone was probed")
	}
	prober.SetTargets(9000*ms, testTargets(3))
	times.run(prober, 9000*ms, 13000*ms, holdsAll)
	if len(times["t2"]) == before {
		t.Error("a target that came back was not probed")
	}
}

func TestCountAndNext(t *testing.T) {
	prober := newProber(testConfig(), 3)
	if all, own := prober.Count(); all != 3 || own != 3 {
		t.Errorf("%d targets, %d own", all, own)
	}
	prober.SlotLost(lease.SlotOf("t1", testConfig().Slots))
	if all, own := prober.Count(); all != 3 || own != 2 {
		t.Errorf("%d targets, %d own once a slot is lost", all, own)
	}
	for now := int64(0); now < 5000*ms; now += 10 * ms {
		due := len(prober.Due(now, holdsAll)) > 0
		if next := prober.Next(now); next <= now || due && next > now+1000*ms {
			t.Fatalf("next at %d, asked at %d", next, now)
		}
	}
	if next := New(testConfig()).Next(0); next != 1000*ms {
		t.Errorf("next at %d without targets", next)
	}
}

// sentProbe is a probe in real time.
type sentProbe struct {
	at     int64
	holder int
}

// Holders follow each other at drawn moments, clocks fast and slow, while the target is cold: no window of
// the real time holds more than the part set aside, and no two holders probe within a period.
func TestColdBudgetAndPeriodHoldOverTakeovers(t *testing.T) {
	config := testConfig()
	config.Period = 100 * ms // far more often than the budget bears
	config.Timeout = config.Period
	config.Cost = 0.004
	for _, parent := range []bool{false, true} {
		target := Target{Name: "t0", Address: "x", Capacity: 1, Parent: parent}
		for seed := range uint64(200) {
			sent := runTakeovers(seed, config, target)
			checkBudget(t, seed, config, New(config).ColdBudget(target), sent)
			if seed == 0 && len(sent) < 5 {
				t.Fatal("hardly anything was probed")
			}
		}
	}
}

// runTakeovers has holders follow each other for ten seconds.
func runTakeovers(seed uint64, config Config, target Target) []sentProbe {
	rng := rand.New(rand.NewPCG(seed, 1))
	var sent []sentProbe
	holder := 0
	for now := int64(0); now < 10000*ms; holder++ {
		rate := 1 + 0.01*(2*rng.Float64()-1)
		clock := func(at int64) int64 { return int64(float64(at) * rate) }
		prober := New(config)
		// The list reached it at some moment, and its clock gives its own reading of when the target is warm.
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
			t.Fatalf("seed %d: %.4f s of probes in a window, %.4f set aside", seed, spent, budget)
		}
	}
}

func TestOneThatAnswersAgainCountsAsCold(t *testing.T) {
	config := testConfig()
	config.Cost = 1 // more than any cold target bears
	prober, times := newProber(config, 1), probeTimes{}
	times.run(prober, 0, 4000*ms, holdsAll)
	prober.ProbeEnded(4000*ms, "t0", false)
	prober.ProbeEnded(4500*ms, "t0", true)
	before := len(times["t0"])
	times.run(prober, 4500*ms, 9000*ms, holdsAll)
	if before == 0 || len(times["t0"]) != before || prober.Skipped() == 0 {
		t.Errorf("probed %d times before, %d after it answered again, %d left out",
			before, len(times["t0"]), prober.Skipped())
	}
	prober.ProbeEnded(0, "unknown", true)
}

func TestCheck(t *testing.T) {
	for _, test := range []struct {
		name    string
		spoil   func(*Config)
		setting string
	}{
		{"a large part", func(c *Config) { c.ColdPart = 0.31 }, "cold-part"},
		{"no part", func(c *Config) { c.ColdPart = 0 }, "cold-part"},
		{"a part that is no number", func(c *Config) { c.ColdPart = math.NaN() }, "cold-part"},
		{"no cost", func(c *Config) { c.Cost = 0 }, "cost"},
		{"a timeout over the period", func(c *Config) { c.Timeout = 2 * c.Period }, "within"},
		{"no period", func(c *Config) { c.Period = 0 }, "period"},
	} {
		t.Run(test.name, func(t *testing.T) {
			config := testConfig()
			test.spoil(&config)
			var wrong *ConfigError
			if err := config.Check(); !errors.As(err, &wrong) || wrong.Setting != test.setting {
				t.Errorf("error %v, want one of %s", err, test.setting)
			}
		})
	}
	if err := testConfig().Check(); err != nil {
		t.Error(err)
	}
}
