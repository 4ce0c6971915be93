// Package router is the one reducer: an event goes in, state changes, effects come out. It holds the
// requests in flight, the connections to caches, the timers and the one periodic timer, asks the control package
// for every decision, and does no input or output.
package router

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"

	"tealpath/control"
	"tealpath/internal/connpool"
	"tealpath/internal/timerqueue"
)

const (
	millisecond = int64(1e6)

	// wayBack is how long before a client's own time is up its answer goes out at the latest: on a core that is
	// shared, and over the network, some of that time is gone before the client has it.
	responseTransit = 20 * millisecond

	maxSizeKB    = 1e9     // KB that a size can be
	maxBodyBytes = 240_000 // bytes of an object

	// tickAfterFault is when the periodic work is done again if it fails; at once it would keep the core busy.
	tickRetryDelay = 1000 * millisecond
)

// Limits bound what the reducer lets be opened.
type Limits struct {
	MaxConnections int            // connections to endpoints, all together
	ConnectionPlan *connpool.Plan // of connections to caches; nil is no bound beside linksMost
	MaxInFlight    int            // requests in flight
	MaxBodyBytes   int            // of the bodies of requests in flight
}

// Router is the reducer of one router. It is not safe for use by two goroutines at once.
type Router struct {
	policy  *control.Router
	limits  Limits
	now     int64
	eventAt int64 // when the event in hand came; not after now
	effects []Effect

	clients          map[ClientID]map[int32]*inFlightRequest
	inFlight         int
	requestsByID     map[string]*inFlightRequest // requests in flight, by their id
	bodyBytes        int                         // of the bodies of requests in flight
	endpoints        map[string]*endpoint
	endpointsByID    map[uint32]*endpoint
	connections      map[ConnectionID]*connection
	lastConnection   ConnectionID
	timers           timerqueue.Queue[timerTask]
	nextTick         int64 // when the periodic work is due
	timerSetFor      int64
	shutdownDeadline int64 // when all must be answered; 0 while not leaving

	localBackoff *connpool.LocalBackoff // of what this machine itself needs to dial
	index        endpointIndex

	connectTimeout, idleTimeout, answerGrace int64
	longestDeadline                          int64 // that a client may wait
	maxPerConnection                         int64
	canCancel                                bool
	useProbes                                bool
	bytesPerSecond                           float64 // bytes a second of one answer; 0 is not told
	classes                                  []string
	idempotent, uncacheable                  []bool // by class: it may run again; no cache keeps it
	location                                 string
	nonCacheKinds                            []string // kinds of endpoints that no attempt goes to
}

// inFlightRequest is a request in flight.
type inFlightRequest struct {
	control.Request
	client        ClientID
	seq           int32
	fields        map[string]string
	body          []byte
	attempts      []*attempt
	finished      bool
	deadlineTimer *timerqueue.Timer[timerTask] // the end of its time
	recheckTimer  *timerqueue.Timer[timerTask] // when the policy wants to be asked again
}

// attempt is one sending of a request to one endpoint.
type attempt struct {
	request             *inFlightRequest
	number              int
	cache, source       *endpoint
	connection          *connection
	upstream            UpstreamRequest
	startedAt, deadline int64
	sendDeadline        int64                        // until when it may be written
	timer               *timerqueue.Timer[timerTask] // its time-out
	ended               bool
}

// timerTask is what a timer is for: with an attempt its time-out, with a request to ask the policy again, or
// last the end of the hand's time.
type timerTask struct {
	attempt    *attempt
	request    *inFlightRequest
	atDeadline bool
}

// New makes a reducer.
func New(now int64, seed uint64, settings control.Settings, limits Limits) *Router {
	router := &Router{limits: limits, now: now, clients: map[ClientID]map[int32]*inFlightRequest{}, requestsByID: map[string]*inFlightRequest{},
		endpoints: map[string]*endpoint{}, endpointsByID: map[uint32]*endpoint{}, connections: map[ConnectionID]*connection{},
		index:          newEndpointIndex(),
		connectTimeout:   settings.ConnectTimeout,
		idleTimeout:      settings.IdleTimeout,
		answerGrace:      settings.AnswerGrace,
		longestDeadline:  settings.LongestDeadline,
		maxPerConnection: int64(settings.MaxStreamsPerConnection),
		canCancel:        settings.CancelAttempts,
		useProbes:        settings.HealthChecks,
		bytesPerSecond:   settings.ResponseBytesPerSecond,
		location:         settings.Location}
	for _, class := range settings.Classes {
		router.classes = append(router.classes, class.Name)
		router.idempotent = append(router.idempotent, class.Idempotency == control.Idempotent)
		router.uncacheable = append(router.uncacheable, class.Uncacheable)
	}
	for _, kind := range []*string{settings.ParentKind, settings.OriginKind} {
		if kind != nil {
			router.nonCacheKinds = append(router.nonCacheKinds, *kind)
		}
	}
	// A sign of life tells nothing of how an endpoint serves: the policy tries ejected endpoints by attempts. What instances that
	// share the duty of probing find comes beside that.
	settings.HealthChecks = false
	router.policy = control.New(now, seed, settings, router.log)
	router.localBackoff = connpool.NewLocalBackoff(router.connectTimeout)
	router.policy.Reachable = router.reachable
	router.policy.ConnectionsExhausted = func() bool { return router.localBackoff.Active(router.now) }
	return router
}

// Handle takes an event that came at a time and returns what is to be done, in order. The returned slice is
// good until the next call.
func (r *Router) Handle(at int64, e Event) []Effect {
	clear(r.effects)
	r.effects, r.eventAt, r.now = r.effects[:0], at, max(r.now, at)
	r.recovering(func() { r.handleEvent(e) })
	for r.timers.Next() <= r.now {
		_, what := r.timers.Pop()
		r.recovering(func() { r.runTimer(what) })
	}
	if r.now >= r.nextTick {
		r.recovering(r.tick)
	}
	if next := min(r.timers.Next(), r.nextTick); next != r.timerSetFor {
		r.timerSetFor = next
		r.emit(SetTimer{At: next})
	}
	return r.effects
}

// recovering keeps a fault of one event from ending all requests in flight with the process. The request
// concerned is answered at the end of its time at the latest.
func (r *Router) recovering(work func()) {
	defer func() {
		if fault := recover(); fault != nil {
			r.log(PanicRecovered{Cause: fmt.Sprint(fault)})
		}
	}()
	work()
}

func (r *Router) emit(e Effect) { r.effects = append(r.effects, e) }

func (r *Router) handleEvent(e Event) {
	switch e := e.(type) {
	case TimerFired:
		r.timerSetFor = 0 // the timer is used up, also where it came a moment early: it was never set again so
	case RequestReceived:
		r.requestReceived(e)
	case RequestCancelled:
		if request := r.clients[e.Client][e.Seq]; request != nil {
			r.clientGone(request)
		}
	case ClientDisconnected:
		for _, request := range inSequence(r.clients[e.Client]) {
			r.clientGone(request)
		}
	case ClientHalfClosed:
		r.clientHalfClosed(e.Client)
	case ConnectionUp:
		r.connectionUp(e)
	case ConnectionDown:
		r.connectionDown(e)
	case AttemptWithdrawn:
		r.attemptWithdrawn(e)
	case ResponseReceived:
		r.responseReceived(e)
	case EndpointListUpdated:
		r.endpointListUpdated(e)
	case PurgeReceived:
		r.purgeReceived(e)
	case ProbeEnded:
		if endpoint := r.endpoints[e.Instance]; endpoint != nil && r.useProbes {
			r.policy.ProbeEnded(r.now, endpoint.ID, e.Healthy, e.LoadReport)
		}
	case ShutdownStarted:
		r.shutdownStarted(e)
	}
}

// requestReceived takes a request in flight, or answers at once what cannot be taken.
func (r *Router) requestReceived(event RequestReceived) {
	refuse := func(kind ResponseKind, reason string) {
		r.emit(Respond{Client: event.Client, Seq: event.Seq, Kind: kind, Reason: reason})
	}
	if r.clients[event.Client][event.Seq] != nil {
		refuse(BadRequest, "sequence number in use")
		return
	}
	arrivedAt := r.eventAt
	if event.ArrivedAt > 0 {
		arrivedAt = min(event.ArrivedAt, r.eventAt)
	}
	request := &inFlightRequest{client: event.Client, seq: event.Seq, fields: event.Fields, body: event.Body}
	reason := request.parse(arrivedAt)
	if previous := r.requestsByID[request.fields["txn"]]; reason == "" && previous != nil && previous.NoNewAttempts {
		// Its client closed and asks again on another connection, under the same id: that was taken for a bad client's.
		sent := len(previous.attempts) > 0
		r.respond(previous, Respond{Kind: Failed}) // the end of its connection waits for that
		r.clientGone(previous)
		if sent && !r.classHas(request.Class, r.idempotent) {
			refuse(Failed, "") // it may have run
			return
		}
	}
	switch {
	case reason != "":
	case !slices.Contains(r.classes, request.Class):
		reason = "field verb names no product"
	case r.requestsByID[request.fields["txn"]] != nil:
		reason = "field txn is in use" // answers to the one would be taken for the other's
	case len(request.body) > maxBodyBytes:
		reason = "the body is too long"
	}
	if reason != "" {
		refuse(BadRequest, reason)
		return
	}
	if r.inFlight >= r.limits.MaxInFlight || r.bodyBytes+len(request.body) > r.limits.MaxBodyBytes {
		refuse(Rejected, "")
		return
	}
	// A time longer than any class's would keep it in memory for so long.
	request.Deadline = min(request.Deadline, arrivedAt+r.longestDeadline)
	if r.shutdownDeadline > 0 {
		request.Deadline = min(request.Deadline, r.shutdownDeadline)
	}
	if r.clients[event.Client] == nil {
		r.clients[event.Client] = map[int32]*inFlightRequest{}
	}
	r.clients[event.Client][event.Seq] = request
	r.requestsByID[request.fields["txn"]] = request
	r.inFlight++
	r.bodyBytes += len(request.body)
	request.deadlineTimer = r.timers.Push(request.Deadline+r.answerGrace, timerTask{request: request, atDeadline: true})
	r.applyDecision(request, r.policy.Decide(r.now, &request.Request))
}

// read takes from the fields of a request that arrived at a time what decisions need, and says what is wrong with them.
func (request *inFlightRequest) parse(arrived int64) string {
	number := func(name string, most uint64) (int64, bool) {
		n, err := strconv.ParseUint(request.fields[name], 10, 32) // digits alone: it goes on as it came
		return int64(n), err == nil && n <= most
	}
	limit, ok1 := number("limit", math.MaxInt32)
	part, ok2 := number("nth", math.MaxInt32)
	group, ok3 := number("batch", 255)
	for _, f := range []struct {
		name string
		good bool
	}{{"verb", request.fields["verb"] != ""}, {"txn", isHex(request.fields["txn"])}, {"limit", ok1},
		{"item", isHex(request.fields["item"])}, {"nth", ok2}, {"batch", ok3},
		// It goes on in a list of fields, and must not pass for others there.
		{"unique", !strings.ContainsAny(request.fields["unique"], ",=\r\n")}} {
		if !f.good {
			return "field " + f.name + " is missing or unusable"
		}
	}
	request.Request = control.Request{Class: request.fields["verb"], Object: request.fields["item"], Part: part, Group: group,
		Deadline: arrived + limit*millisecond - responseTransit, ClientRetry: request.fields["second"] == "1"}
	// Some deployments tell the size, in KB; without it nothing is wrong.
	if kb, err := strconv.ParseFloat(request.fields["ram"], 64); err == nil && kb > 0 && kb < maxSizeKB {
		request.SizeKB = kb
	}
	return ""
}

// isHex tells whether s has the form of ids and tags: 16 hex digits.
func isHex(s string) bool {
	if len(s) != 16 {
		return false
	}
	_, err := strconv.ParseUint(s, 16, 64)
	return err == nil
}

// applyDecision carries out a decision on a request in flight.
func (r *Router) applyDecision(request *inFlightRequest, d control.Decision) {
	if request.finished {
		return
	}
	switch d.Verdict {
	case control.Send:
		r.startAttempt(request, d.Attempt)
	case control.Reject:
		r.respond(request, Respond{Kind: Rejected, RetryAfter: d.RetryAfter})
	case control.Fail:
		r.respond(request, Respond{Kind: Failed})
	}
	r.cancelAttempts(request, d.Cancel)
	r.scheduleRecheck(request)
}

// scheduleRecheck asks how long to wait for a request and enters that into the timers.
func (r *Router) scheduleRecheck(request *inFlightRequest) {
	if request.finished {
		return
	}
	r.timers.Remove(request.recheckTimer)
	if wait := r.policy.RecheckDelay(r.now, &request.Request); wait > 0 {
		request.recheckTimer = r.timers.Push(r.now+wait, timerTask{request: request})
	}
}

// respond gives a request its one final answer.
func (r *Router) respond(request *inFlightRequest, a Respond) {
	if request.finished {
		return
	}
	a.Client, a.Seq = request.client, request.seq
	r.removeRequest(request)
	r.emit(a)
}

// removeRequest takes a request out of hand; nothing more is sent for it.
func (r *Router) removeRequest(request *inFlightRequest) {
	if request.finished {
		return
	}
	request.finished = true
	if !r.canCancel {
		r.withdrawAll(request) // the policy calls nothing off where the caches can't be told
	}
	// Left to come due, they kept all of a request for seconds after its end.
	r.timers.Remove(request.deadlineTimer)
	r.timers.Remove(request.recheckTimer)
	r.bodyBytes -= len(request.body)
	request.body = nil
	r.inFlight--
	delete(r.requestsByID, request.fields["txn"])
	if delete(r.clients[request.client], request.seq); len(r.clients[request.client]) == 0 {
		delete(r.clients, request.client)
	}
}

// clientGone ends a request that nobody waits for any more.
func (r *Router) clientGone(request *inFlightRequest) {
	r.removeRequest(request)
	r.policy.ClientGone(r.now, &request.Request)
	all := make([]int, len(request.attempts))
	for i := range all {
		all[i] = i
	}
	r.cancelAttempts(request, all)
}

// classHas tells whether something holds for a class.
func (r *Router) classHas(product string, which []bool) bool {
	i := slices.Index(r.classes, product)
	return i >= 0 && i < len(which) && which[i]
}

// clientHalfClosed ends what waits for a client that has closed its side: held, or for a connection that is not up. It was sent on when
// its turn came, seconds after the client had gone. One who still reads is told at once that nothing ran.
func (r *Router) clientHalfClosed(client ClientID) {
	for _, request := range inSequence(r.clients[client]) {
		request.NoNewAttempts = true
		waiting := true
		for _, attempt := range request.attempts {
			if !attempt.ended && attempt.connection.established {
				waiting = false
			}
		}
		r.withdrawAll(request)
		if waiting && !request.finished {
			r.applyDecision(request, r.policy.Decide(r.now, &request.Request))
		}
	}
}

// withdrawAll ends what of a request is not written yet.
func (r *Router) withdrawAll(request *inFlightRequest) {
	for _, attempt := range slices.Clone(request.attempts) {
		if !attempt.ended {
			r.withdrawAttempt(attempt)
		}
	}
}

// cancelAttempts gives attempts up, by their numbers.
func (r *Router) cancelAttempts(request *inFlightRequest, numbers []int) {
	for _, n := range numbers {
		if attempt := request.attempts[n]; !attempt.ended {
			result := control.Cancelled
			if !attempt.connection.established {
				result = control.NotSent
			}
			r.abandonAttempt(attempt)
			r.attemptEnded(attempt, control.Outcome{Result: result})
		}
	}
}

// attemptEnded tells the policy how an attempt ended and carries out what it says.
func (r *Router) attemptEnded(attempt *attempt, o control.Outcome) {
	if attempt.ended {
		return
	}
	attempt.ended, attempt.upstream.Body = true, nil
	r.timers.Remove(attempt.timer)
	request := attempt.request
	o.Attempt, o.Elapsed, o.RequestEnded = attempt.number, r.now-attempt.startedAt, request.finished
	decision := r.policy.AttemptEnded(r.now, &request.Request, o)
	if request.finished {
		r.cancelAttempts(request, decision.Cancel)
		return
	}
	r.applyDecision(request, decision)
}

// responseReceived takes an answer to an attempt; the first good one goes to the client as it came.
func (r *Router) responseReceived(event ResponseReceived) {
	connection := r.connections[event.Connection]
	if connection == nil {
		return
	}
	connection.lastReceivedAt = r.now
	attempt := connection.inFlight[event.ID]
	if attempt == nil {
		return // it was given up, or never asked
	}
	delete(connection.inFlight, event.ID)
	if !r.classHas(attempt.request.Class, r.idempotent) {
		// Some answer twice, the second time some milliseconds late: on this connection it passed for the answer to a further attempt,
		// and one that ran was taken for one that had not.
		connection.abandonedAt[event.ID] = r.now
	}
	switch {
	case event.NotModified && attempt.upstream.ClientETag == "":
		event.Result = control.ServerError // no copy was named that could be good still
	case event.Unversioned && r.classHas(attempt.request.Class, r.uncacheable):
		event.Result = control.Succeeded // what no cache keeps is no copy: it passed for spoilt, and was never served
	}
	if event.Result == control.Succeeded && !r.policy.AcceptsCopy(r.now, &attempt.request.Request, attempt.number, event.IssuedAt) {
		event.Result = control.Stale
	}
	if event.Result == control.Succeeded {
		r.respond(attempt.request, Respond{Kind: Served, Body: event.Body, NotModified: event.NotModified})
	}
	outcome := control.Outcome{Result: event.Result, Note: event.Note, TimeToFirstByte: event.TimeToFirstByte, LoadReport: event.LoadReport}
	if r.bytesPerSecond > 0 {
		outcome.SendingTime = float64(len(event.Body)) / r.bytesPerSecond // a large one is due later; judged by the mean it passed for late
	}
	r.attemptEnded(attempt, outcome)
	r.closeIfUnresponsive(connection)
}

// runTimer does what a timer was for.
func (r *Router) runTimer(what timerTask) {
	switch {
	case what.attempt != nil:
		r.attemptTimerFired(what.attempt)
	case what.request.finished:
	case what.atDeadline:
		// Whatever went wrong before: no request stays without its answer.
		request := what.request
		r.respond(request, Respond{Kind: Failed})
		r.clientGone(request)
	default:
		r.applyDecision(what.request, r.policy.Decide(r.now, &what.request.Request))
	}
}

// attemptTimerFired ends an attempt whose time is up, or takes it back if only the time in which it may be written is.
func (r *Router) attemptTimerFired(attempt *attempt) {
	if attempt.ended {
		return
	}
	if attempt.connection.established && r.now < attempt.deadline {
		r.withdrawAttempt(attempt)
		r.setAttemptTimer(attempt) // if it was written its answer is waited for
		return
	}
	result := control.TimedOut
	if !attempt.connection.established {
		result = control.Unreachable // nothing was written
	}
	r.abandonAttempt(attempt)
	r.attemptEnded(attempt, control.Outcome{Result: result})
}

// tick does the periodic work.
func (r *Router) tick() {
	r.nextTick = r.now + tickRetryDelay
	_, again := r.policy.Tick(r.now) // without probes there are no chores
	r.nextTick = r.now + again
	r.closeUnused()
	r.preconnect()
}

// shutdownStarted cuts the time of all requests to what is left.
func (r *Router) shutdownStarted(event ShutdownStarted) {
	r.shutdownDeadline = event.AnswerDeadline
	for _, id := range sortedKeys(r.clients) {
		for _, request := range inSequence(r.clients[id]) {
			if request.Deadline <= event.AnswerDeadline {
				continue
			}
			request.Deadline = event.AnswerDeadline
			r.timers.Remove(request.deadlineTimer)
			request.deadlineTimer = r.timers.Push(event.AnswerDeadline+r.answerGrace, timerTask{request: request, atDeadline: true})
			for _, attempt := range request.attempts {
				if !attempt.ended {
					// Its own time is cut, too: one that waited for its connection got all of it back when that came up, and was failed
					// where it could have been refused.
					attempt.deadline, attempt.sendDeadline = min(event.AnswerDeadline, attempt.deadline), min(event.AnswerDeadline-millisecond, attempt.sendDeadline)
					attempt.upstream.Deadline = attempt.deadline
					r.setAttemptTimer(attempt)
				}
			}
		}
	}
}

// Endpoints returns the endpoint list as it is now, ordered by name.
func (r *Router) Endpoints() []EndpointEntry {
	out := make([]EndpointEntry, 0, len(r.endpoints))
	for _, name := range sortedKeys(r.endpoints) {
		out = append(out, r.endpoints[name].EndpointEntry)
	}
	return out
}

// Snapshot returns what the policy has learned, with maxObjects objects at most.
func (r *Router) Snapshot(now int64, maxObjects int) control.Snapshot {
	return r.policy.Snapshot(max(now, r.now), maxObjects)
}

// Restore has the policy take over what one before it had learned, request rates too if withRates is set.
func (r *Router) Restore(now int64, snapshot control.Snapshot, withRates bool) {
	r.policy.Restore(now, snapshot, withRates)
}

// InFlight returns how many requests are in flight.
func (r *Router) InFlight() int { return r.inFlight }
