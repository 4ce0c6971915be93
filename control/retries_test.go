package control

import (
	"fmt"
	"slices"
	"testing"
)

// A fill that a parent rejects goes to the origin if the origin cannot be overloaded, even without retry tokens.
func TestRejectedFillsGoToTheOrigin(t *testing.T) {
	for _, test := range []struct {
		note           int64   // who rejected the fill: 6: the source; 7: the source was unreachable; 9: the cache
		overloadFactor float64 // the origin is overloaded above this multiple of its capacity; 0: never
		want           uint32  // ID of the source of the retry; 0: any but the origin, or no retry
	}{{6, 0, 5}, {7, 0, 5}, {9, 0, 0}, {6, 2, 0}} {
		t.Run(fmt.Sprint("note ", test.note, ", overload factor ", test.overloadFactor), func(t *testing.T) {
			router := newRouter(t, func(s *Settings) { s.OriginUnlimited = test.overloadFactor == 0 })
			request := newRequest("harmless", "a")
			router.Decide(start, request)
			router.retries.tokens = 0
			decision := router.AttemptEnded(start, request, Outcome{Result: Overloaded, Note: test.note})
			if got := decision.Attempt.Source; test.want != 0 && got != test.want || test.want == 0 && got == 5 {
				t.Errorf("decision %+v, want source %d (0: not the origin, 5)", decision, test.want)
			}
		})
	}
}

func TestRetries(t *testing.T) {
	cases := []struct {
		name    string
		class   string
		results []Result
		want    Verdict // verdict after the last result
	}{
		{"idempotent, after a timeout", "harmless", []Result{TimedOut}, Send},
		{
			"idempotent, attempts limited by its weight",
			"harmless",
			[]Result{Overloaded, Overloaded, Overloaded, Overloaded},
			Reject,
		},
		{"half the weight: fewer attempts", "stamped", []Result{Overloaded, Overloaded, Overloaded}, Reject},
		{"keyed, has not run: any cache", "stamped", []Result{Unreachable}, Send},
		{"keyed, may have run: no other cache in its cell", "stamped", []Result{ConnectionLost, ConnectionLost}, Fail},
		{"non-idempotent, has not run", "once", []Result{Overloaded}, Send},
		{"non-idempotent, may have run: neither retried nor rejected", "once", []Result{TimedOut}, Fail},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			router := newRouter(t, nil)
			request, now := newRequest(test.class, "a"), start
			decision := router.Decide(now, request)
			for i, result := range test.results {
				if decision.Verdict != Send {
					t.Fatalf("attempt %d: verdict %v, want %v", i, decision.Verdict, Send)
				}
				first := decision.Attempt.Cache
				now += second / 2
				decision = router.AttemptEnded(now, request, Outcome{Attempt: i, Result: result})
				mayHaveRun := test.class == "stamped" && result == ConnectionLost
				if mayHaveRun && decision.Verdict == Send && decision.Attempt.Cache != first {
					t.Fatalf("attempt %d is sent to cache %d in another cell, want cache %d",
						i+1, decision.Attempt.Cache, first)
				}
			}
			if decision.Verdict != test.want {
				t.Errorf("verdict %v, want %v", decision.Verdict, test.want)
			}
			if again := router.Decide(now, request); decision.Verdict != Send && again.Verdict != Wait {
				t.Errorf("after the final response: verdict %v, want %v", again.Verdict, Wait)
			}
		})
	}
}

// Lost connections do not come from an overload. Retries after them must work even if the retries of an overload have
// used up the tokens.
func TestRetriesAfterLostConnectionsTakeNoTokens(t *testing.T) {
	for _, test := range []struct {
		result Result
		want   Verdict
	}{
		{ConnectionLost, Send},
		{SendInterrupted, Send},
		{NotCached, Send},
		{Overloaded, Reject},
		{ServerError, Reject},
		{Unreachable, Reject},
	} {
		t.Run(fmt.Sprint(test.result), func(t *testing.T) {
			router, request := newRouter(t, nil), newRequest("harmless", "a")
			router.Decide(start, request)
			router.retries.tokens = 0
			decision := router.AttemptEnded(start, request, Outcome{Result: test.result})
			if decision.Verdict != test.want {
				t.Errorf("verdict %v, want %v", decision.Verdict, test.want)
			}
		})
	}
}

// After responses were lost, an attempt that takes long is hedged. Without a hedge, a lost response would be noticed
// only at the deadline.
func TestHedging(t *testing.T) {
	for _, test := range []struct {
		name    string
		lost    int   // number of responses that were lost just before
		elapsed int64 // time since the attempt was sent, in tenths of the latency objective
		change  func(*Settings)
		want    Verdict
	}{
		{"responses were lost", 2, 7, nil, Send},
		{"no response was lost", 0, 7, nil, Wait},
		{"the attempt does not take long yet", 2, 5, nil, Wait},
		{"many attempts time out: hedges would make an overload worse", 60, 7, nil, Wait},
		{"hedging is not allowed", 2, 7, func(s *Settings) { s.Hedging = false }, Wait},
	} {
		t.Run(test.name, func(t *testing.T) {
			router, now := newRouter(t, test.change), start
			for n := range 300 + test.lost {
				request := newRequest("harmless", fmt.Sprint(n))
				if decision := router.Decide(now, request); decision.Verdict != Send {
					t.Fatalf("request %d: verdict %v, want %v", n, decision.Verdict, Send)
				}
				outcome := Outcome{Result: Succeeded, Elapsed: second / 10, RequestEnded: true}
				if n >= 300 {
					outcome.Result, outcome.Elapsed = TimedOut, 5*second
				}
				router.AttemptEnded(now, request, outcome)
			}
			request := newRequest("harmless", "x")
			router.Decide(now, request)
			now += router.objectiveFor(request, 0) * test.elapsed / 10
			decision := router.Decide(now, request)
			sameCache := decision.Verdict == Send && decision.Attempt.Cache == request.attempts[0].cache.ID
			if decision.Verdict != test.want || sameCache {
				t.Errorf("verdict %v, want %v; sent to the same cache: %v, want false",
					decision.Verdict, test.want, sameCache)
			}
		})
	}
}

// A keyed request that may have run is retried only within the scope of its key: servers outside that scope could
// execute it a second time.
func TestKeyScopes(t *testing.T) {
	ran := &attemptState{
		cache:    &endpointState{Endpoint: Endpoint{Location: "here", Cell: 1}},
		location: "here",
		cell:     1,
	}
	didNotRun := &attemptState{cache: ran.cache, ended: true, result: NotSent}
	sameCell := &endpointState{Endpoint: Endpoint{Location: "here", Cell: 1}}
	sameZone := &endpointState{Endpoint: Endpoint{Location: "here", Cell: 2}}
	elsewhere := &endpointState{Endpoint: Endpoint{Location: "there", Cell: 3}}
	for _, test := range []struct {
		name        string
		idempotency Idempotency
		scope       KeyScope
		attempt     *attemptState
		want        [3]bool // whether a retry is allowed in the same cell, in the same zone and elsewhere
	}{
		{"cell", Keyed, ScopeCell, ran, [3]bool{true, false, false}},
		{"zone", Keyed, ScopeZone, ran, [3]bool{true, true, false}},
		{"all", Keyed, ScopeAll, ran, [3]bool{true, true, true}},
		{"did not run", Keyed, ScopeCell, didNotRun, [3]bool{true, true, true}},
		{"idempotent", Idempotent, ScopeCell, ran, [3]bool{true, true, true}},
	} {
		t.Run(test.name, func(t *testing.T) {
			class := &classState{ClassSettings: ClassSettings{Idempotency: test.idempotency, KeyScope: test.scope}}
			request := &Request{requestState: requestState{class: class, attempts: []*attemptState{test.attempt}}}
			got := [3]bool{
				request.withinKeyScope(sameCell),
				request.withinKeyScope(sameZone),
				request.withinKeyScope(elsewhere),
			}
			if got != test.want {
				t.Errorf("retry allowed in the same cell, in the same zone, elsewhere: %v, want %v", got, test.want)
			}
		})
	}
}

// If the settings do not allow Retry-After, clients must get rejections without it.
func TestRejectionWithoutRetryAfter(t *testing.T) {
	router := newRouter(t, func(s *Settings) { s.RetryAfter = false })
	request := newRequest("harmless", "a")
	router.Decide(start, request)
	request.ended = false
	if decision := router.rejectOrFail(start, request); decision.Verdict != Reject || decision.RetryAfter != 0 {
		t.Errorf("decision %+v, want verdict reject without RetryAfter", decision)
	}
}

// The scope of an idempotency key is that of the cache to which the request was sent. If the cache's instance comes
// back in another cell, that cell does not know the request.
func TestKeyScopeIsThatOfTheAttempt(t *testing.T) {
	router, request := newRouter(t, nil), newRequest("stamped", "a")
	decision := router.Decide(start, request)
	moved := slices.Clone(testEndpoints)
	for i := range moved {
		if moved[i].ID == decision.Attempt.Cache {
			moved[i].Cell = 9
		}
	}
	router.UpdateEndpoints(start+second/10, moved, true)
	decision = router.AttemptEnded(start+second/5, request, Outcome{Result: ConnectionLost})
	if decision.Verdict == Send {
		t.Errorf("decision %+v: sent to cache %d, which is in another cell now", decision, decision.Attempt.Cache)
	}
}
