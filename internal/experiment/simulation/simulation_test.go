package simulation

import (
	"math/rand/v2"
	"slices"
	"testing"
)

func TestEventsRunInOrderOfTimeAndThenOfScheduling(t *testing.T) {
	s := NewScheduler(100)
	var got []int64
	var elapsed int64
	s.OnAdvance(func(span int64) { elapsed += span })
	note := func(sign int64) func() { return func() { got = append(got, sign*s.Now()) } }
	s.At(300, note(1))
	s.At(200, note(1))
	s.At(300, note(-1))
	s.At(50, note(1)) // in the past: runs at the current time
	s.After(400, note(1))
	s.At(501, note(1))
	s.RunUntil(500)
	if want := []int64{100, 200, 300, -300, 500}; !slices.Equal(got, want) {
		t.Errorf("events ran at %v, want %v", got, want)
	}
	if s.Now() != 500 || elapsed != 400 {
		t.Errorf("clock at %d after %d ns, want 500 after 400 ns", s.Now(), elapsed)
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
		t.Errorf("events ran at %v, want %v", got, want)
	}
}

func TestHostFaults(t *testing.T) {
	a, b := &Host{}, &Host{}
	for name, fault := range map[string]func(){
		"split":         func() { b.Partition = 1 },
		"sends nothing": func() { a.OutboundLost = true },
		"hears nothing": func() { b.InboundLost = true },
	} {
		t.Run(name, func(t *testing.T) {
			if !a.Reaches(b) {
				t.Error("no fault, yet a does not reach b")
			}
			if fault(); a.Reaches(b) {
				t.Error("a reaches b through the fault")
			}
			if HealNetwork([]*Host{a, b}); !a.Reaches(b) {
				t.Error("a does not reach b once the network is healed")
			}
		})
	}
	a.Stopped, a.PausedUntil = true, 100
	if a.Running(200) || !a.Paused(99) || a.Paused(100) {
		t.Errorf("want a host that is stopped, and paused until 100, got %+v", a)
	}
	if a.Start(); !a.Running(0) || a.Incarnation != 1 {
		t.Errorf("want a running host with incarnation 1 after Start, got %+v", a)
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
			t.Fatalf("delay of %d ns, want 50 to 149", delay)
		}
	}
	if lost < 2300 || lost > 2700 {
		t.Errorf("%d of 10,000 messages lost with a loss of 0.25, want 2300 to 2700", lost)
	}
}

func TestClockDrifts(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for range 100 {
		clock := NewClock(random, 0.01)
		clock.Restart(5e9)
		if got := clock.Read(105e9); got < 99e9 || got > 101e9 {
			t.Errorf("clock reads %d ns after 100 s, want an error of at most 1%%", got)
		}
		for _, reading := range []int64{0, 1, 3e9} {
			if at := clock.TimeAt(reading); clock.Read(at) < reading || at > 5e9+reading*102/100+2 {
				t.Errorf("TimeAt(%d) is %d, at which the clock reads %d", reading, at, clock.Read(at))
			}
		}
	}
}
