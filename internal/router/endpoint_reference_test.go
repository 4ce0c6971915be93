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

// referenceList is a simple implementation of the endpoint list without indexes, by instance name: each update loops
// over all endpoints.
type referenceList map[string]EndpointEntry

// apply applies an update, and returns the complete list for the policy. Endpoints that are gone are then removed.
func (list referenceList) apply(event EndpointListUpdated) (endpoints []control.Endpoint) {
	setGone := func(name string) {
		entry := list[name]
		entry.Phase = "gone"
		list[name] = entry
	}
	for name := range list {
		listed := func(entry EndpointEntry) bool { return entry.Instance == name }
		if event.Complete && !slices.ContainsFunc(event.Entries, listed) {
			setGone(name)
		}
	}
	for _, entry := range list.olderFirst(event.Entries) {
		for name, other := range list {
			sameAddress := other.Address == entry.Address && entry.Address != ""
			if name != entry.Instance && sameAddress && other.StartedAt <= entry.StartedAt && entry.Phase == "ready" {
				setGone(name)
			}
		}
		list[entry.Instance] = entry
	}
	for _, listed := range event.Entries {
		entry := list[listed.Instance]
		for name, other := range list {
			sameAddress := other.Address == entry.Address && entry.Address != ""
			bothReady := entry.Phase == "ready" && other.Phase == "ready"
			if name != entry.Instance && sameAddress && bothReady && other.StartedAt > entry.StartedAt {
				setGone(entry.Instance)
			}
		}
	}
	list.assignIDs()
	for _, name := range sortedKeys(list) {
		endpoints = append(endpoints, list[name].Endpoint)
	}
	maps.DeleteFunc(list, func(_ string, entry EndpointEntry) bool { return entry.Phase == "gone" })
	return endpoints
}

// olderFirst returns entries with those first whose instance the list has at the same address.
func (list referenceList) olderFirst(entries []EndpointEntry) (ordered []EndpointEntry) {
	var others []EndpointEntry
	for _, entry := range entries {
		if known, listed := list[entry.Instance]; listed && known.Address == entry.Address {
			ordered = append(ordered, entry)
		} else {
			others = append(others, entry)
		}
	}
	return append(ordered, others...)
}

// assignIDs sets each endpoint's ID to the hash of its name or, if that is taken by an earlier name, to the next free
// one.
func (list referenceList) assignIDs() {
	taken := map[uint32]bool{}
	for _, name := range sortedKeys(list) {
		hash := fnv.New32a()
		hash.Write([]byte(name))
		entry := list[name]
		entry.ID = hash.Sum32()
		for taken[entry.ID] {
			entry.ID++
		}
		taken[entry.ID] = true
		list[name] = entry
	}
}

// endpointComparison runs a reducer and, for comparison, a policy that gets the complete reference list with each
// update of the endpoints.
type endpointComparison struct {
	*harness
	rng       *rand.Rand
	names     []string
	reference referenceList
	policy    *control.Router
}

func newEndpointComparison(t *testing.T, rng *rand.Rand) *endpointComparison {
	t.Helper()
	var settings control.Settings
	h := newHarness(t, func(limits *Limits, changed *control.Settings) {
		limits.ConnectionPlan = connpool.New(connpool.Config{Routers: 3, MaxConnections: 100, Router: "r"})
		settings = *changed
	})
	settings.HealthChecks = false
	policy := control.New(start, seed, settings, func(logevent.Event) {})
	policy.Reachable = h.policy.Reachable
	c := &endpointComparison{harness: h, rng: rng, reference: referenceList{}, policy: policy}
	initial := EndpointListUpdated{Complete: true, Entries: slices.Clone(initialEndpoints)}
	policy.UpdateEndpoints(start, c.reference.apply(initial), true)
	c.names = []string{"s-07e5ff", "s-0a3e80"} // names with the same hash
	for n := range 30 {
		c.names = append(c.names, fmt.Sprint("s-", n))
	}
	return c
}

// drawEntry returns an entry of the endpoint list with one of the given names and random values.
func (c *endpointComparison) drawEntry() EndpointEntry {
	entry := cacheEntry(pick(c.rng, c.names), fmt.Sprint("10.0.0.", c.rng.IntN(40), ":1"))
	entry.Location = pick(c.rng, []string{"here", "here", "there"})
	entry.Kind = pick(c.rng, []string{"cache", "cache", "parent", "origin"})
	entry.Phase = pick(c.rng, []string{"ready", "ready", "ready", "draining", "gone"})
	entry.Capacity = float64(c.rng.IntN(5))
	if c.rng.IntN(4) == 0 {
		entry.StartedAt = c.now
	}
	return entry
}

// update applies a random update to the reducer and to the reference.
func (c *endpointComparison) update() {
	c.now += c.rng.Int64N(second)
	event := EndpointListUpdated{Complete: c.rng.IntN(30) == 0}
	for range c.rng.IntN(4) {
		event.Entries = append(event.Entries, c.drawEntry())
	}
	c.policy.UpdateEndpoints(c.now, c.reference.apply(event), true)
	c.handle(event)
}

// checkEndpoints compares the endpoints, their IDs and the caches of the connection plan with the reference.
func (c *endpointComparison) checkEndpoints() {
	c.t.Helper()
	got := referenceList{}
	caches := 0
	for name, endpoint := range c.endpoints.byName {
		got[name] = endpoint.EndpointEntry
		if endpoint.inPlan {
			caches++
		}
		isCache := endpoint.Phase == "ready" && endpoint.Location == "here" && endpoint.Kind == "cache"
		if endpoint.inPlan != isCache || c.endpoints.byID[endpoint.ID] != endpoint {
			c.t.Fatalf("%s: in the connection plan: %v, want %v; endpoint with its ID: %v",
				name, endpoint.inPlan, isCache, c.endpoints.byID[endpoint.ID])
		}
	}
	if !maps.Equal(got, c.reference) {
		c.t.Fatalf("endpoints\n%v\nreference\n%v", got, c.reference)
	}
	if planned := c.limits.ConnectionPlan.SubsetSize; planned != caches {
		c.t.Fatalf("the connection plan has %d caches, want %d", planned, caches)
	}
}

// checkDecision compares the decisions of the two policies on a request.
func (c *endpointComparison) checkDecision(object int) {
	c.t.Helper()
	request := control.Request{Class: "stills", Object: fmt.Sprintf("%016x", object), Deadline: c.now + second}
	other := request
	decision, want := c.Router.policy.Decide(c.now, &request), c.policy.Decide(c.now, &other)
	if fmt.Sprint(decision) != fmt.Sprint(want) {
		c.t.Fatalf("decision %+v, want that of the reference: %+v", decision, want)
	}
	end := control.Outcome{Result: control.Succeeded, Elapsed: second / 100, RequestEnded: true}
	c.Router.policy.AttemptEnded(c.now, &request, end)
	c.policy.AttemptEnded(c.now, &other, end)
}

// The reducer passes only changes on to the policy and to the connection plan. The endpoints, their IDs, the
// decisions and the plan's caches are the same as if the complete list were passed on with each update.
func TestIncrementalEndpointUpdatesMatchReference(t *testing.T) {
	const runs, updatesPerRun = 50, 200
	rng := rand.New(rand.NewPCG(1, 2))
	displaced := 0
	for run := range runs {
		c := newEndpointComparison(t, rng)
		for update := range updatesPerRun {
			c.update()
			c.checkEndpoints()
			displaced += c.endpoints.displaced
			for n := range 3 {
				c.checkDecision(10*(run*updatesPerRun+update+1) + n)
			}
		}
		table := &c.endpoints
		if len(table.byAddress) > len(table.byName) || len(table.gone) > 0 {
			t.Errorf("the table has %d addresses and %d gone endpoints for %d endpoints",
				len(table.byAddress), len(table.gone), len(table.byName))
		}
	}
	if displaced < 100 {
		t.Errorf("%d displaced endpoints in all updates together, want at least 100", displaced)
	}
}
