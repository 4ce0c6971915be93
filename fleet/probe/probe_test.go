package probe

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

const ms = int64(1e6)

func config() Config {
	cold := ColdLimit{Share: 0.1, Factor: 2, Window: 1500 * ms, WarmUpDuration: 17000 * ms}
	return Config{Period: 1000 * ms, Timeout: 500 * ms, ColdPart: 0.05, Cost: 0.001, MaxClockDrift: 0.01, Slots: 64, Cache: cold, Parent: cold}
}

func targets(n int) (out []Target) {
	for i := range n {
		out = append(out, Target{Name: fmt.Sprint("t", i), Address: "x", Capacity: 1})
	}
	return out
}

func always(int) (uint64, int64, bool) { return 7, 1 << 60, true }

// play runs a prober that holds every slot over a span, and gives the times of the probes of each target.
func play(p *Prober, from, to int64, owns func(int) (uint64, int64, bool), sent map[string][]int64) {
	for now := from; now < to; now += 10 * ms {
		for _, pr := range p.Due(now, owns) {
			sent[pr.Target] = append(sent[pr.Target], now)
		}
	}
}

func TestOneProbeATargetAndPeriod(t *testing.T) {
	for _, n := range []int{3, 200} {
		p, sent := New(config()), map[string][]int64{}
		p.SetTargets(0, targets(n))
		for s := range 64 {
			p.SlotAcquired(0, s)
		}
		play(p, 0, 32000*ms, always, sent)
		for _, x := range targets(n) {
			if got := len(sent[x.Name]); got < 30 || got > 31 {
				t.Errorf("%d targets: %s was probed %d times in 32 periods", n, x.Name, got)
			}
		}
	}
}

func TestNothingWithoutTheSlotAtThatInstant(t *testing.T) {
	p, sent := New(config()), map[string][]int64{}
	p.SetTargets(0, targets(5))
	for s := range 64 {
		p.SlotAcquired(0, s)
	}
	play(p, 0, 5000*ms, func(int) (uint64, int64, bool) { return 0, 0, false }, sent)
	if len(sent) != 0 {
		t.Errorf("probed without owning: %v", sent)
	}
	for s := range 64 {
		p.SlotLost(s)
	}
	play(p, 5000*ms, 9000*ms, always, sent)
	if len(sent) != 0 {
		t.Errorf("probed after the slots were lost: %v", sent)
	}
}

// A target that is gone from the list is not probed, and comes back in its turn.
func TestTargetsThatGo(t *testing.T) {
	p, sent := New(config()), map[string][]int64{}
	p.SetTargets(0, targets(3))
	for s := range 64 {
		p.SlotAcquired(0, s)
	}
	play(p, 0, 5000*ms, always, sent)
	p.SetTargets(5000*ms, targets(1))
	before := len(sent["t2"])
	play(p, 5000*ms, 9000*ms, always, sent)
	if len(sent["t2"]) != before {
		t.Error("a target that is gone was probed")
	}
	p.SetTargets(9000*ms, targets(3))
	play(p, 9000*ms, 13000*ms, always, sent)
	if len(sent["t2"]) == before {
		t.Error("a target that came back was not probed")
	}
}

// Owners follow each other at drawn moments, clocks fast and slow, while the target is cold: no window of the real
// time holds more than the part set aside, and no two owners probe within a period.
func TestColdBudgetAndPeriodHoldOverTakeovers(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		c := config()
		c.Period = 100 * ms // far more often than the budget bears
		c.Timeout = c.Period
		c.Cost = 0.004
		target := Target{Name: "t0", Address: "x", Capacity: 1, WarmAt: 17000 * ms}
		budget := New(c).ColdBudget(target)
		type probe struct {
			at    int64
			owner int
		}
		var sent []probe
		owner := 0
		for now := int64(0); now < 10000*ms; owner++ {
			rate := 1 + 0.01*(2*rng.Float64()-1)
			clock := func(at int64) int64 { return int64(float64(at) * rate) }
			p := New(c)
			// The list reached it at some moment, and its clock gives its own reading of when the target is warm.
			p.SetTargets(clock(now), []Target{{Name: "t0", Address: "x", Capacity: 1, WarmAt: clock(17000 * ms)}})
			p.SlotAcquired(clock(now), p.targets[0].slot)
			end := now + rng.Int64N(4000*ms)
			for ; now < end; now += 5 * ms {
				for range p.Due(clock(now), always) {
					sent = append(sent, probe{now, owner})
				}
			}
		}
		for i, a := range sent {
			spent := 0.
			for _, b := range sent[i:] {
				if b.at-a.at < c.Cache.Window {
					spent += c.Cost
				}
				if b.owner != a.owner && b.at-a.at < c.Period {
					t.Fatalf("seed %d: owners %d and %d probed within %d ms", seed, a.owner, b.owner, (b.at-a.at)/ms)
				}
			}
			if spent > budget+1e-9 {
				t.Fatalf("seed %d: %.4f s of probes in a window, %.4f set aside", seed, spent, budget)
			}
		}
		if seed == 0 && len(sent) < 5 {
			t.Fatal("hardly anything was probed")
		}
	}
}

func TestOneThatAnswersAgainCountsAsCold(t *testing.T) {
	c := config()
	c.Cost = 1 // more than any cold target bears
	p, sent := New(c), map[string][]int64{}
	p.SetTargets(0, targets(1))
	p.SlotAcquired(0, p.targets[0].slot)
	play(p, 0, 4000*ms, always, sent)
	p.ProbeEnded(4000*ms, "t0", false)
	p.ProbeEnded(4500*ms, "t0", true)
	before := len(sent["t0"])
	play(p, 4500*ms, 9000*ms, always, sent)
	if before == 0 || len(sent["t0"]) != before || p.Skipped() == 0 {
		t.Errorf("probed %d times before, %d after it answered again, %d left out", before, len(sent["t0"]), p.Skipped())
	}
	p.ProbeEnded(0, "unknown", true)
}

func TestCheck(t *testing.T) {
	for name, spoil := range map[string]func(*Config){
		"part":   func(c *Config) { c.ColdPart = 0.31 },
		"none":   func(c *Config) { c.ColdPart = 0 },
		"cost":   func(c *Config) { c.Cost = 0 },
		"within": func(c *Config) { c.Timeout = 2 * c.Period },
		"period": func(c *Config) { c.Period = 0 },
	} {
		c := config()
		if spoil(&c); c.Check() == nil {
			t.Errorf("%s: taken", name)
		}
	}
	if err := config().Check(); err != nil {
		t.Error(err)
	}
}
