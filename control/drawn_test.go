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
	"tealpath/internal/logevent"
	"testing"
)

// drawnPlay drives a router through drawn events: requests, outcomes, lists, purges, probes and ticks.
type drawnPlay struct {
	rng      *rand.Rand
	router   *Router
	now      int64
	lines    []Endpoint
	nextID   uint32
	requests []*Request  // those that are not yet finished
	digest   hash.Hash64 // of every decision and log line
	seen     map[string]int
	failing  map[uint32]bool // members at which most fails now
}

// drawnSettings gives one of several ways to run a router.
func drawnSettings(rng *rand.Rand) Settings {
	pick := func(n int) bool { return rng.IntN(n) == 0 }
	set := Settings{
		"units": []string{"nominal", "off", "live"}[rng.IntN(3)], "probe": pick(2), "joins": pick(2),
		"dispatches.together": !pick(3), "cancel": !pick(3), "origin.fallFactor": []float64{0, 2}[rng.IntN(2)],
		"routers": int64(1 + rng.IntN(40)), "location.routers": []int64{0, int64(1 + rng.IntN(20)), 2},
		"product.neverKept": []bool{false, false, pick(2)}, "product.dueStretch": []float64{2, 1, 0},
		"product.scope": []string{"all", []string{"cell", "zone", "all"}[rng.IntN(3)], "cell"},
	}
	if pick(2) {
		set["report.fields"] = []string{"x1", "inHand"}
	}
	return set
}

// newDrawnPlay starts a play that depends on its seed alone.
func newDrawnPlay(t testing.TB, seed uint64) *drawnPlay {
	rng := rand.New(rand.NewPCG(seed, 1))
	p := &drawnPlay{rng: rng, now: start, nextID: 1, digest: fnv.New64a(), seen: map[string]int{}, failing: map[uint32]bool{}}
	log := func(event logevent.Event) {
		p.note("log", loggedFigures(event))
		p.seen["log"]++
		p.seen[event.Kind().Name]++
	}
	r, err := New(start, seed, site(drawnSettings(rng)), log)
	if err != nil {
		t.Fatal(err)
	}
	p.router = r
	if rng.IntN(4) == 0 {
		r.Reachable = func(id uint32) bool { return (id*2654435761+uint32(p.now/second))%7 != 0 }
	}
	for range 1 + rng.IntN([]int{4, 40, 40, 250}[rng.IntN(4)]) {
		p.lines = append(p.lines, p.drawLine())
	}
	r.UpdateEndpoints(start, p.lines, true)
	return p
}

// note adds values to the digest.
func (p *drawnPlay) note(values ...any) {
	if _, err := fmt.Fprintln(p.digest, values...); err != nil {
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

// drawLine gives a new member.
func (p *drawnPlay) drawLine() Endpoint {
	line := Endpoint{
		ID: p.nextID*2654435761 + 17, Location: "here", Kind: "cache", Cell: int64(p.rng.IntN(4)), Phase: "ready",
		Capacity: []float64{1, 5, 5, 5, 0, 7.3, 0.1, 20}[p.rng.IntN(8)],
	}
	p.nextID++
	switch n := p.rng.IntN(20); {
	case n < 4:
		line.Location, line.Kind = "hub", "parent"
	case n == 4:
		line.Location, line.Kind = "hub", "origin"
	case n == 5:
		line.Location = "there"
	}
	if p.rng.IntN(5) == 0 {
		line.StartedAt = p.now
	}
	return line
}

// decided records a decision.
func (p *drawnPlay) decided(what string, request *Request, decision Decision) {
	// By place, not by name: renaming a field changes no decision.
	to := decision.Attempt
	p.note(what, p.now, request.Object, int(decision.Verdict), decision.RetryAfter, decision.Cancel, to.Cache, to.CacheOnly, to.Source, to.CachePriority, to.MaxAge,
		to.JoinFill, to.RefreshBehind, to.ParentOnlyIfCached, to.ParentNoStore, to.Timeout, to.SendTimeout)
	p.seen[fmt.Sprint(what, int(decision.Verdict))]++
	if decision.Verdict == Send && request.diverted {
		p.seen["away"]++
	}
	if decision.Verdict == Send && decision.Attempt.CacheOnly {
		p.seen["plain"]++
	}
}

// ask brings a new retrieval.
func (p *drawnPlay) ask() {
	products := []string{"harmless", "harmless", "stamped", "once"}
	object := p.rng.IntN(1 + p.rng.IntN(60))
	request := &Request{
		Class: products[p.rng.IntN(len(products))], Object: fmt.Sprintf("%016x", object), Group: int64(object % 5),
		Part: int64(p.rng.IntN(2)), Deadline: p.now + int64(p.rng.IntN(3000)+200)*second/1000, ClientRetry: p.rng.IntN(12) == 0,
		Write: p.rng.IntN(10) == 0, SizeKB: []float64{0, 0, 10, 200, 2000}[p.rng.IntN(5)],
	}
	p.requests = append(p.requests, request)
	p.decided("where", request, p.router.Decide(p.now, request))
}

// outcome draws how a dispatch ends.
func (p *drawnPlay) outcome(request *Request, number int) Outcome {
	attempt := request.attempts[number]
	outcome := Outcome{Attempt: number, Result: Succeeded, Elapsed: p.now - attempt.sentAt, Note: int64(p.rng.IntN(4)), SharedCause: p.rng.IntN(10) == 0}
	chance := 15
	if p.failing[attempt.cache.ID] || attempt.source != nil && p.failing[attempt.source.ID] {
		chance = 2
	}
	if p.rng.IntN(chance) == 0 {
		outcome.Result = Result(p.rng.IntN(int(Cancelled) + 1))
		outcome.Note = int64(p.rng.IntN(10))
	}
	outcome.RequestEnded = outcome.Result == Succeeded || p.rng.IntN(20) == 0
	if p.rng.IntN(2) == 0 {
		outcome.SendingTime = p.rng.Float64()
	}
	if p.rng.IntN(2) == 0 {
		outcome.LoadReport = []float64{0, float64(p.rng.IntN(30))}
	}
	return outcome
}

// end ends a drawn dispatch that is out.
func (p *drawnPlay) end(request *Request) {
	for number, attempt := range request.attempts {
		if !attempt.ended && p.rng.IntN(2) == 0 {
			p.decided("after", request, p.router.AttemptEnded(p.now, request, p.outcome(request, number)))
			return
		}
	}
}

// list changes the list of members by a few lines, or tells it as a whole.
func (p *drawnPlay) list() {
	for range 1 + p.rng.IntN(2) {
		i := p.rng.IntN(len(p.lines))
		line := &p.lines[i]
		switch p.rng.IntN(7) {
		case 0:
			line.Phase = []string{"draining", "gone"}[p.rng.IntN(2)]
		case 1, 2:
			line.Phase = "ready"
		case 3:
			line.StartedAt, line.Phase = p.now, "ready"
		case 4:
			line.Capacity = p.rng.Float64() * 10
		case 5:
			p.lines = append(p.lines, p.drawLine())
			i = len(p.lines) - 1
		case 6:
			if len(p.lines) > 2 {
				p.lines = slices.Delete(p.lines, i, i+1)
				p.router.UpdateEndpoints(p.now, p.lines, true)
				continue
			}
		}
		p.router.UpdateEndpoints(p.now, slices.Clone(p.lines[i:i+1]), false)
	}
	if p.rng.IntN(4) == 0 {
		p.router.UpdateEndpoints(p.now, p.lines, true)
	}
}

// step is one drawn event.
func (p *drawnPlay) step() {
	if p.rng.IntN(3) > 0 {
		p.now += p.rng.Int64N(second / 20)
	}
	if p.rng.IntN(300) == 0 {
		p.now += p.rng.Int64N(20 * second)
	}
	if p.rng.IntN(3000) == 0 {
		p.now += 4000 * second // all scores have faded to nothing
	}
	r := p.router
	switch n := p.rng.IntN(100); {
	case n < 35:
		p.ask()
	case n < 75:
		if len(p.requests) > 0 {
			p.end(p.requests[p.rng.IntN(len(p.requests))])
		}
	case n < 88:
		if len(p.requests) > 0 {
			request := p.requests[p.rng.IntN(len(p.requests))]
			request.NoNewAttempts = request.NoNewAttempts || p.rng.IntN(40) == 0
			p.note(r.RecheckDelay(p.now, request))
			p.decided("again", request, r.Decide(p.now, request))
		}
	case n < 94:
		probes, again := r.Tick(p.now)
		p.note(probes, again)
		for _, id := range probes {
			p.seen["probe"]++
			r.ProbeEnded(p.now, id, p.rng.IntN(3) > 0, nil)
		}
	case n < 96:
		p.list()
	case n < 97:
		object := fmt.Sprintf("%016x", p.rng.IntN(30))
		if p.rng.IntN(3) == 0 {
			object = ""
		}
		r.Purge(p.now, object, int64(p.rng.IntN(5)), p.now-p.rng.Int64N(second))
	case n < 98:
		if len(p.lines) > 0 {
			id := p.lines[p.rng.IntN(len(p.lines))].ID
			p.failing[id] = !p.failing[id]
		}
	default:
		if len(p.requests) > 0 {
			request := p.requests[p.rng.IntN(len(p.requests))]
			p.decided("departed", request, r.ClientGone(p.now, request))
		}
	}
	p.requests = slices.DeleteFunc(p.requests, func(request *Request) bool {
		if request.inFlight == 0 && !request.ended && p.now > request.Deadline {
			r.ClientGone(p.now, request)
		}
		return request.inFlight == 0 && request.ended || request.record == nil
	})
}

// drawnSteps is how many events one recorded play has.
const drawnSteps = 2500

// recordedPlays is how many plays are recorded, with the seeds 0, 1 and so on.
const recordedPlays = 60

// record writes the digests of this text in place of the recorded ones. It is for changes that are to change
// decisions, in the same commit as they are; a change that is to leave all decisions as they are is held to the
// digests before it.
var record = flag.Bool("record", false, "record the digests of the drawn plays anew")

const digestsFile = "testdata/decisions.digests"

// recordedDigests reads the digests of all decisions and log lines, a line a play.
func recordedDigests(t *testing.T) []string {
	t.Helper()
	raw, err := os.ReadFile(digestsFile)
	if err != nil {
		t.Fatal(err)
	}
	digests := strings.Fields(string(raw))
	if len(digests) != recordedPlays {
		t.Fatalf("%d digests are recorded, want %d", len(digests), recordedPlays)
	}
	return digests
}

// What a router decides and logs is bit for bit what was recorded.
func TestDecisionsAsRecorded(t *testing.T) {
	seen := map[string]int{}
	digests := make([]string, recordedPlays)
	for seed := range digests {
		p := newDrawnPlay(t, uint64(seed))
		for range drawnSteps {
			p.step()
		}
		digests[seed] = fmt.Sprintf("%016x", p.digest.Sum64())
		for what, n := range p.seen {
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
		"endpoint_ejected", "endpoint_restored", "admission_limit_reduced", "away", "plain", "probe", "where0", "where1", "where2", "after1",
		"after2", "after3", "again1", "again2",
	} {
		if seen[what] < 5 {
			t.Errorf("the plays show %q %d times only", what, seen[what])
		}
	}
}
