package links

import "testing"

// All dials of a shortage together: few, ever further apart, and none later than one span after it is over.
func TestShortage(t *testing.T) {
	const within = 400 * millisecond
	s := NewShortage(within)
	var dials []int64
	for now := int64(0); now < 4*second; now += millisecond {
		if s.Lasts(now) {
			continue
		}
		dials = append(dials, now)
		if begins := s.Failed(now); begins != (len(dials) == 1) {
			t.Errorf("dial %d: begins %v", len(dials), begins)
		}
		if s.Failed(now) || s.Failed(now+millisecond) {
			t.Error("what fails together counts more than once")
		}
	}
	if len(dials) < 35 || len(dials) > 45 {
		t.Errorf("%d dials in 4 s: %v", len(dials), dials)
	}
	for i := 1; i < len(dials); i++ {
		if gap := dials[i] - dials[i-1]; gap < within/shortageLeast || gap > within/shortageMost {
			t.Errorf("dials %d ms apart", gap/millisecond)
		}
	}
	if !s.Passed() || s.Passed() || s.Lasts(0) {
		t.Error("it does not end once a dial gets through")
	}
	if !s.Failed(5*second) || s.until != 5*second+within/shortageLeast {
		t.Error("the next one does not begin as the first did")
	}
	if tiny := NewShortage(0); !tiny.Failed(0) || !tiny.Lasts(0) {
		t.Error("with no time at all it dials in a loop")
	}
}

// A link that was not dialled for a shortage is dialled ahead again.
func TestNotDialled(t *testing.T) {
	p := New(Config{Self: "n", Routers: 10, Holds: 100, Opens: 100})
	p.Members(0, names(1))
	if got := p.Ahead(second); len(got) != 1 || len(p.Ahead(second)) != 0 {
		t.Fatalf("ahead %v", got)
	}
	p.NotDialled(names(1)[0])
	if got := p.Ahead(second); len(got) != 1 {
		t.Error("it is not dialled again")
	}
	p.NotDialled("unknown")
	(*Plan)(nil).NotDialled("unknown")
}
