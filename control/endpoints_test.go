package control

import (
	"fmt"
	"testing"
)

// An endpoint that is draining, gone or no longer listed may stop at any time. An attempt for which it is the
// cache or the source could then be lost, so no new attempt must use it.
func TestDrainingAndGoneEndpointsGetNoAttempts(t *testing.T) {
	for _, phase := range []string{"draining", "gone", "not listed"} {
		t.Run(phase, func(t *testing.T) {
			router := newRouter(t, nil)
			if phase == "not listed" {
				router.UpdateEndpoints(start, []Endpoint{testEndpoints[1], testEndpoints[3], testEndpoints[4]}, true)
			} else {
				cache, parent := testEndpoints[0], testEndpoints[2]
				cache.Phase, parent.Phase = phase, phase
				router.UpdateEndpoints(start, []Endpoint{cache, parent}, false)
			}
			for i := range 50 {
				decision := router.Decide(start+second, newRequest("harmless", fmt.Sprint(i)))
				if decision.Verdict == Send && (decision.Attempt.Cache == 1 || decision.Attempt.Source == 3) {
					t.Fatalf("request %d is sent to cache %d with source %d, want neither cache 1 nor source 3",
						i, decision.Attempt.Cache, decision.Attempt.Source)
				}
			}
		})
	}
}

// Replacements of endpoints have new IDs. If the state of endpoints that are no longer listed were kept, memory would
// grow without bound.
func TestDelistedEndpointsAreForgotten(t *testing.T) {
	router := newRouter(t, nil)
	for n := range 5000 {
		now := start + int64(n)*second/10
		replacement := Endpoint{ID: uint32(100 + n), Location: "here", Kind: "cache", Phase: PhaseReady, Capacity: 5}
		router.UpdateEndpoints(now, append([]Endpoint{replacement}, testEndpoints...), true)
		request := newRequest("harmless", fmt.Sprint(n))
		if decision := router.Decide(now, request); decision.Verdict != Send {
			t.Fatalf("request %d: verdict %v, want %v", n, decision.Verdict, Send)
		}
		router.AttemptEnded(now, request, Outcome{Result: Succeeded, RequestEnded: true})
		router.Tick(now)
	}
	if len(router.endpoints) > len(testEndpoints)+1 {
		t.Errorf("state of %d endpoints is kept, want at most %d", len(router.endpoints), len(testEndpoints)+1)
	}
}
