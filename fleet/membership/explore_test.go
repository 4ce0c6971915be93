package membership

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
)

// step is one thing that happens for a while to three members.
type step struct {
	name string
	span int64
	do   func(c *crowd)
	undo func(c *crowd)
}

// steps are all of them: nothing, each way lost, all ways to or from one, everything twice, a pause, a restart, one with
// the wall clock set back, one leaving and coming back; each for a moment and for long enough to be believed dead.
func steps() (out []step) {
	heal := func(c *crowd) { c.cut, c.twice = func(string, string) bool { return false }, false }
	add := func(name string, do func(c *crowd)) {
		for _, span := range []int64{second * 3 / 5, 4 * second} {
			out = append(out, step{fmt.Sprintf("%s %d ms", name, span/1e6), span, do, heal})
		}
	}
	add("nothing", func(*crowd) {})
	add("twice", func(c *crowd) { c.twice = true })
	for i := range 3 {
		a := fmt.Sprintf("n%03d", i)
		add("deaf "+a, func(c *crowd) { c.cut = func(_, to string) bool { return to == a } })
		add("mute "+a, func(c *crowd) { c.cut = func(from, _ string) bool { return from == a } })
		add("cut off "+a, func(c *crowd) { c.cut = func(from, to string) bool { return from == a || to == a } })
		add("paused "+a, func(c *crowd) { c.paused[a] = c.now + 3*second })
		add("restarted "+a, func(c *crowd) { c.start(a, uint64(c.now/1e6)) })
		add("restarted with its clock set back "+a, func(c *crowd) { c.start(a, 1) })
		for j := range 3 {
			if b := fmt.Sprintf("n%03d", j); a != b {
				add("lost from "+a+" to "+b, func(c *crowd) { c.cut = func(from, to string) bool { return from == a && to == b } })
			}
		}
	}
	return out
}

// explored is what a course of steps broke; empty is nothing.
func explored(t *testing.T, course []step, f fault) string {
	c := newCrowd(t, 3)
	if f != (fault{}) {
		c.fault = f
		for _, name := range c.names {
			c.start(name, uint64(c.now/1e6))
		}
	}
	issued := map[string]map[uint64]uint64{} // by name and incarnation: the highest version that it has said of itself
	wrong := ""
	look := func() {
		for _, name := range c.names {
			e := c.tables[name].Self()
			if issued[name] == nil {
				issued[name] = map[uint64]uint64{}
			}
			if e.Version < issued[name][e.Incarnation] {
				wrong = name + " went back"
			}
			issued[name][e.Incarnation] = e.Version
		}
		for _, name := range c.names {
			for _, v := range c.tables[name].Members() {
				if v.State == Alive && v.Version > issued[v.Name][v.Incarnation] {
					wrong = fmt.Sprintf("%s believes in version %d of %s, which it never had", name, v.Version, v.Name)
				}
			}
		}
	}
	run := func(span int64) {
		for end := c.now + span; c.now < end && wrong == ""; {
			c.play(second / 5)
			look()
		}
	}
	run(3 * second)
	for _, s := range course {
		s.do(c)
		run(s.span)
		s.undo(c)
	}
	// Whatever it was: once it is over all believe in all, as they are now, and hand on the same view.
	run(14 * second)
	if wrong != "" {
		return wrong
	}
	var first uint64
	for i, name := range c.names {
		for _, v := range c.tables[name].Members() {
			if own := c.tables[v.Name].Self(); v.State != Alive || v.Incarnation != own.Incarnation || v.Version != own.Version {
				return fmt.Sprintf("in the end %s believes %s %s, version %d of %d", name, v.Name, v.State, v.Version, own.Version)
			}
		}
		if _, digest, _ := c.tables[name].ViewInfo(); i == 0 {
			first = digest
		} else if digest != first {
			return name + " hands on another view in the end"
		}
	}
	return ""
}

// Every course of two steps, and drawn ones of four; with TEALPATH_EXPLORE=N so many drawn ones, and every one of three for
// N above 1,000,000.
func TestExplore(t *testing.T) {
	all, drawn := steps(), 400
	if n, err := strconv.Atoi(os.Getenv("TEALPATH_EXPLORE")); err == nil {
		drawn = n
	}
	tried := 0
	try := func(course ...step) {
		tried++
		if wrong := explored(t, course, fault{}); wrong != "" {
			names := ""
			for _, s := range course {
				names += s.name + "; "
			}
			t.Fatalf("%s: %s", names, wrong)
		}
	}
	for _, a := range all {
		for _, b := range all {
			if testing.Short() && tried > 200 {
				break
			}
			try(a, b)
			if drawn > 1_000_000 {
				for _, c := range all {
					try(a, b, c)
				}
			}
		}
	}
	rng := rand.New(rand.NewPCG(7, 7))
	for range min(drawn, 1_000_000) {
		try(all[rng.IntN(len(all))], all[rng.IntN(len(all))], all[rng.IntN(len(all))], all[rng.IntN(len(all))])
	}
	t.Logf("%d courses", tried)
	// What must be found.
	found := 0
	for _, a := range all {
		if explored(t, []step{a}, fault{noRefuting: true}) != "" {
			found++
		}
	}
	if found == 0 {
		t.Error("one that can't refute is not found")
	}
}
