package control

import (
	"fmt"
	"testing"
)

// What a parent denies for its bound the origin fills, whatever is put aside for further dispatches.
func TestRefusedFillsGoToTheOrigin(t *testing.T) {
	for _, c := range []struct {
		note int64
		fall float64
		want uint32 // the second source; 0 is none
	}{{6, 0, 5}, {7, 0, 5}, {9, 0, 0}, {6, 2, 0}} {
		t.Run(fmt.Sprint("note ", c.note, ", the origin falls at ", c.fall), func(t *testing.T) {
			r, request := newRouter(t, Settings{"origin.fallFactor": c.fall}), ask("harmless", "a")
			r.Decide(start, request)
			r.retries.tokens = 0
			decision := r.AttemptEnded(start, request, Outcome{Result: Overloaded, Note: c.note})
			if got := decision.Attempt.Source; c.want != 0 && got != c.want || c.want == 0 && got == 5 {
				t.Errorf("%+v", decision)
			}
		})
	}
}

func TestFurtherAttempts(t *testing.T) {
	cases := []struct {
		name    string
		product string
		results []Result
		want    Verdict // after the last result
	}{
		{"harmless goes on after a time-out", "harmless", []Result{TimedOut}, Send},
		{"harmless ends by its payoff", "harmless", []Result{Overloaded, Overloaded, Overloaded, Overloaded}, Reject},
		{"half the payoff, fewer dispatches", "stamped", []Result{Overloaded, Overloaded, Overloaded}, Reject},
		{"stamped that never ran goes anywhere", "stamped", []Result{Unreachable}, Send},
		{"stamped that may have run finds its group empty", "stamped", []Result{ConnectionLost, ConnectionLost}, Fail},
		{"one-shot that never ran is sent again", "once", []Result{Overloaded}, Send},
		{"one-shot that may have run is neither repeated nor dismissed", "once", []Result{TimedOut}, Fail},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newRouter(t, nil)
			request, now := ask(c.product, "a"), start
			decision := r.Decide(now, request)
			for i, result := range c.results {
				if decision.Verdict != Send {
					t.Fatalf("dispatch %d: verdict %v", i, decision.Verdict)
				}
				first := decision.Attempt.Cache
				now += second / 2
				decision = r.AttemptEnded(now, request, Outcome{Attempt: i, Result: result})
				if c.product == "stamped" && result == ConnectionLost && decision.Verdict == Send && decision.Attempt.Cache != first {
					t.Fatal("repeated outside its group")
				}
			}
			if decision.Verdict != c.want {
				t.Errorf("verdict %v, want %v", decision.Verdict, c.want)
			}
			if again := r.Decide(now, request); decision.Verdict != Send && again.Verdict != Wait {
				t.Errorf("after its final answer: %v", again.Verdict)
			}
		})
	}
}

// What a connection took with it is sent again at once; the budget is for what may be a jam.
func TestLostConnectionsCostNoTokens(t *testing.T) {
	for _, c := range []struct {
		result Result
		want   Verdict
	}{{ConnectionLost, Send}, {SendInterrupted, Send}, {NotHeld, Send}, {Overloaded, Reject}, {ServerError, Reject}, {Unreachable, Reject}} {
		t.Run(fmt.Sprint(c.result), func(t *testing.T) {
			r, request := newRouter(t, nil), ask("harmless", "a")
			r.Decide(start, request)
			r.retries.tokens = 0
			if decision := r.AttemptEnded(start, request, Outcome{Result: c.result}); decision.Verdict != c.want {
				t.Errorf("verdict %v, want %v", decision.Verdict, c.want)
			}
		})
	}
}

// Answers that never come show only at the end of the client's time: once some did not, what is overdue is sent
// again.
func TestHedging(t *testing.T) {
	for _, c := range []struct {
		name    string
		missing int
		waited  int64 // in tenths of the due time
		change  Settings
		want    Verdict
	}{
		{"answers go missing", 2, 7, nil, Send},
		{"none has", 0, 7, nil, Wait},
		{"not yet overdue", 2, 5, nil, Wait},
		{"much is late: a jam would feed on it", 60, 7, nil, Wait},
		{"two together are not allowed", 2, 7, Settings{"dispatches.together": false}, Wait},
	} {
		t.Run(c.name, func(t *testing.T) {
			r, now := newRouter(t, c.change), start
			for n := range 300 + c.missing {
				request := ask("harmless", fmt.Sprint(n))
				if decision := r.Decide(now, request); decision.Verdict != Send {
					t.Fatalf("verdict %v", decision.Verdict)
				}
				outcome := Outcome{Result: Succeeded, Elapsed: second / 10, RequestEnded: true}
				if n >= 300 {
					outcome.Result, outcome.Elapsed = TimedOut, 5*second
				}
				r.AttemptEnded(now, request, outcome)
			}
			request := ask("harmless", "x")
			r.Decide(now, request)
			now += r.objectiveFor(request, 0) * c.waited / 10
			if decision := r.Decide(now, request); decision.Verdict != c.want || decision.Verdict == Send && decision.Attempt.Cache == request.attempts[0].cache.ID {
				t.Errorf("verdict %v, want %v", decision.Verdict, c.want)
			}
		})
	}
}

// A keyed request that may have run is repeated only within its key's scope.
func TestKeyScopes(t *testing.T) {
	ran := &attemptState{cache: &endpointState{Endpoint: Endpoint{Location: "here", Cell: 1}}}
	didNotRun := &attemptState{cache: ran.cache, ended: true, result: NotSent}
	sameCell := &endpointState{Endpoint: Endpoint{Location: "here", Cell: 1}}
	sameZone := &endpointState{Endpoint: Endpoint{Location: "here", Cell: 2}}
	elsewhere := &endpointState{Endpoint: Endpoint{Location: "there", Cell: 3}}
	for _, c := range []struct {
		name        string
		idempotency idempotency
		scope       string
		attempt     *attemptState
		want        [3]bool // in the cell, in the zone, elsewhere
	}{
		{"cell", keyed, scopeCell, ran, [3]bool{true, false, false}},
		{"zone", keyed, scopeZone, ran, [3]bool{true, true, false}},
		{"all", keyed, scopeAll, ran, [3]bool{true, true, true}},
		{"did not run", keyed, scopeCell, didNotRun, [3]bool{true, true, true}},
		{"idempotent", idempotent, scopeCell, ran, [3]bool{true, true, true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			class := &classState{classTerms: classTerms{idempotency: c.idempotency, keyScope: c.scope}}
			request := &Request{requestState: requestState{class: class, attempts: []*attemptState{c.attempt}}}
			got := [3]bool{request.withinKeyScope(sameCell), request.withinKeyScope(sameZone), request.withinKeyScope(elsewhere)}
			if got != c.want {
				t.Errorf("%v, want %v", got, c.want)
			}
		})
	}
}

// Without the setting, a rejection carries no Retry-After.
func TestRejectionWithoutRetryAfter(t *testing.T) {
	r := newRouter(t, Settings{"advice": false})
	request := ask("harmless", "a")
	r.Decide(start, request)
	request.ended = false
	if decision := r.rejectOrFail(start, request); decision.Verdict != Reject || decision.RetryAfter != 0 {
		t.Errorf("%+v", decision)
	}
}
