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
	"tealpath/control"
	"tealpath/internal/connpool"
	"testing"
)

const (
	drawnRuns         = 24   // recorded, with the seeds 0, 1 and so on
	drawnEventsPerRun = 1000 // 24,000 events in all
	drawnBlockSize    = 250  // events for each recorded digest
	effectsDigestFile = "testdata/effects.digests"
)

// recordEffects writes the digests of this code in place of the recorded ones. It is for changes that are to
// change effects, in the same commit; a change that is to leave all effects as they are is held to the digests
// before it.
var recordEffects = flag.Bool("record", false, "record the digests of the drawn effects anew")

// drawnRequest is a request that was handed in.
type drawnRequest struct {
	client ClientID
	seq    int32
	id     string
}

// drawnAttempt is an attempt that was sent, or that is to be withdrawn.
type drawnAttempt struct {
	connection ConnectionID
	id         string
}

// drawnRun hands events that are drawn from a seed to a reducer, and plays the part of all that it is connected
// to.
type drawnRun struct {
	rng    *rand.Rand
	router *Router
	now    int64
	timer  int64 // when TimerFired is wanted

	requests    []drawnRequest
	lastID      int
	lastClient  ClientID
	dialled     []ConnectionID
	established []ConnectionID
	closed      []ConnectionID
	sent        []drawnAttempt // not answered yet
	answered    []drawnAttempt
	withdrawals []drawnAttempt
	entries     []EndpointEntry
	shutdown    bool

	digest hash.Hash64
	seen   map[string]int
}

// drawnSettings returns one of several ways to run a router.
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

// newDrawnRun starts a run that depends on its seed alone.
func newDrawnRun(t *testing.T, seed uint64) *drawnRun {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 47))
	raw, limits := drawnSettings(rng)
	settings, err := control.DecodeSettings(raw)
	if err != nil {
		t.Fatal(err)
	}
	run := &drawnRun{rng: rng, router: New(start, seed, settings, limits), now: start, digest: fnv.New64a(), seen: map[string]int{}}
	run.entries = append(slices.Clone(initialEndpoints),
		cacheEntry("s-07e5ff", "10.0.1.1:1"), // its name has the same hash as the next one's
		cacheEntry("s-0a3e80", "10.0.1.2:1"),
	)
	for n := range rng.IntN(6) {
		run.entries = append(run.entries, cacheEntry(fmt.Sprint("s-", n), fmt.Sprint("10.0.2.", n, ":1")))
	}
	run.handle(EndpointListUpdated{Complete: true, Entries: slices.Clone(run.entries)})
	return run
}

// drawnRequestReceived is the event of a request with these wire fields. What decodes them stands here alone.
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

// note adds values to the digest.
func (run *drawnRun) note(values ...any) {
	if _, err := fmt.Fprintln(run.digest, values...); err != nil {
		panic(err) // a hash takes everything
	}
}

// handle hands an event in and takes its effects into the digest and into what the run knows.
func (run *drawnRun) handle(event Event) {
	run.note("event at", run.now)
	for _, effect := range run.router.Handle(run.now, event) {
		run.observe(effect)
	}
}

// kindWords are the words for the kinds of responses in what is hashed.
var kindWords = map[ResponseKind]string{Served: "served", Rejected: "rejected", Failed: "failed", BadRequest: "bad"}

// observe renders an effect field by field, in words of its own, so that a renamed type or field leaves the
// digest as it is. Of a log line it takes only that there was one.
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
		panic(fmt.Sprintf("effect %T is not rendered", effect))
	}
}

// reasonText is the text of a bad request's reason, empty for none.
func reasonText(reason error) string {
	if reason == nil {
		return ""
	}
	return reason.Error()
}

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

// noteState adds what the reducer tells beside its effects.
func (run *drawnRun) noteState() {
	run.note("in flight", run.router.InFlight())
	for _, entry := range run.router.Endpoints() {
		run.note("endpoint", entry.Instance, entry.Address, entry.ID, entry.Location, entry.Kind, entry.Cell,
			entry.Phase, entry.Capacity, entry.StartedAt)
	}
}

// blockDigests hands in all events and returns a digest of each block.
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

// The effects of drawn events are bit for bit those that were recorded.
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
		t.Fatalf("%d digests are recorded, want %d", len(want), len(digests))
	}
	blocksPerRun := drawnEventsPerRun / drawnBlockSize
	for i, digest := range digests {
		if digest != want[i] {
			t.Errorf("seed %d, block %d: %s, recorded %s", i/blocksPerRun, i%blocksPerRun, digest, want[i])
		}
	}
	for _, what := range []string{
		"respond served", "respond rejected", "respond failed", "respond bad",
		"dial", "send", "cancel", "withdraw", "close", "log",
	} {
		if seen[what] < 20 {
			t.Errorf("the runs show %q %d times only", what, seen[what])
		}
	}
}
