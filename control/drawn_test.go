package control

import (
	"flag"
	"fmt"
	"hash"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"

	"tealpath/internal/logevent"
)

// randomRun drives a router through random events: requests, outcomes, changes of the endpoint list, purges, probes
// and ticks.
type randomRun struct {
	rng      *rand.Rand
	router   *Router
	now      int64
	entries  []Endpoint // entries of the current endpoint list
	nextID   uint32
	requests []*Request      // requests that have not ended
	digest   hash.Hash64     // hash of all decisions, and of the numbers in log events, so far
	seen     map[string]int  // how often each kind of event and decision has occurred
	failing  map[uint32]bool // IDs of the endpoints at which half of the attempts fail now
}

// randomSettings returns testSettings with random values for some of the settings.
func randomSettings(rng *rand.Rand) Settings {
	pick := func(n int) bool { return rng.IntN(n) == 0 } // true with a probability of 1/n
	settings := testSettings(nil)
	settings.Weights = []WeightMeaning{CapacityWeights, NoWeights, LoadWeights}[rng.IntN(3)]
	settings.HealthChecks = pick(2)
	settings.JoinFills = pick(2)
	settings.Hedging = !pick(3)
	settings.CancelAttempts = !pick(3)
	settings.OriginUnlimited = pick(2)
	settings.Routers = 1 + rng.IntN(40)
	settings.LocationRouters = 1 + rng.IntN(20)
	settings.Classes[2].Uncacheable = pick(2)
	setObjectiveStretches(&settings, 2, 1, 0)
	settings.Classes[1].KeyScope = []KeyScope{ScopeCell, ScopeZone, ScopeAll}[rng.IntN(3)]
	settings.Classes[2].KeyScope = ScopeCell
	if pick(2) {
		settings.LoadReportFields = []string{"x1", "inHand"}
	}
	return settings
}

// newRandomRun starts a run. All its events depend only on the seed.
func newRandomRun(t testing.TB, seed uint64) *randomRun {
	rng := rand.New(rand.NewPCG(seed, 1))
	run := &randomRun{
		rng:     rng,
		now:     start,
		nextID:  1,
		digest:  fnv.New64a(),
		seen:    map[string]int{},
		failing: map[uint32]bool{},
	}
	log := func(event logevent.Event) {
		run.addToDigest("log", loggedNumbers(event))
		run.seen["log"]++
		run.seen[event.Kind().Name]++
	}
	router := New(start, seed, randomSettings(rng), log)
	run.router = router
	if rng.IntN(4) == 0 {
		router.Reachable = func(id uint32) bool { return (id*2654435761+uint32(run.now/second))%7 != 0 }
	}
	for range 1 + rng.IntN([]int{4, 40, 40, 250}[rng.IntN(4)]) {
		run.entries = append(run.entries, run.randomEntry())
	}
	router.UpdateEndpoints(start, run.entries, true)
	return run
}

// addToDigest adds the text of values to the digest of the run, which depends on their order.
func (run *randomRun) addToDigest(values ...any) {
	if _, err := fmt.Fprintln(run.digest, values...); err != nil {
		panic(err) // writing to a hash does not fail
	}
}

// loggedNumbers returns the numbers in a log event in the format of the recorded digests. The text of the message
// is left out, so that the digests do not depend on it. The spaces between the numbers depend on the type of the
// event, and signs are omitted.
func loggedNumbers(event logevent.Event) string {
	switch e := event.(type) {
	case EndpointEjected:
		return fmt.Sprintf(" %d   %.1f  %.1f  %.1f", e.Endpoint, math.Abs(e.SilenceScore), e.Failures, e.Attempts)
	case EndpointRestored:
		return fmt.Sprintf(" %d  ", e.Endpoint)
	case AdmissionLimitReduced:
		return fmt.Sprintf("%6s%.2f", "", e.Limit)
	case AdmissionLimitRestored:
		return fmt.Sprintf("%6s%.2f", "", e.Limit)
	case ClockAhead:
		return strings.Repeat(" ", 19)
	}
	return event.Kind().Name
}

// randomEntry returns a random endpoint with a new ID.
func (run *randomRun) randomEntry() Endpoint {
	entry := Endpoint{
		ID: run.nextID*2654435761 + 17, Location: "here", Kind: "cache", Cell: int64(run.rng.IntN(4)), Phase: "ready",
		Capacity: []float64{1, 5, 5, 5, 0, 7.3, 0.1, 20}[run.rng.IntN(8)],
	}
	run.nextID++
	switch n := run.rng.IntN(20); {
	case n < 4:
		entry.Location, entry.Kind = "hub", "parent"
	case n == 4:
		entry.Location, entry.Kind = "hub", "origin"
	case n == 5:
		entry.Location = "there"
	}
	if run.rng.IntN(5) == 0 {
		entry.StartedAt = run.now
	}
	return entry
}

// addDecision adds a decision to the digest. trigger is part of the recorded digests, so its values must not change.
func (run *randomRun) addDecision(trigger string, request *Request, decision Decision) {
	// The digest has the values without the field names, so that it does not depend on these names.
	attempt := decision.Attempt
	run.addToDigest(trigger, run.now, request.Object, int(decision.Verdict), decision.RetryAfter, decision.Cancel,
		attempt.Cache, attempt.CacheOnly, attempt.Source, attempt.CachePriority, attempt.MaxAge, attempt.JoinFill,
		attempt.RefreshBehind, attempt.ParentOnlyIfCached, attempt.ParentNoStore, attempt.Timeout, attempt.SendTimeout)
	run.seen[fmt.Sprint(trigger, int(decision.Verdict))]++
	if decision.Verdict == Send && request.diverted {
		run.seen["diverted"]++
	}
	if decision.Verdict == Send && decision.Attempt.CacheOnly {
		run.seen["cache only"]++
	}
}

// sendRequest passes a new random request to Decide and adds it to the requests of the run.
func (run *randomRun) sendRequest() {
	classes := []string{"harmless", "harmless", "stamped", "once"}
	object := run.rng.IntN(1 + run.rng.IntN(60))
	request := &Request{
		Class:       classes[run.rng.IntN(len(classes))],
		Object:      fmt.Sprintf("%016x", object),
		Group:       int64(object % 5),
		Part:        int64(run.rng.IntN(2)),
		Deadline:    run.now + int64(run.rng.IntN(3000)+200)*second/1000,
		ClientRetry: run.rng.IntN(12) == 0,
		Write:       run.rng.IntN(10) == 0,
		SizeKB:      []float64{0, 0, 10, 200, 2000}[run.rng.IntN(5)],
	}
	run.requests = append(run.requests, request)
	run.addDecision("where", request, run.router.Decide(run.now, request))
}

// outcome returns the outcome of an attempt: a success, or a random result for one attempt in 15. At failing endpoints
// one in two gets a random result.
func (run *randomRun) outcome(request *Request, number int) Outcome {
	attempt := request.attempts[number]
	outcome := Outcome{
		Attempt:     number,
		Result:      Succeeded,
		Elapsed:     run.now - attempt.sentAt,
		Note:        int64(run.rng.IntN(4)),
		SharedCause: run.rng.IntN(10) == 0,
	}
	attemptsPerFailure := 15
	if run.failing[attempt.cache.ID] || attempt.source != nil && run.failing[attempt.source.ID] {
		attemptsPerFailure = 2
	}
	if run.rng.IntN(attemptsPerFailure) == 0 {
		outcome.Result = Result(run.rng.IntN(int(Cancelled) + 1))
		outcome.Note = int64(run.rng.IntN(10))
	}
	outcome.RequestEnded = outcome.Result == Succeeded || run.rng.IntN(20) == 0
	if run.rng.IntN(2) == 0 {
		outcome.SendingTime = run.rng.Float64()
	}
	if run.rng.IntN(2) == 0 {
		outcome.LoadReport = []float64{0, float64(run.rng.IntN(30))}
	}
	return outcome
}

// endAttempt goes through the attempts in flight of a request and ends the first one that a random draw selects. Each
// draw selects with a probability of one half, so that sometimes no attempt ends.
func (run *randomRun) endAttempt(request *Request) {
	for number, attempt := range request.attempts {
		if !attempt.ended && run.rng.IntN(2) == 0 {
			run.addDecision("after", request, run.router.AttemptEnded(run.now, request, run.outcome(request, number)))
			return
		}
	}
}

// changeEndpointList changes one or two entries of the endpoint list, and sometimes sends the complete list.
func (run *randomRun) changeEndpointList() {
	for range 1 + run.rng.IntN(2) {
		i := run.rng.IntN(len(run.entries))
		entry := &run.entries[i]
		switch run.rng.IntN(7) {
		case 0:
			entry.Phase = []string{"draining", "gone"}[run.rng.IntN(2)]
		case 1, 2:
			entry.Phase = "ready"
		case 3:
			entry.StartedAt, entry.Phase = run.now, "ready"
		case 4:
			entry.Capacity = run.rng.Float64() * 10
		case 5:
			run.entries = append(run.entries, run.randomEntry())
			i = len(run.entries) - 1
		case 6:
			if len(run.entries) > 2 {
				run.entries = slices.Delete(run.entries, i, i+1)
				run.router.UpdateEndpoints(run.now, run.entries, true)
				continue
			}
		}
		run.router.UpdateEndpoints(run.now, slices.Clone(run.entries[i:i+1]), false)
	}
	if run.rng.IntN(4) == 0 {
		run.router.UpdateEndpoints(run.now, run.entries, true)
	}
}

// step passes one random event to the router, mostly after advancing the clock by less than 50 ms.
func (run *randomRun) step() {
	if run.rng.IntN(3) > 0 {
		run.now += run.rng.Int64N(second / 20)
	}
	if run.rng.IntN(300) == 0 {
		run.now += run.rng.Int64N(20 * second)
	}
	if run.rng.IntN(3000) == 0 {
		run.now += 4000 * second // long enough for all health scores to decay to 0
	}
	router := run.router
	switch n := run.rng.IntN(100); {
	case n < 35:
		run.sendRequest()
	case n < 75:
		if len(run.requests) > 0 {
			run.endAttempt(run.requests[run.rng.IntN(len(run.requests))])
		}
	case n < 88:
		if len(run.requests) > 0 {
			request := run.requests[run.rng.IntN(len(run.requests))]
			request.NoNewAttempts = request.NoNewAttempts || run.rng.IntN(40) == 0
			run.addToDigest(router.RecheckDelay(run.now, request))
			run.addDecision("again", request, router.Decide(run.now, request))
		}
	case n < 94:
		probes, again := router.Tick(run.now)
		run.addToDigest(probes, again)
		for _, id := range probes {
			run.seen["probe"]++
			router.ProbeEnded(run.now, id, run.rng.IntN(3) > 0, nil)
		}
	case n < 96:
		run.changeEndpointList()
	case n < 97:
		object := fmt.Sprintf("%016x", run.rng.IntN(30))
		if run.rng.IntN(3) == 0 {
			object = ""
		}
		router.Purge(run.now, object, int64(run.rng.IntN(5)), run.now-run.rng.Int64N(second))
	case n < 98:
		if len(run.entries) > 0 {
			id := run.entries[run.rng.IntN(len(run.entries))].ID
			run.failing[id] = !run.failing[id]
		}
	default:
		if len(run.requests) > 0 {
			request := run.requests[run.rng.IntN(len(run.requests))]
			run.addDecision("departed", request, router.EndRequest(run.now, request))
		}
	}
	run.requests = slices.DeleteFunc(run.requests, func(request *Request) bool {
		if request.inFlight == 0 && !request.ended && run.now > request.Deadline {
			router.EndRequest(run.now, request)
		}
		return request.inFlight == 0 && request.ended || request.record == nil
	})
}

// stepsPerRun is the number of events in one recorded run.
const stepsPerRun = 2500

// recordedRuns is the number of recorded runs. Their seeds are 0, 1 and so on.
const recordedRuns = 60

// record replaces the recorded digests with those of the current code. Use it only for commits that are meant to
// change decisions. All other commits must reproduce the recorded digests.
var record = flag.Bool("record", false, "replace the recorded digests of the random runs with the current ones")

const digestsFile = "testdata/decisions.digests"

// recordedDigests returns the lines of the file with the recorded digests, one for each run in the order of the seeds.
func recordedDigests(t *testing.T) []string {
	t.Helper()
	raw, err := os.ReadFile(digestsFile)
	if err != nil {
		t.Fatal(err)
	}
	digests := strings.Fields(string(raw))
	if len(digests) != recordedRuns {
		t.Fatalf("%s has %d digests, want %d", digestsFile, len(digests), recordedRuns)
	}
	return digests
}

// A change of the code that is not meant to change decisions must not change any of them, nor a number in a log event,
// even in the last bit. The random runs must therefore have the same digests as when they were recorded.
func TestDecisionsAsRecorded(t *testing.T) {
	seen := map[string]int{}
	digests := make([]string, recordedRuns)
	for seed := range digests {
		run := newRandomRun(t, uint64(seed))
		for range stepsPerRun {
			run.step()
		}
		digests[seed] = fmt.Sprintf("%016x", run.digest.Sum64())
		for what, n := range run.seen {
			seen[what] += n
		}
	}
	if *record {
		if err := os.WriteFile(digestsFile, []byte(strings.Join(digests, "\n")+"\n"), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	for seed, want := range recordedDigests(t) {
		if digests[seed] != want {
			t.Errorf("seed %d: digest %s, recorded is %s", seed, digests[seed], want)
		}
	}
	for _, what := range []string{
		"endpoint_ejected", "endpoint_restored", "admission_limit_reduced", "diverted", "cache only", "probe",
		"where0", "where1", "where2", "after1", "after2", "after3", "again1", "again2",
	} {
		if seen[what] < 5 {
			t.Errorf("%q happens only %d times in all runs, want at least 5", what, seen[what])
		}
	}
}
