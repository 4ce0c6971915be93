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
			t.Errorf("connection %d: accepted %t, want %t", n+1, got, want)
		}
	}
	if model.RefusedConnections != 1 || model.PeakConnections != 2 {
		t.Errorf("%d refused and at most %d open connections, want 1 and 2",
			model.RefusedConnections, model.PeakConnections)
	}
	if response := model.Request(now, "o"); response.Delay != second*3/20 || !response.Fill {
		t.Errorf("first request: %+v, want a fill with a delay of %d ns", response, second*3/20)
	}
	// The cache has just started, so it crashes if more than N + 3·sqrt(N) + 3 requests arrive within OverloadWindow,
	// where N = OverloadFactor·Concurrency·InitialShare·OverloadWindow/ServiceTime. Here N = 2·4·0.25·1 s/0.1 s = 20,
	// so the limit is 36.4 requests.
	for n := 2; n <= 36; n++ {
		if model.Request(now, "o").Crashed {
			t.Fatalf("crash at request %d, want one at request 37", n)
		}
	}
	if !model.Request(now, "o").Crashed || model.Crashes != 1 || model.Connect(now) || !model.Down(now+2*second) {
		t.Errorf("%d crashes after request 37, want 1 and a cache that refuses connections and is still down 2 s later",
			model.Crashes)
	}
	if now += 3 * second; !model.Connect(now) || model.StartedAt() != now {
		t.Errorf("3 s after the crash: last start at %d ns, want a restart at %d ns that accepts connections",
			model.StartedAt(), now)
	}
	if !model.Request(now, "o").Fill {
		t.Error("object is still cached after the restart")
	}
	now += 20 * second
	for range 200 {
		if model.Request(now, "o").Crashed {
			t.Fatal("cache crashes after its warm-up")
		}
	}
}
