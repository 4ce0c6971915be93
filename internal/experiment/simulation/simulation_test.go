package simulation

import (
	"math/rand/v2"
	"slices"
	"testing"
)

func TestEventsRunInOrderOfTimeAndScheduling(t *testing.T) {
	s := NewScheduler(100)
	var got []int64
	var elapsed int64
	s.OnAdvance(func(span int64) { elapsed += span })
	record := func(sign int64) func() { return func() { got = append(got, sign*s.Now()) } }
	s.At(300, record(1))
	s.At(200, record(1))
	s.At(300, record(-1))
	s.At(50, record(1)) // in the past, so it counts as now
	s.After(400, record(1))
	s.At(501, record(1))
	s.RunUntil(500)
	if want := []int64{100, 200, 300, -300, 500}; !slices.Equal(got, want) {
		t.Errorf("events ran at %v, want %v", got, want)
	}
	if s.Now() != 500 || elapsed != 400 {
		t.Errorf("the clock shows %d and advanced by %d, want 500 and 400", s.Now(), elapsed)
	}
}

func TestRepeatedEventsUntilStop(t *testing.T) {
	s := NewScheduler(0)
	var got []int64
	interval := int64(0)
	s.Repeat(10, func() int64 { interval += 10; return interval }, func() {
		if got = append(got, s.Now()); len(got) == 4 {
			s.Stop()
		}
	})
	s.RunUntil(1000)
	if want := []int64{10, 20, 40, 70}; !slices.Equal(got, want) {
		t.Errorf("the repeated event ran at %v, want %v", got, want)
	}
}

func TestHostFaults(t *testing.T) {
	a, b := &Host{}, &Host{}
	for name, fault := range map[string]func(){
		"partition":     func() { b.Partition = 1 },
		"outbound lost": func() { a.OutboundLost = true },
		"inbound lost":  func() { b.InboundLost = true },
	} {
		t.Run(name, func(t *testing.T) {
			if !a.Reaches(b) {
				t.Error("a does not reach b without a fault")
			}
			if fault(); a.Reaches(b) {
				t.Error("a reaches b through the fault")
			}
			if HealNetwork([]*Host{a, b}); !a.Reaches(b) {
				t.Error("a does not reach b after HealNetwork")
			}
		})
	}
	a.Stopped, a.PausedUntil = true, 100
	if a.Running(200) || !a.Paused(99) || a.Paused(100) {
		t.Errorf("Running or Paused is wrong for %+v, which is stopped and paused until 100", a)
	}
	if a.Start(); !a.Running(0) || a.Incarnation != 1 {
		t.Errorf("after Start the host is not running as incarnation 1: %+v", a)
	}
}

func TestNetworkLosesAndDelays(t *testing.T) {
	network := NewNetwork(rand.New(rand.NewPCG(1, 1)), LatencyAround(100))
	network.Loss = 0.25
	lost := 0
	for range 10_000 {
		if network.LosesNext() {
			lost++
		}
		if delay := network.Delay(); delay < 50 || delay >= 150 {
			t.Fatalf("Delay drew %d ns, want 50 to 149", delay)
		}
	}
	if lost < 2300 || lost > 2700 {
		t.Errorf("%d of 10,000 messages lost, want 2300 to 2700", lost)
	}
}

func TestClockDrifts(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for range 100 {
		clock := NewClock(random, 0.01)
		clock.Restart(5e9)
		if got := clock.Read(105e9); got < 99e9 || got > 101e9 {
			t.Errorf("the clock shows %d ns after 100 s, want 99 s to 101 s", got)
		}
		for _, reading := range []int64{0, 1, 3e9} {
			if at := clock.TimeAt(reading); clock.Read(at) < reading || at > 5e9+reading*102/100+2 {
				t.Errorf("TimeAt(%d) is too early or too late: %d, at which the clock shows %d",
					reading, at, clock.Read(at))
			}
		}
	}
}
