package router

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"tealpath/control"
	"tealpath/internal/logevent"
)

const (
	second = int64(1e9)
	start  = 1000 * second

	objectID = "7f3a9c21e0b4d655" // object of all requests of a harness, unless the test changes the field
	seed     = 7
)

// initialEndpoints is the endpoint list that every harness starts with.
var initialEndpoints = []EndpointEntry{
	cacheEntry("s-a", "10.0.0.1:1"),
	cacheEntry("s-b", "10.0.0.2:1"),
	{"p-a", "10.0.0.3:1", control.Endpoint{Location: "hub", Kind: "parent", Phase: "ready", Capacity: 20}},
	{"o-a", "10.0.0.4:1", control.Endpoint{Location: "hub", Kind: "origin", Phase: "ready", Capacity: 20}},
}

// cacheEntry returns the entry of a cache that is ready.
func cacheEntry(instance, address string) EndpointEntry {
	endpoint := control.Endpoint{Location: "here", Kind: "cache", Phase: "ready", Capacity: 5}
	return EndpointEntry{Instance: instance, Address: address, Endpoint: endpoint}
}

// success is a usable response, which is forwarded to the client.
var success = ResponseReceived{Result: control.Succeeded, Body: []byte(":bytes")}

// nonIdempotent contains the fields of a request that may be executed only once, as far as they differ from those of
// requestFields. testSettings does not have its class; newTwoClassHarness adds it, as an uncacheable class.
var nonIdempotent = map[string]string{"verb": "permits"}

// harness passes events to a reducer under test and records the effects. Tests play the roles of clients and
// endpoints, and set the clock.
type harness struct {
	*Router
	t           *testing.T
	now         int64
	observed    []string // effects and marks so far, each as a short text
	logged      []logevent.Event
	dialled     []ConnectionID // connections that were dialled, in the order of the Dial effects
	sends       []Send
	responses   []Respond
	withdrawals []WithdrawAttempt // withdrawals for which no AttemptWithdrawn was handled yet
}

// testSettings returns the settings of a location with caches, and a hub with parents and the origin. There is one
// class of requests, which is idempotent.
func testSettings() control.Settings {
	parent, origin := "parent", "origin"
	settings := control.DefaultSettings()
	settings.Location = "here"
	settings.Routers = 2
	settings.LocationRouters = 2
	settings.ParentKind, settings.OriginKind = &parent, &origin
	settings.MaxAttempts = 6
	settings.Hedging = true
	settings.CancelAttempts = true
	settings.RetryAfter = true
	settings.MaxRetryAfter = second / 2
	settings.ConnectTimeout = 4 * second / 10
	settings.IdleTimeout = 30 * second
	settings.MaxStreamsPerConnection = 100
	settings.ResponseGrace = 8 * millisecond
	settings.PurgeDuration = 6 * second
	settings.LongestDeadline = 25 * second / 10
	settings.Classes = []control.ClassSettings{{
		Name:             "stills",
		LatencyObjective: 4 * second / 10,
		FreshDuration:    8 * second,
		PriorityWeight:   1,
		Idempotency:      control.Idempotent,
		KeyScope:         control.ScopeAll,
	}}
	return settings
}

// nonIdempotentClass returns a second class, whose requests may not be executed twice.
func nonIdempotentClass() control.ClassSettings {
	return control.ClassSettings{
		Name:             "permits",
		LatencyObjective: 4 * second / 10,
		PriorityWeight:   1,
		Idempotency:      control.NonIdempotent,
		KeyScope:         control.ScopeAll,
	}
}

// newHarness returns a harness whose reducer has initialEndpoints. change, which may be nil, can change the limits and
// the settings of the reducer.
func newHarness(t *testing.T, change func(*Limits, *control.Settings)) *harness {
	t.Helper()
	settings := testSettings()
	limits := Limits{MaxConnections: 8, MaxInFlight: 100, MaxBodyBytes: 1 << 20, MaxExecuted: 100}
	if change != nil {
		change(&limits, &settings)
	}
	h := &harness{Router: New(start, seed, settings, limits), t: t, now: start}
	h.handle(EndpointListUpdated{Complete: true, Entries: slices.Clone(initialEndpoints)})
	h.observed = nil
	return h
}

// newDefaultHarness returns a harness with testSettings.
func newDefaultHarness(t *testing.T) *harness {
	t.Helper()
	return newHarness(t, nil)
}

// newTwoClassHarness returns a harness with a second class of requests, which is neither idempotent nor cacheable.
func newTwoClassHarness(t *testing.T) *harness {
	t.Helper()
	return newHarness(t, func(_ *Limits, settings *control.Settings) {
		class := nonIdempotentClass()
		class.Uncacheable = true
		settings.Classes = append(settings.Classes, class)
	})
}

// handle passes an event to the reducer and records its effects.
func (h *harness) handle(event Event) {
	for _, effect := range h.Handle(h.now, event) {
		h.observe(effect)
	}
}

// observe records an effect in the harness's lists.
func (h *harness) observe(effect Effect) {
	note := func(format string, values ...any) { h.observed = append(h.observed, fmt.Sprintf(format, values...)) }
	switch effect := effect.(type) {
	case Respond:
		h.responses = append(h.responses, effect)
		kind := effect.Kind.String()
		if effect.NotModified {
			kind += " not modified"
		}
		note("%s %d%s", kind, effect.Seq, effect.Body)
	case Dial:
		h.dialled = append(h.dialled, effect.Connection)
		note("dial %s", effect.Address)
	case Send:
		h.sends = append(h.sends, effect)
		note("send %s", effect.Request.ID)
	case CancelAttempt:
		note("cancel %s", effect.ID)
	case WithdrawAttempt:
		h.withdrawals = append(h.withdrawals, effect)
	case Log:
		h.logged = append(h.logged, effect.Event)
	case Close:
		note("close %d", effect.Connection)
	}
}

// mark adds a mark between the observed effects, so that a test can check when an effect happened.
func (h *harness) mark(mark string) { h.observed = append(h.observed, mark) }

// effectsInShort returns the observed effects and marks, with IDs shortened to their last digit and dials without
// their address.
func (h *harness) effectsInShort() string {
	var short []string
	for _, effect := range h.observed {
		effect, _, _ = strings.Cut(effect, " 10.")
		short = append(short, strings.ReplaceAll(effect, "000000000000000", ""))
	}
	return strings.Join(short, ", ")
}

// expect compares all effects so far, as returned by effectsInShort, with want.
func (h *harness) expect(want string) {
	h.t.Helper()
	if got := h.effectsInShort(); got != want {
		h.t.Errorf("effects %s\nwant    %s", got, want)
	}
}

// advance moves the clock forward by a duration in ns, and passes the reducer a TimerFired whenever the timer is due.
func (h *harness) advance(ns int64) {
	for end := h.now + ns; h.now < end; {
		h.now = min(end, max(h.timerSetFor, h.now+millisecond))
		h.handle(TimerFired{})
	}
}

// requestID returns the ID of the request with a sequence number.
func requestID(seq int32) RequestID { return fmt.Sprintf("%016x", seq) }

// requestFields returns the wire fields of a request, with some of them changed or added.
func requestFields(seq int32, change map[string]string) map[string]string {
	fields := map[string]string{
		"verb":  "stills",
		"txn":   requestID(seq),
		"limit": "2500",
		"item":  objectID,
		"nth":   "0",
		"batch": "17",
	}
	maps.Copy(fields, change)
	return fields
}

// requestEvent returns the event of a received request, also if its fields cannot be decoded.
func requestEvent(client ClientID, seq int32, fields map[string]string, body []byte) RequestReceived {
	request, err := DecodeRequest(fields, body)
	return RequestReceived{Client: client, Seq: seq, Request: request, DecodeError: err}
}

// request passes the reducer a request of client 1, with some of the fields of requestFields changed or added.
func (h *harness) request(seq int32, change map[string]string) {
	h.handle(requestEvent(1, seq, requestFields(seq, change), []byte("q")))
}

// requestElsewhere handles a request of client 2, without a body.
func (h *harness) requestElsewhere(seq int32, change map[string]string) {
	h.handle(requestEvent(2, seq, requestFields(seq, change), nil))
}

// respond passes the reducer a response to the attempt that was sent last.
func (h *harness) respond(response ResponseReceived) {
	last := h.sends[len(h.sends)-1]
	response.Connection, response.ID = last.Connection, last.Request.ID
	h.handle(response)
}

// connectNewest establishes the connection that was dialled last.
func (h *harness) connectNewest() {
	h.handle(ConnectionUp{Connection: h.dialled[len(h.dialled)-1]})
}

// connectAll establishes every connection that was dialled.
func (h *harness) connectAll() {
	for _, id := range h.dialled {
		h.handle(ConnectionUp{Connection: id})
	}
}

// failNewestDial ends the connection that was dialled last with an error on this machine.
func (h *harness) failNewestDial() {
	h.handle(ConnectionDown{Connection: h.dialled[len(h.dialled)-1], Cause: Local, Reason: "no descriptors"})
}

// firstEntry returns the entry in initialEndpoints of the endpoint that was dialled first.
func (h *harness) firstEntry() EndpointEntry {
	address := h.connections[h.dialled[0]].address
	at := slices.IndexFunc(initialEndpoints, func(entry EndpointEntry) bool { return entry.Address == address })
	return initialEndpoints[at]
}

// update passes the reducer an incremental update of the endpoint list, with the given entries.
func (h *harness) update(entries ...EndpointEntry) {
	h.handle(EndpointListUpdated{Entries: entries})
}

// setCachePhases changes the phase of both caches of initialEndpoints.
func (h *harness) setCachePhases(phase string) {
	for _, entry := range initialEndpoints[:2] {
		entry.Phase = phase
		h.update(entry)
	}
}

// setFirstPhase changes the phase of the endpoint that was dialled first.
func (h *harness) setFirstPhase(phase string) {
	entry := h.firstEntry()
	entry.Phase = phase
	h.update(entry)
}

// confirmWithdrawals handles an AttemptWithdrawn for each attempt in withdrawals.
func (h *harness) confirmWithdrawals() {
	withdrawals := h.withdrawals
	h.withdrawals = nil
	for _, withdrawal := range withdrawals {
		h.handle(AttemptWithdrawn(withdrawal))
	}
}

// objectOnOtherCache returns an object for which another cache is tried first than for objectID.
func objectOnOtherCache(t *testing.T) string {
	t.Helper()
	firstCache := func(object string) string {
		h := newTwoClassHarness(t)
		h.request(1, map[string]string{"item": object})
		return h.connections[h.dialled[0]].address
	}
	for n := range 100 {
		if object := fmt.Sprintf("%016x", n); firstCache(object) != firstCache(objectID) {
			return object
		}
	}
	t.Fatal("the same cache is tried first for all objects")
	return ""
}

// scenario is a sequence of events and the effects that they must have, in order.
type scenario struct {
	name string
	run  func(*harness)
	want string // result of effectsInShort after run
}

// runScenarios runs each scenario on a harness of its own, and checks its effects.
func runScenarios(t *testing.T, newHarness func(*testing.T) *harness, scenarios []scenario) {
	t.Helper()
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			h := newHarness(t)
			scenario.run(h)
			h.expect(scenario.want)
			if len(h.requests.byID) != h.InFlight() {
				t.Errorf("the request table has %d IDs for %d requests in flight", len(h.requests.byID), h.InFlight())
			}
		})
	}
}
