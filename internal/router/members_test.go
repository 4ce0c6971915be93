package router

import (
	"fmt"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"tealpath/control"
	"tealpath/internal/connpool"
	"tealpath/internal/logevent"
)

// plainList is the list of members as it is kept without an index: each event goes over all members.
type plainList map[string]EndpointEntry

// take takes an event of the list over, and gives the whole list as it is to be handed on.
func (l plainList) take(e EndpointListUpdated) (lines []control.Endpoint) {
	for name, m := range l {
		if e.Complete && !slices.ContainsFunc(e.Entries, func(line EndpointEntry) bool { return line.Instance == name }) {
			m.Phase = "gone"
			l[name] = m
		}
	}
	for _, line := range e.Entries {
		for name, m := range l {
			if name != line.Instance && m.Address == line.Address && line.Address != "" && m.StartedAt <= line.StartedAt &&
				line.Phase == "ready" {
				m.Phase = "gone"
				l[name] = m
			}
		}
		l[line.Instance] = line
	}
	taken := map[uint32]bool{}
	for _, name := range sortedKeys(l) {
		h := fnv.New32a()
		h.Write([]byte(name))
		m := l[name]
		for m.ID = h.Sum32(); taken[m.ID]; m.ID++ {
		}
		taken[m.ID], l[name] = true, m
		lines = append(lines, m.Endpoint)
	}
	maps.DeleteFunc(l, func(_ string, m EndpointEntry) bool { return m.Phase == "gone" })
	return lines
}

// Only what has changed is handed on; members, their IDs, the module's choices and the caches of the plan are those of
// a list that is kept and handed on as a whole with each event.
func TestListEventsAsByTheWholeList(t *testing.T) {
	const events = 10_000
	names := []string{"s-07e5ff", "s-0a3e80"} // the same hash
	for n := range 30 {
		names = append(names, fmt.Sprint("s-", n))
	}
	rng := rand.New(rand.NewPCG(1, 2))
	drawLine := func(now int64) EndpointEntry {
		line := EndpointEntry{names[rng.IntN(len(names))], fmt.Sprint("10.0.0.", rng.IntN(40), ":1"), control.Endpoint{
			Location: []string{"here", "here", "there"}[rng.IntN(3)], Kind: []string{"cache", "cache", "parent", "origin"}[rng.IntN(4)],
			Phase: []string{"ready", "ready", "ready", "draining", "gone"}[rng.IntN(5)], Capacity: float64(rng.IntN(5))}}
		if rng.IntN(4) == 0 {
			line.StartedAt = now
		}
		return line
	}
	displaced := 0
	for n := 0; n < events; {
		var set control.Settings
		p := newPlay(t, func(l *Limits, s *control.Settings) {
			l.ConnectionPlan = connpool.New(connpool.Config{Routers: 3, MaxConnections: 100, Router: "r"})
			set = *s
		})
		set.HealthChecks = false
		plainModule := control.New(start, 7, set, func(logevent.Event) {})
		plainModule.Reachable = p.policy.Reachable
		plain := plainList{}
		plainModule.UpdateEndpoints(start, plain.take(EndpointListUpdated{Complete: true, Entries: slices.Clone(fleet)}), true)
		for range 200 {
			n++
			p.now += rng.Int64N(second)
			e := EndpointListUpdated{Complete: rng.IntN(30) == 0}
			for range rng.IntN(4) {
				e.Entries = append(e.Entries, drawLine(p.now))
			}
			plainModule.UpdateEndpoints(p.now, plain.take(e), true)
			p.take(e)
			got := plainList{}
			for name, endpoint := range p.endpoints {
				got[name] = endpoint.EndpointEntry
			}
			if !maps.Equal(got, plain) {
				t.Fatalf("event %d: members\n%v\nplainly\n%v", n, got, plain)
			}
			caches := 0
			for name, endpoint := range p.endpoints {
				if endpoint.inPlan {
					caches++
				}
				if cache := endpoint.Phase == "ready" && endpoint.Location == "here" && endpoint.Kind == "cache"; endpoint.inPlan != cache || p.endpointsByID[endpoint.ID] != endpoint {
					t.Fatalf("event %d: %s planned %v, by its ID %v", n, name, endpoint.inPlan, p.endpointsByID[endpoint.ID])
				}
			}
			if kept := p.limits.ConnectionPlan.SubsetSize; kept != caches {
				t.Fatalf("event %d: the plan knows of %d caches, there are %d", n, kept, caches)
			}
			displaced += p.index.displaced
			for i := range 3 {
				ask := control.Request{Class: "stills", Object: fmt.Sprintf("%016x", 10*n+i), Deadline: p.now + second}
				other := ask
				d, want := p.policy.Decide(p.now, &ask), plainModule.Decide(p.now, &other)
				if fmt.Sprint(d) != fmt.Sprint(want) {
					t.Fatalf("event %d: decided %+v, plainly %+v", n, d, want)
				}
				end := control.Outcome{Result: control.Succeeded, Elapsed: second / 100, RequestEnded: true}
				p.policy.AttemptEnded(p.now, &ask, end)
				plainModule.AttemptEnded(p.now, &other, end)
			}
		}
		if len(p.index.byAddress) > len(p.endpoints) || len(p.index.gone) > 0 {
			t.Errorf("%d addresses and %d gone members are kept for %d members", len(p.index.byAddress), len(p.index.gone), len(p.endpoints))
		}
	}
	if displaced < 100 {
		t.Errorf("members were displaced %d times only", displaced)
	}
}

// A list event of one line, at several sizes of the list.
func BenchmarkListEvent(b *testing.B) {
	for _, servers := range []int{12, 200, 800, 3200} {
		b.Run(fmt.Sprint("servers=", servers), func(b *testing.B) {
			set := control.DefaultSettings()
			set.Location = "here"
			set.Routers = 2
			set.LocationRouters = 2
			set.LongestDeadline = second
			set.Classes = []control.ClassSettings{{
				Name:             "stills",
				LatencyObjective: second,
				PriorityWeight:   1,
				Idempotency:      control.Idempotent,
				KeyScope:         control.ScopeCell,
			}}
			r := New(start, 7, set, Limits{MaxConnections: 8, MaxInFlight: 100, MaxBodyBytes: 1 << 20})
			var lines []EndpointEntry
			for n := range servers {
				lines = append(lines, EndpointEntry{fmt.Sprintf("s-%06d", n), fmt.Sprintf("10.0.%d.%d:1", n/200, n%200), control.Endpoint{
					Location: "here", Kind: "cache", Phase: "ready", Capacity: 5}})
			}
			r.Handle(start, EndpointListUpdated{Complete: true, Entries: lines})
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				line := lines[i/2%servers : i/2%servers+1]
				line[0].Phase = []string{"draining", "ready"}[i%2]
				r.Handle(start, EndpointListUpdated{Entries: line})
			}
		})
	}
}
