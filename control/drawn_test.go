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

// drawnRun drives a router through events drawn at random: requests, outcomes, endpoint lists, purges, probes
// and ticks.
type drawnRun struct {
	rng      *rand.Rand
	router   *Router
	now      int64
	entries  []Endpoint // of the endpoint list
	nextID   uint32
	requests []*Request      // that have not ended
	digest   hash.Hash64     // of all decisions and the figures of log events
	seen     map[string]int  // how often something happened
	failing  map[uint32]bool // endpoints at which most attempts fail now
}

// drawnSettings returns settings that are drawn at random.
func drawnSettings(rng *rand.Rand) Settings {
	pick := func(n int) bool { return rng.IntN(n) == 0 }
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

// newDrawnRun starts a run that depends on its seed alone.
func newDrawnRun(t testing.TB, seed uint64) *drawnRun {
	rng := rand.New(rand.NewPCG(seed, 1))
	run := &drawnRun{
		rng:     rng,
		now:     start,
		nextID:  1,
		digest:  fnv.New64a(),
		seen:    map[string]int{},
		failing: map[uint32]bool{},
	}
	log := func(event logevent.Event) {
		run.note("log", loggedFigures(event))
		run.seen["log"]++
		run.seen[event.Kind().Name]++
	}
	router := New(start, seed, drawnSettings(rng), log)
	run.router = router
	if rng.IntN(4) == 0 {
		router.Reachable = func(id uint32) bool { return (id*2654435761+uint32(run.now/second))%7 != 0 }
	}
	for range 1 + rng.IntN([]int{4, 40, 40, 250}[rng.IntN(4)]) {
		run.entries = append(run.entries, run.drawEntry())
	}
	router.UpdateEndpoints(start, run.entries, true)
	return run
}

// note adds values to the digest.
func (run *drawnRun) note(values ...any) {
	if _, err := fmt.Fprintln(run.digest, values...); err != nil {
		panic(err) // a hash takes everything
	}
}

// loggedFigures returns the figures of a log event in the form in which the digests were recorded. It has no
// words, as a changed message changes no decision. The spaces between the figures differ by the event's type,
// and signs are left out.
func loggedFigures(event logevent.Event) string {
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

// drawEntry returns an endpoint that is not listed yet.
func (run *drawnRun) drawEntry() Endpoint {
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

// decided adds a decision to the digest. What it was asked is in the recorded digests, so these words stay.
func (run *drawnRun) decided(what string, request *Request, decision Decision) {
	// Values without the names of their fields: to rename a field changes no decision.
	attempt := decision.Attempt
	run.note(what, run.now, request.Object, int(decision.Verdict), decision.RetryAfter, decision.Cancel,
		attempt.Cache, attempt.CacheOnly, attempt.Source, attempt.CachePriority, attempt.MaxAge, attempt.JoinFill,
		attempt.RefreshBehind, attempt.ParentOnlyIfCached, attempt.ParentNoStore, attempt.Timeout, attempt.SendTimeout)
	run.seen[fmt.Sprint(what, int(decision.Verdict))]++
	if decision.Verdict == Send && request.diverted {
		run.seen["diverted"]++
	}
	if decision.Verdict == Send && decision.Attempt.CacheOnly {
		run.seen["cache only"]++
	}
}

// sendRequest has the router decide on a new request.
func (run *drawnRun) sendRequest() {
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
	run.decided("where", request, run.router.Decide(run.now, request))
}

// outcome draws how an attempt ends.
func (run *drawnRun) outcome(request *Request, number int) Outcome {
	attempt := request.attempts[number]
	outcome := Outcome{
		Attempt:     number,
		Result:      Succeeded,
		Elapsed:     run.now - attempt.sentAt,
		Note:        int64(run.rng.IntN(4)),
		SharedCause: run.rng.IntN(10) == 0,
	}
	chance := 15
	if run.failing[attempt.cache.ID] || attempt.source != nil && run.failing[attempt.source.ID] {
		chance = 2
	}
	if run.rng.IntN(chance) == 0 {
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

// end ends an attempt of a request that is in flight, if one is drawn.
func (run *drawnRun) end(request *Request) {
	for number, attempt := range request.attempts {
		if !attempt.ended && run.rng.IntN(2) == 0 {
			run.decided("after", request, run.router.AttemptEnded(run.now, request, run.outcome(request, number)))
			return
		}
	}
}

// list changes some entries of the endpoint list, and may send the complete one.
func (run *drawnRun) list() {
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
			run.entries = append(run.entries, run.drawEntry())
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

// step is one drawn event.
func (run *drawnRun) step() {
	if run.rng.IntN(3) > 0 {
		run.now += run.rng.Int64N(second / 20)
	}
	if run.rng.IntN(300) == 0 {
		run.now += run.rng.Int64N(20 * second)
	}
	if run.rng.IntN(3000) == 0 {
		run.now += 4000 * second // all scores have decayed to 0
	}
	router := run.router
	switch n := run.rng.IntN(100); {
	case n < 35:
		run.sendRequest()
	case n < 75:
		if len(run.requests) > 0 {
			run.end(run.requests[run.rng.IntN(len(run.requests))])
		}
	case n < 88:
		if len(run.requests) > 0 {
			request := run.requests[run.rng.IntN(len(run.requests))]
			request.NoNewAttempts = request.NoNewAttempts || run.rng.IntN(40) == 0
			run.note(router.RecheckDelay(run.now, request))
			run.decided("again", request, router.Decide(run.now, request))
		}
	case n < 94:
		probes, again := router.Tick(run.now)
		run.note(probes, again)
		for _, id := range probes {
			run.seen["probe"]++
			router.ProbeEnded(run.now, id, run.rng.IntN(3) > 0, nil)
		}
	case n < 96:
		run.list()
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
			run.decided("departed", request, router.ClientGone(run.now, request))
		}
	}
	run.requests = slices.DeleteFunc(run.requests, func(request *Request) bool {
		if request.inFlight == 0 && !request.ended && run.now > request.Deadline {
			router.ClientGone(run.now, request)
		}
		return request.inFlight == 0 && request.ended || request.record == nil
	})
}

// drawnSteps is how many events one recorded run has.
const drawnSteps = 2500

// recordedRuns is how many runs are recorded, with the seeds 0, 1 and so on.
const recordedRuns = 60

// record replaces the recorded digests by those of this code. It is only for commits that are meant to change
// decisions: any other has to reproduce the recorded ones.
var record = flag.Bool("record", false, "record the digests of the drawn runs anew")

const digestsFile = "testdata/decisions.digests"

// recordedDigests reads the digests, one line for each run.
func recordedDigests(t *testing.T) []string {
	t.Helper()
	raw, err := os.ReadFile(digestsFile)
	if err != nil {
		t.Fatal(err)
	}
	digests := strings.Fields(string(raw))
	if len(digests) != recordedRuns {
		t.Fatalf("%d digests are recorded, want %d", len(digests), recordedRuns)
	}
	return digests
}

// Decisions and figures of log events are the same, bit by bit, as when the digests were recorded.
func TestDecisionsAsRecorded(t *testing.T) {
	seen := map[string]int{}
	digests := make([]string, recordedRuns)
	for seed := range digests {
		run := newDrawnRun(t, uint64(seed))
		for range drawnSteps {
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
			t.Errorf("seed %d: %s, recorded %s", seed, digests[seed], want)
		}
	}
	for _, what := range []string{
		"endpoint_ejected", "endpoint_restored", "admission_limit_reduced", "diverted", "cache only", "probe",
		"where0", "where1", "where2", "after1", "after2", "after3", "again1", "again2",
	} {
		if seen[what] < 5 {
			t.Errorf("the runs show %q only %d times", what, seen[what])
		}
	}
}
