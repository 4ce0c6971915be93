package router

import (
	"flag"
	"fmt"
	"hash"
	"hash/fnv"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"

	"tealpath/control"
	"tealpath/internal/connpool"
)

const (
	drawnRuns         = 24   // number of runs with recorded digests; their seeds are 0, 1 and so on
	drawnEventsPerRun = 1000 // number of events in each run; 24,000 in all runs
	drawnBlockSize    = 250  // number of events between two recorded digests of a run
	effectsDigestFile = "testdata/effects.digests"
)

// recordEffects makes TestDrawnEffectsAsRecorded replace the recorded digests. It is only for commits that are meant
// to change effects: any other commit must leave the digests as they are.
var recordEffects = flag.Bool("record", false, "replace the recorded digests of the effects")

// drawnRequest identifies a request that the reducer has received, by its client, sequence number and ID.
type drawnRequest struct {
	client ClientID
	seq    int32
	id     string
}

// drawnAttempt identifies an attempt that the reducer has sent or withdrawn.
type drawnAttempt struct {
	connection ConnectionID
	id         string
}

// drawnRun passes random (drawn) events, which depend on a seed alone, to a reducer. It keeps track of the requests,
// attempts and connections, so that most events concern one of them.
type drawnRun struct {
	rng    *rand.Rand
	router *Router
	now    int64
	timer  int64 // ns; time for which the last SetTimer effect set the timer

	requests    []drawnRequest
	lastID      int
	lastClient  ClientID
	dialled     []ConnectionID
	established []ConnectionID
	closed      []ConnectionID
	sent        []drawnAttempt // attempts that were sent and have no response yet
	answered    []drawnAttempt // attempts that have got a response
	withdrawals []drawnAttempt
	entries     []EndpointEntry
	shutdown    bool

	digest hash.Hash64    // hash of the times of the events, their effects and the states after them
	seen   map[string]int // how often each kind of effect has occurred
}

// drawnSettings returns random settings of the policy and random limits of the reducer.
func drawnSettings(rng *rand.Rand) (control.RawSettings, Limits) {
	oneOf := func(n int) bool { return rng.IntN(n) == 0 }
	settings := control.RawSettings{
		"routers":             int64(1 + rng.IntN(4)),
		"location":            "here",
		"locations":           []string{"hub", "here"},
		"location.routers":    []int64{0, 2},
		"kinds":               []string{"cache", "parent", "origin"},
		"kind.parent":         int64(1),
		"kind.origin":         int64(2),
		"units":               []string{"nominal", "off", "live"}[rng.IntN(3)],
		"probe":               oneOf(2),
		"joins":               oneOf(2),
		"dispatches.most":     int64(2 + rng.IntN(5)),
		"dispatches.together": !oneOf(3),
		"cancel":              !oneOf(3),
		"advice":              !oneOf(4),
		"advice.most":         second / 2,
		"connect.within":      second / int64(2+rng.IntN(3)),
		"connect.idle":        int64(2+rng.IntN(29)) * second,
		"connect.streams":     []int64{1, 2, 100, 100}[rng.IntN(4)],
		"answer.grace":        int64(rng.IntN(9)) * millisecond,
		"answer.bytesPerS":    []float64{0, 0, 20, 20_000}[rng.IntN(4)],
		"product.names":       []string{"pictures", "payments", "permits"},
		"product.due":         []int64{4 * second / 10, second / 2, second},
		"product.hardStop":    []int64{25 * second / 10, 2 * second, 3 * second},
		"product.payoff":      []float64{1, 2, 0.5},
		"product.effect":      []string{"harmless", "stamped", "one-shot"},
		"product.scope":       []string{"all", []string{"cell", "zone", "all"}[rng.IntN(3)], "cell"},
		"product.fresh":       []int64{8 * second, 4 * second, 0},
		"product.neverKept":   []bool{false, oneOf(2), true},
		"product.dueStretch":  []float64{2, 1, 0},
		"purge.takes":         6 * second,
	}
	if oneOf(2) {
		settings["report.fields"] = []string{"x1", "inHand"}
	}
	limits := Limits{
		MaxConnections: []int{8, 8, 30, 3}[rng.IntN(4)],
		MaxInFlight:    []int{100, 100, 100, 20}[rng.IntN(4)],
		MaxBodyBytes:   []int{1 << 20, 1 << 20, 4000}[rng.IntN(3)],
	}
	if oneOf(3) {
		limits.ConnectionPlan = connpool.New(connpool.Config{
			Router:         "this-router",
			Seed:           rng.Uint64(),
			Routers:        3,
			MaxConnections: 2 + rng.IntN(12),
			MaxConnectRate: float64(5 + rng.IntN(50)),
		})
	}
	return settings, limits
}

// newDrawnRun returns a run with its initial endpoint list.
func newDrawnRun(t *testing.T, seed uint64) *drawnRun {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 47))
	raw, limits := drawnSettings(rng)
	settings, err := control.DecodeSettings(raw)
	if err != nil {
		t.Fatalf("settings of seed %d: %v", seed, err)
	}
	run := &drawnRun{
		rng:    rng,
		router: New(start, seed, settings, limits),
		now:    start,
		digest: fnv.New64a(),
		seen:   map[string]int{},
	}
	run.entries = append(slices.Clone(initialEndpoints),
		cacheEntry("s-07e5ff", "10.0.1.1:1"), // the names of these two caches have the same hash
		cacheEntry("s-0a3e80", "10.0.1.2:1"),
	)
	for n := range rng.IntN(6) {
		run.entries = append(run.entries, cacheEntry(fmt.Sprint("s-", n), fmt.Sprint("10.0.2.", n, ":1")))
	}
	run.handle(EndpointListUpdated{Complete: true, Entries: slices.Clone(run.entries)})
	return run
}

// drawnRequestReceived returns the event for a request with the given wire fields and body. If they cannot be decoded,
// the event has a DecodeError.
func drawnRequestReceived(request drawnRequest, arrivedAt int64, fields map[string]string, body []byte) Event {
	decoded, err := DecodeRequest(fields, body)
	return RequestReceived{
		Client:      request.client,
		Seq:         request.seq,
		ArrivedAt:   arrivedAt,
		Request:     decoded,
		DecodeError: err,
	}
}

// note adds the text of values to the digest of the run, which depends on their order.
func (run *drawnRun) note(values ...any) {
	if _, err := fmt.Fprintln(run.digest, values...); err != nil {
		panic(err) // cannot happen: writing to a hash never fails
	}
}

// handle passes an event to the reducer and records its effects.
func (run *drawnRun) handle(event Event) {
	run.note("event at", run.now)
	for _, effect := range run.router.Handle(run.now, event) {
		run.observe(effect)
	}
}

// kindWords are the names of response kinds in the hashed text. They must not change, since the recorded digests
// depend on them.
var kindWords = map[ResponseKind]string{Served: "served", Rejected: "rejected", Failed: "failed", BadRequest: "bad"}

// observe adds an effect to the digest. It writes each field explicitly, so that renaming a type or a field does not
// change the digest. For a Log effect it adds only that there was one.
func (run *drawnRun) observe(effect Effect) {
	switch e := effect.(type) {
	case Respond:
		kind := kindWords[e.Kind]
		run.seen["respond "+kind]++
		run.note("respond", e.Client, e.Seq, kind, len(e.Body), string(e.Body), e.NotModified, e.RetryAfter,
			reasonText(e.Reason))
	case Dial:
		run.seen["dial"]++
		run.dialled = append(run.dialled, e.Connection)
		run.note("dial", e.Connection, e.Address, e.Timeout)
	case Send:
		run.seen["send"]++
		run.observeSend(e)
	case CancelAttempt:
		run.seen["cancel"]++
		run.note("cancel", e.Connection, e.ID)
	case WithdrawAttempt:
		run.seen["withdraw"]++
		run.withdrawals = append(run.withdrawals, drawnAttempt{e.Connection, string(e.ID)})
		run.note("withdraw", e.Connection, e.ID)
	case Close:
		run.seen["close"]++
		run.connectionEnded(e.Connection)
		run.note("close", e.Connection)
	case SetTimer:
		run.timer = e.At
		run.note("timer", e.At)
	case Log:
		run.seen["log"]++
		run.note("log")
	default:
		panic(fmt.Sprintf("the digest does not support effects of type %T", effect))
	}
}

// reasonText returns the text of the reason for a bad request, or an empty text if there is no reason.
func reasonText(reason error) string {
	if reason == nil {
		return ""
	}
	return reason.Error()
}

// observeSend adds a Send effect to the digest, and its attempt to those that have no response yet.
func (run *drawnRun) observeSend(send Send) {
	request := send.Request
	run.sent = append(run.sent, drawnAttempt{send.Connection, string(request.ID)})
	run.note("send", send.Connection, send.SendDeadline, request.ID, request.Class, request.Object, request.Part,
		len(request.Body), string(request.Body), request.ClientETag, request.IdempotencyKey, request.Deadline,
		request.Source)
	attempt := request.Attempt
	run.note(attempt.Cache, attempt.CacheOnly, attempt.Source, attempt.CachePriority, attempt.MaxAge,
		attempt.JoinFill, attempt.RefreshBehind, attempt.ParentOnlyIfCached, attempt.ParentNoStore, attempt.Timeout,
		attempt.SendTimeout)
}

// noteState adds the state that the reducer's exported methods return to the digest.
func (run *drawnRun) noteState() {
	run.note("in flight", run.router.InFlight())
	for _, entry := range run.router.Endpoints() {
		run.note("endpoint", entry.Instance, entry.Address, entry.ID, entry.Location, entry.Kind, entry.Cell,
			entry.Phase, entry.Capacity, entry.StartedAt)
	}
}

// blockDigests handles all events of the run, and returns the digest after each block of drawnBlockSize events.
func (run *drawnRun) blockDigests() (digests []string) {
	for number := 1; number <= drawnEventsPerRun; number++ {
		run.step(number)
		if number%drawnBlockSize == 0 {
			run.noteState()
			digests = append(digests, fmt.Sprintf("%016x", run.digest.Sum64()))
		}
	}
	return digests
}

// A change of the code that is not meant to change effects must not change any of them. The effects of random events
// must therefore have the same digests as when they were recorded.
func TestDrawnEffectsAsRecorded(t *testing.T) {
	var digests []string
	seen := map[string]int{}
	for seed := range uint64(drawnRuns) {
		run := newDrawnRun(t, seed)
		digests = append(digests, run.blockDigests()...)
		for what, count := range run.seen {
			seen[what] += count
		}
	}
	if *recordEffects {
		if err := os.WriteFile(effectsDigestFile, []byte(strings.Join(digests, "\n")+"\n"), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	recorded, err := os.ReadFile(effectsDigestFile)
	if err != nil {
		t.Fatal(err)
	}
	want := strings.Fields(string(recorded))
	if len(want) != len(digests) {
		t.Fatalf("%s has %d digests, want %d", effectsDigestFile, len(want), len(digests))
	}
	blocksPerRun := drawnEventsPerRun / drawnBlockSize
	for i, digest := range digests {
		if digest != want[i] {
			t.Errorf("seed %d, block %d: digest %s, recorded %s", i/blocksPerRun, i%blocksPerRun, digest, want[i])
		}
	}
	for _, what := range []string{
		"respond served", "respond rejected", "respond failed", "respond bad",
		"dial", "send", "cancel", "withdraw", "close", "log",
	} {
		if seen[what] < 20 {
			t.Errorf("the runs have %d effects %q, want at least 20", seen[what], what)
		}
	}
}
