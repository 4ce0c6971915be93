package control

import (
	"fmt"
	"maps"
	"testing"
)

// classes has a router with two read classes: "harmless" sends for 0.4 s, "stamped" (made harmless) for 0.02 s
// and is worth half as much; "once" is a write that runs at the origin. Means are learned before the play
// begins.
func classes(t *testing.T, change Settings) *Router {
	t.Helper()
	set := Settings{
		"product.effect": []string{"harmless", "harmless", "one-shot"}, "product.neverKept": []bool{false, false, true},
		"product.dueStretch": []float64{2, 2, 0},
	}
	for name, value := range change {
		set[name] = value
	}
	r := newRouter(t, set)
	for i, sending := range []float64{0.4, 0.02, 0.01} {
		r.classes[i].sendingTime, r.classes[i].samples = sending, 100
	}
	return r
}

// fill asks for new objects of a class until no more is sent, and returns how many were.
func fill(r *Router, now int64, product string) (sent int) {
	for ; sent < 1000; sent++ {
		if r.Decide(now, ask(product, fmt.Sprint(product, now, sent))).Verdict != Send {
			break
		}
	}
	return sent
}

// Writes were turned away for want of room for fills, which they hardly use: one class was hardly served.
func TestWritesNeedNoLimitForFills(t *testing.T) {
	r := classes(t, nil)
	r.admission.limits[fills] = 0.4
	if n := fill(r, start, "harmless") + fill(r, start, "stamped"); n == 0 || n >= 1000 {
		t.Fatalf("%d sent", n)
	}
	if decision := r.Decide(start, ask("once", "write")); decision.Verdict != Send {
		t.Errorf("a write while fills have no room: %+v", decision)
	}
}

// What is never kept has no home: it goes to the cache that is least busy.
func TestWritesGoWhereThereIsRoom(t *testing.T) {
	r := classes(t, nil)
	for n := range 10 {
		a, b := r.load(start, r.caches[0]), r.load(start, r.caches[1])
		decision := r.Decide(start, ask("once", fmt.Sprint(n)))
		if decision.Verdict != Send || a != b && (decision.Attempt.Cache == r.caches[0].ID) != (a < b) {
			t.Errorf("loads %.2f and %.2f: %+v", a, b, decision)
		}
	}
}

// Small answers come in time in a jam in which large ones are late: they get in beyond the room of the large.
func TestSmallAnswersStandMoreOfAJam(t *testing.T) {
	r := classes(t, nil)
	large := fill(r, start, "harmless")
	if small := fill(r, start, "stamped"); small < large/2 || small > 2*large {
		t.Errorf("after %d large ones %d small ones were sent", large, small)
	}
}

// A rare class of great worth keeps what it needs free, not a third of every room.
func TestARareClassLeavesTheLimit(t *testing.T) {
	for _, c := range []struct {
		rare float64 // part of the requests
		want float64 // least part of the room that is open to the rest
	}{{0.01, 0.95}, {0.5, 0.69}} {
		r := classes(t, Settings{"product.payoff": []float64{1, 40, 1}})
		request := ask("harmless", "x")
		r.Decide(start, request)
		r.classes[0].offered, r.classes[1].offered = decayingWork{}, decayingWork{}
		r.classes[0].offered.add(start, 40*(1-c.rare))
		r.classes[1].offered.add(start, 40*c.rare)
		r.classes[0].admitted, r.classes[1].admitted = r.classes[0].offered, r.classes[1].offered
		if part := r.admissionShare(start, request); part < c.want || part > 1 || c.rare == 0.5 && part > 0.75 {
			t.Errorf("rare class %.2f: part %.2f, %.2f wanted", c.rare, part, c.want)
		}
	}
}

// The best class alone could fill the room for good; another, asked for as much, is let in beside it.
func TestNoClassIsShutOut(t *testing.T) {
	r := classes(t, Settings{"product.payoff": []float64{1, 40, 1}, "product.due": []int64{second / 2, second / 100, second / 2}})
	r.classes[1].sendingTime = 0.4 // as large as the other, and worth forty times as much; neither stands more than the other
	r.classes[1].objective = r.classes[0].objective
	asked, sent := map[string]int{}, map[string]int{}
	type open struct {
		ret  *Request
		ends int64
	}
	var hand []open
	for now, n := start, 0; now < start+20*second; now += second / 50 {
		for len(hand) > 0 && hand[0].ends <= now {
			r.AttemptEnded(now, hand[0].ret, Outcome{Result: Succeeded, Elapsed: second / 2, SendingTime: 0.4, Note: 2, RequestEnded: true})
			hand = hand[1:]
		}
		for _, product := range []string{"stamped", "harmless", "stamped", "stamped"} {
			n++
			request := ask(product, fmt.Sprint(n))
			asked[product]++
			if r.Decide(now, request).Verdict == Send {
				sent[product]++
				hand = append(hand, open{request, now + second/2})
			} else {
				r.ClientGone(now, request)
			}
		}
	}
	best := float64(sent["stamped"]) / float64(asked["stamped"])
	other := float64(sent["harmless"]) / float64(asked["harmless"])
	if other < best/2 || best > 0.9 {
		t.Errorf("of the best class %.2f was sent on, of the other %.2f", best, other)
	}
}

// What takes longer than its due time at full pace says nothing of a jam: it took 8% off everybody's room each.
func TestWhatCanNotBeInTimeShowsNoJam(t *testing.T) {
	r := classes(t, Settings{"product.dueStretch": []float64{0, 0, 0}})
	for _, c := range []struct {
		spent   int64
		shrinks bool
	}{{13 * second / 10, false}, {3 * second, true}} {
		before := r.admission.limits[fills]
		request := ask("harmless", fmt.Sprint(c.spent))
		r.Decide(start, request)
		r.AttemptEnded(start+c.spent, request, Outcome{Result: Succeeded, Elapsed: c.spent, SendingTime: 0.9, Note: 2, RequestEnded: true})
		if got := r.admission.limits[fills] < before; got != c.shrinks {
			t.Errorf("an answer of 0.9 s that took %.1f s: room %.3f, was %.3f", float64(c.spent)/1e9, r.admission.limits[fills], before)
		}
	}
}

// Where the origin can fall, a fill that was denied is no reason for another at once and free of charge:
// thousands of them struck an origin that had stopped, 4.6 attempts a request.
func TestRefusedFillsAreNotFreeWhereTheOriginFalls(t *testing.T) {
	for _, factor := range []float64{0, 2.5} {
		r, further := classes(t, Settings{"origin.fallFactor": factor}), 0
		for n := range 60 {
			now := start + int64(n)*second/10
			request := ask("harmless", fmt.Sprint(n))
			for decision := r.Decide(now, request); decision.Verdict == Send; decision = r.AttemptEnded(now, request, Outcome{Result: Overloaded, Note: 7, Attempt: len(request.attempts) - 1}) {
				further++
			}
			r.ClientGone(now, request)
			further--
		}
		if free := further > 60; free != (factor == 0) {
			t.Errorf("fall factor %.1f: %d further attempts for 60 requests", factor, further)
		}
	}
}

// Settings at their bounds: no division by zero, no class shut out by another's figures.
func TestClassesAtTheBounds(t *testing.T) {
	for _, c := range []struct {
		name   string
		change Settings
	}{
		{"no worth", Settings{"product.payoff": []float64{0, 0, 0}}},
		{"one without worth", Settings{"product.payoff": []float64{0, 1, 1}}},
		{"no due time", Settings{"product.due": []int64{0, 0, 0}}},
		{"one thousand times the worth", Settings{"product.payoff": []float64{1, 1000, 1}}},
		{"a due time under a round trip", Settings{"product.due": []int64{second / 1000, second / 2, second / 2}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			change := Settings{"product.effect": []string{"harmless", "harmless", "one-shot"}}
			maps.Copy(change, c.change)
			r := newRouter(t, change)
			for n, product := range []string{"stamped", "harmless", "once"} {
				request := ask(product, fmt.Sprint(n))
				if decision := r.Decide(start, request); decision.Verdict != Send {
					t.Fatalf("%s: %+v", product, decision)
				}
				if part := r.admissionShare(start, request); !(part > 0.1 && part < 10) {
					t.Errorf("%s: part %v", product, part)
				}
				r.AttemptEnded(start+second/10, request, Outcome{Result: Succeeded, Elapsed: second / 10, Note: 1, RequestEnded: true})
			}
		})
	}
}
