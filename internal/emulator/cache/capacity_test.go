package cache

import "testing"

func TestCapacityModel(t *testing.T) {
	const second = int64(1e9)
	model := NewCapacityModel(Limits{
		MaxConnections: 2,
		Concurrency:    4,
		ServiceTime:    second / 10,
		FillTime:       second / 20,
		InitialShare:   .25,
		OverloadFactor: 2,
		WarmUpDuration: 10 * second,
		OverloadWindow: second,
		DownTime:       3 * second,
	}, 100*second)
	now := 100 * second
	for n, want := range []bool{true, true, false} {
		if got := model.Connect(now); got != want {
			t.Errorf("connection %d: %t", n+1, got)
		}
	}
	if model.RefusedConnections != 1 || model.PeakConnections != 2 {
		t.Errorf("%d refused, %d at a time", model.RefusedConnections, model.PeakConnections)
	}
	if response := model.Request(now, "o"); response.Delay != second*3/20 || !response.Fill {
		t.Errorf("a fill: %+v", response)
	}
	// N is 2·4·0.25·1 s/0.1 s = 20; 20 + 3·sqrt(20) + 3 is 36.4.
	for n := 2; n <= 36; n++ {
		if model.Request(now, "o").Crashed {
			t.Fatalf("it crashes at %d", n)
		}
	}
	if !model.Request(now, "o").Crashed || model.Crashes != 1 || model.Connect(now) || !model.Down(now+2*second) {
		t.Error("it crashes at 37, and is down")
	}
	if now += 3 * second; !model.Connect(now) || model.StartedAt() != now {
		t.Error("it is up again and warms up")
	}
	if !model.Request(now, "o").Fill {
		t.Error("it holds what it held before")
	}
	now += 20 * second
	for range 200 {
		if model.Request(now, "o").Crashed {
			t.Fatal("a warm one crashes")
		}
	}
}
