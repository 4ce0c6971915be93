package cache

import "testing"

func TestBear(t *testing.T) {
	const second = int64(1e9)
	b := NewBear(Bounds{Holds: 2, Units: 4, Work: second / 10, Fill: second / 20, ColdShare: .25, Factor: 2, ColdSpan: 10 * second,
		Window: second, Back: 3 * second}, 100*second)
	now := 100 * second
	if !b.Connect(now) || !b.Connect(now) || b.Connect(now) || b.Denied != 1 || b.Peak != 2 {
		t.Error("it holds two")
	}
	if wait, fill, _ := b.Ask(now, "o"); wait != second*3/20 || !fill {
		t.Errorf("a fill waits %d", wait)
	}
	// N is 2·4·0.25·1 s/0.1 s = 20; 20 + 3·sqrt(20) + 3 is 36.4.
	for n := 2; n <= 36; n++ {
		if _, _, fell := b.Ask(now, "o"); fell {
			t.Fatalf("it falls at %d", n)
		}
	}
	if _, _, fell := b.Ask(now, "o"); !fell || b.Fallen != 1 || b.Connect(now) || !b.Gone(now+2*second) {
		t.Error("it falls at 37, and is gone")
	}
	if now += 3 * second; !b.Connect(now) || b.Started() != now {
		t.Error("it is back, cold")
	}
	if _, fill, _ := b.Ask(now, "o"); !fill {
		t.Error("it holds what it held before")
	}
	now += 20 * second
	for range 200 {
		if _, _, fell := b.Ask(now, "o"); fell {
			t.Fatal("a warm one falls")
		}
	}
}
