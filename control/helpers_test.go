package control

import (
	"testing"

	"tealpath/internal/logevent"
)

// rawTestSettings returns the settings for testEndpoints. Class "harmless" is idempotent, class "stamped" is keyed,
// and class "once" is non-idempotent.
func rawTestSettings() RawSettings {
	return RawSettings{
		"routers": int64(4), "location": "here", "locations": []string{"hub", "here", "there"},
		"location.routers": []int64{0, 2, 2}, "kinds": []string{"cache", "parent", "origin"},
		"kind.parent": int64(1), "kind.origin": int64(2), "clientKBPerS": 1000., "joins": true,
		"dispatches.most": int64(6), "dispatches.together": true, "cancel": true, "advice": true,
		"advice.most": second, "drain.grace": second, "purge.grace": second, "purge.takes": 6 * second,
		"cold.share": 0.2, "cold.span": 10 * second, "cold.factor": 2., "cold.window": 2 * second,
		"parent.coldShare": 0.1, "parent.coldSpan": 20 * second, "parent.coldFactor": 2.,
		"product.names": []string{"harmless", "stamped", "once"}, "product.effect": []string{
			"harmless", "stamped",
			"one-shot",
		}, "product.scope": []string{"all", "cell", "all"}, "product.window": []int64{0, second, 0},
		"product.due": []int64{second / 2, second / 2, second / 2}, "product.payoff": []float64{2, 1, 1},
		"product.hardStop": []int64{5 * second, 5 * second, 5 * second},
		"product.fresh":    []int64{8 * second, 0, 0},
	}
}

// mustDecode decodes valid settings. It panics if they are not valid.
func mustDecode(raw RawSettings) Settings {
	settings, err := DecodeSettings(raw)
	if err != nil {
		panic(err)
	}
	return settings
}

// testSettings returns the settings of rawTestSettings after applying change, which may be nil.
func testSettings(change func(*Settings)) Settings {
	settings := mustDecode(rawTestSettings())
	if change != nil {
		change(&settings)
	}
	return settings
}

// setWeights sets the priority weights of the classes, in their order.
func setWeights(s *Settings, weights ...float64) {
	for i, weight := range weights {
		s.Classes[i].PriorityWeight = weight
	}
}

// setObjectives sets the latency objectives of the classes, in their order.
func setObjectives(s *Settings, objectives ...int64) {
	for i, objective := range objectives {
		s.Classes[i].LatencyObjective = objective
	}
}

// setObjectiveStretches sets the ObjectiveStretch of the classes, in their order.
func setObjectiveStretches(s *Settings, stretches ...float64) {
	for i, stretch := range stretches {
		s.Classes[i].ObjectiveStretch = stretch
	}
}

// start is the time at which most tests begin, in ns of the router's clock.
const start = 1000 * second

// testEndpoints are two caches in this location, two parents and the origin in the location "hub", and a cache in a
// third location. An endpoint's ID is its index plus 1.
var testEndpoints = []Endpoint{
	{ID: 1, Location: "here", Kind: "cache", Cell: 1, Phase: "ready", Capacity: 5},
	{ID: 2, Location: "here", Kind: "cache", Cell: 2, Phase: "ready", Capacity: 5},
	{ID: 3, Location: "hub", Kind: "parent", Cell: 3, Phase: "ready", Capacity: 20},
	{ID: 4, Location: "hub", Kind: "parent", Cell: 3, Phase: "ready", Capacity: 20},
	{ID: 5, Location: "hub", Kind: "origin", Cell: 4, Phase: "ready", Capacity: 20},
	{ID: 6, Location: "there", Kind: "cache", Cell: 5, Phase: "ready", Capacity: 5},
}

func newRouter(t *testing.T, change func(*Settings)) *Router {
	t.Helper()
	router := New(start, 7, testSettings(change), func(logevent.Event) {})
	router.UpdateEndpoints(start, testEndpoints, true)
	return router
}

// newRequest returns a new request with a deadline 500 s after start.
func newRequest(class, object string) *Request {
	return &Request{Class: class, Object: object, Group: 1, Deadline: start + 500*second}
}
