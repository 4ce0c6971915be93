// Package router is the one reducer: an event goes in, state changes, effects come out. It holds the
// retrievals in hand, the links to caches, the due times and the one periodic timer, asks the control package
// for every decision, and does no input or output.
package router

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"

	"tealpath/control"
	"tealpath/internal/timerqueue"
	"tealpath/plan/connpool"
)

const (
	millisecond = int64(1e6)

	// wayBack is how long before a client's own time is up its answer goes out at the latest: on a core that is
	// shared, and over the network, some of that time is gone before the client has it.
	wayBack = 20 * millisecond

	sizeMost = 1e9     // KB that a size can be
	bodyMost = 240_000 // bytes of an object

	// tickAfterFault is when the periodic work is done again if it fails; at once it would keep the core busy.
	tickAfterFault = 1000 * millisecond
)

// Limits bound what the reducer lets be opened.
type Limits struct {
	MaxConnections int            // connections to members, all together
	ConnectionPlan *connpool.Plan // of connections to caches; nil is no bound beside linksMost
	MaxInFlight    int            // retrievals in hand
	MaxBodyBytes   int            // of the bodies of retrievals in hand
}

// Router is the reducer of one router. It is not safe for use by two goroutines at once.
type Router struct {
	decide  *control.Router
	limits  Limits
	now     int64
	at      int64 // when the event in hand came; not after now
	effects []Effect

	clients map[ClientID]map[int32]*hand
	hands   int
	ids     map[string]*hand // retrievals in hand, by their id
	bytes   int              // of the bodies of retrievals in hand
	members map[string]*member
	byID    map[uint32]*member
	links   map[ConnectionID]*link
	linked  ConnectionID
	due     timerqueue.Queue[task]
	ticking int64 // when the periodic work is due
	armed   int64
	leaveBy int64 // when all must be answered; 0 while not leaving

	shortage *connpool.LocalBackoff // of what this machine itself needs to dial
	index    memberIndex

	dialWithin, idleAfter, answerGrace int64
	longest                            int64 // that a client may wait
	streams                            int64
	mayCancel                          bool
	mayProbe                           bool
	flow                               float64 // bytes a second of one answer; 0 is not told
	products                           []string
	harmless, neverKept                []bool // by product: it may run again; no cache keeps it
	location                           string
	notCaches                          []string // kinds of members that no dispatch goes to
}

// hand is a retrieval in hand.
type hand struct {
	control.Request
	client     ClientID
	seq        int32
	fields     map[string]string
	body       []byte
	dispatches []*dispatch
	finished   bool
	ends       *timerqueue.Timer[task] // the end of its time
	asks       *timerqueue.Timer[task] // when the module wants to be asked again
}

// dispatch is one sending of a retrieval.
type dispatch struct {
	hand          *hand
	number        int
	cache, source *member
	link          *link
	request       UpstreamRequest
	sent, until   int64
	reach         int64                   // until when it may be written
	ends          *timerqueue.Timer[task] // its time-out
	ended         bool
}

// task is what a due time is for: with a dispatch its time-out, with a hand to ask the module again, or
// last the end of the hand's time.
type task struct {
	dispatch *dispatch
	hand     *hand
	last     bool
}

// New makes a reducer.
func New(now int64, seed uint64, set control.Settings, limits Limits) (*Router, error) {
	r := &Router{limits: limits, now: now, clients: map[ClientID]map[int32]*hand{}, ids: map[string]*hand{},
		members: map[string]*member{}, byID: map[uint32]*member{}, links: map[ConnectionID]*link{},
		index:      newMemberIndex(),
		dialWithin: setting(set, "connect.within", int64(1e9)), idleAfter: setting(set, "connect.idle", int64(30e9)),
		answerGrace: setting(set, "answer.grace", int64(0)), streams: setting(set, "connect.streams", int64(1)),
		mayCancel: setting(set, "cancel", false), products: setting(set, "product.names", []string(nil)),
		neverKept: setting(set, "product.neverKept", []bool(nil)),
		flow:      setting(set, "answer.bytesPerS", 0.)}
	for _, effect := range setting(set, "product.effect", []string(nil)) {
		r.harmless = append(r.harmless, effect == "harmless")
	}
	for _, stop := range setting(set, "product.hardStop", []int64(nil)) {
		r.longest = max(r.longest, stop)
	}
	// A sign of life tells nothing of how a member serves: the module tries suspects by dispatches. What instances that
	// share the duty of probing find comes beside that.
	r.mayProbe = setting(set, "probe", false)
	set = maps.Clone(set)
	set["probe"] = false
	var err error
	r.decide, err = control.New(now, seed, set, r.log)
	if err != nil {
		return r, err
	}
	r.shortage = connpool.NewLocalBackoff(r.dialWithin)
	r.location = setting(set, "location", "")
	for _, name := range []string{"kind.parent", "kind.origin"} {
		kinds := setting(set, "kinds", []string(nil))
		if i := setting(set, name, int64(-1)); i >= 0 && i < int64(len(kinds)) {
			r.notCaches = append(r.notCaches, kinds[i])
		}
	}
	r.decide.Reachable = r.reaches
	r.decide.ConnectionsExhausted = func() bool { return r.shortage.Active(r.now) }
	return r, nil
}

func setting[T any](set control.Settings, name string, fallback T) T {
	if v, ok := set[name].(T); ok {
		return v
	}
	return fallback
}

// Handle takes an event that came at a time and returns what is to be done, in order. The returned slice is
// good until the next call.
func (r *Router) Handle(at int64, e Event) []Effect {
	clear(r.effects)
	r.effects, r.at, r.now = r.effects[:0], at, max(r.now, at)
	r.guarded(func() { r.event(e) })
	for r.due.Next() <= r.now {
		_, what := r.due.Pop()
		r.guarded(func() { r.dueTask(what) })
	}
	if r.now >= r.ticking {
		r.guarded(r.tick)
	}
	if next := min(r.due.Next(), r.ticking); next != r.armed {
		r.armed = next
		r.do(SetTimer{At: next})
	}
	return r.effects
}

// guarded keeps a fault of one event from ending all retrievals in hand with the process. The retrieval
// concerned is answered at the end of its time at the latest.
func (r *Router) guarded(f func()) {
	defer func() {
		if p := recover(); p != nil {
			r.log(fmt.Sprintf("fault: %v", p))
		}
	}()
	f()
}

func (r *Router) do(e Effect) { r.effects = append(r.effects, e) }

// log notes a line; where it starts with a member's number, the member's name goes with it.
func (r *Router) log(line string) {
	out := Log{Line: line}
	if rest, ok := strings.CutPrefix(line, "member "); ok {
		number, _, _ := strings.Cut(rest, " ")
		if id, err := strconv.ParseUint(number, 10, 32); err == nil && r.byID[uint32(id)] != nil {
			out.Instance = r.byID[uint32(id)].Instance
		}
	}
	r.do(out)
}

func (r *Router) event(e Event) {
	switch e := e.(type) {
	case TimerFired:
		r.armed = 0 // the timer is used up, also where it came a moment early: it was never set again so
	case RequestReceived:
		r.requested(e)
	case RequestCancelled:
		if h := r.clients[e.Client][e.Seq]; h != nil {
			r.departed(h)
		}
	case ClientDisconnected:
		for _, h := range inOrder(r.clients[e.Client]) {
			r.departed(h)
		}
	case ClientHalfClosed:
		r.halfClosed(e.Client)
	case ConnectionUp:
		r.up(e)
	case ConnectionDown:
		r.down(e)
	case AttemptWithdrawn:
		r.withdrawn(e)
	case ResponseReceived:
		r.answered(e)
	case EndpointListUpdated:
		r.listed(e)
	case PurgeReceived:
		r.purged(e)
	case ProbeEnded:
		if m := r.members[e.Instance]; m != nil && r.mayProbe {
			r.decide.ProbeEnded(r.now, m.ID, e.Healthy, e.LoadReport)
		}
	case ShutdownStarted:
		r.leaving(e)
	}
}

// requested takes a retrieval in hand, or answers at once what cannot be taken.
func (r *Router) requested(e RequestReceived) {
	turnAway := func(kind ResponseKind, why string) {
		r.do(Respond{Client: e.Client, Seq: e.Seq, Kind: kind, Reason: why})
	}
	if r.clients[e.Client][e.Seq] != nil {
		turnAway(BadRequest, "sequence number in use")
		return
	}
	arrived := r.at
	if e.ArrivedAt > 0 {
		arrived = min(e.ArrivedAt, r.at)
	}
	h := &hand{client: e.Client, seq: e.Seq, fields: e.Fields, body: e.Body}
	why := h.read(arrived)
	if old := r.ids[h.fields["txn"]]; why == "" && old != nil && old.NoNewAttempts {
		// Its client closed and asks again on another connection, under the same id: that was taken for a bad client's.
		sent := len(old.dispatches) > 0
		r.finish(old, Respond{Kind: Failed}) // the end of its connection waits for that
		r.departed(old)
		if sent && !r.of(h.Class, r.harmless) {
			turnAway(Failed, "") // it may have run
			return
		}
	}
	switch {
	case why != "":
	case !slices.Contains(r.products, h.Class):
		why = "field verb names no product"
	case r.ids[h.fields["txn"]] != nil:
		why = "field txn is in use" // answers to the one would be taken for the other's
	case len(h.body) > bodyMost:
		why = "the body is too long"
	}
	if why != "" {
		turnAway(BadRequest, why)
		return
	}
	if r.hands >= r.limits.MaxInFlight || r.bytes+len(h.body) > r.limits.MaxBodyBytes {
		turnAway(Rejected, "")
		return
	}
	// A time longer than any product's would keep it in memory for so long.
	h.Deadline = min(h.Deadline, arrived+r.longest)
	if r.leaveBy > 0 {
		h.Deadline = min(h.Deadline, r.leaveBy)
	}
	if r.clients[e.Client] == nil {
		r.clients[e.Client] = map[int32]*hand{}
	}
	r.clients[e.Client][e.Seq] = h
	r.ids[h.fields["txn"]] = h
	r.hands++
	r.bytes += len(h.body)
	h.ends = r.due.Push(h.Deadline+r.answerGrace, task{hand: h, last: true})
	r.act(h, r.decide.Decide(r.now, &h.Request))
}

// read takes from the fields of a request that arrived at a time what decisions need, and says what is wrong with them.
func (h *hand) read(arrived int64) string {
	number := func(name string, most uint64) (int64, bool) {
		n, err := strconv.ParseUint(h.fields[name], 10, 32) // digits alone: it goes on as it came
		return int64(n), err == nil && n <= most
	}
	limit, ok1 := number("limit", math.MaxInt32)
	part, ok2 := number("nth", math.MaxInt32)
	group, ok3 := number("batch", 255)
	for _, f := range []struct {
		name string
		good bool
	}{{"verb", h.fields["verb"] != ""}, {"txn", isHex(h.fields["txn"])}, {"limit", ok1},
		{"item", isHex(h.fields["item"])}, {"nth", ok2}, {"batch", ok3},
		// It goes on in a list of fields, and must not pass for others there.
		{"unique", !strings.ContainsAny(h.fields["unique"], ",=\r\n")}} {
		if !f.good {
			return "field " + f.name + " is missing or unusable"
		}
	}
	h.Request = control.Request{Class: h.fields["verb"], Object: h.fields["item"], Part: part, Group: group,
		Deadline: arrived + limit*millisecond - wayBack, ClientRetry: h.fields["second"] == "1"}
	// Some deployments tell the size, in KB; without it nothing is wrong.
	if kb, err := strconv.ParseFloat(h.fields["ram"], 64); err == nil && kb > 0 && kb < sizeMost {
		h.SizeKB = kb
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

// act carries out a decision on a retrieval in hand.
func (r *Router) act(h *hand, d control.Decision) {
	if h.finished {
		return
	}
	switch d.Verdict {
	case control.Send:
		r.dispatch(h, d.Attempt)
	case control.Reject:
		r.finish(h, Respond{Kind: Rejected, RetryAfter: d.RetryAfter})
	case control.Fail:
		r.finish(h, Respond{Kind: Failed})
	}
	r.callOff(h, d.Cancel)
	r.plan(h)
}

// plan asks how long to wait for a retrieval and enters that into the due times.
func (r *Router) plan(h *hand) {
	if h.finished {
		return
	}
	r.due.Remove(h.asks)
	if wait := r.decide.RecheckDelay(r.now, &h.Request); wait > 0 {
		h.asks = r.due.Push(r.now+wait, task{hand: h})
	}
}

// finish gives a retrieval its one final answer.
func (r *Router) finish(h *hand, a Respond) {
	if h.finished {
		return
	}
	a.Client, a.Seq = h.client, h.seq
	r.drop(h)
	r.do(a)
}

// drop takes a retrieval out of hand; nothing more is sent for it.
func (r *Router) drop(h *hand) {
	if h.finished {
		return
	}
	h.finished = true
	if !r.mayCancel {
		r.takeAllBack(h) // the module calls nothing off where the caches can't be told
	}
	// Left to come due, they kept all of a retrieval for seconds after its end.
	r.due.Remove(h.ends)
	r.due.Remove(h.asks)
	r.bytes -= len(h.body)
	h.body = nil
	r.hands--
	delete(r.ids, h.fields["txn"])
	if delete(r.clients[h.client], h.seq); len(r.clients[h.client]) == 0 {
		delete(r.clients, h.client)
	}
}

// departed ends a retrieval that nobody waits for any more.
func (r *Router) departed(h *hand) {
	r.drop(h)
	r.decide.ClientGone(r.now, &h.Request)
	all := make([]int, len(h.dispatches))
	for i := range all {
		all[i] = i
	}
	r.callOff(h, all)
}

// of tells whether something holds for a product.
func (r *Router) of(product string, which []bool) bool {
	i := slices.Index(r.products, product)
	return i >= 0 && i < len(which) && which[i]
}

// halfClosed ends what waits for a client that has closed its side: held, or for a link that is not up. It was sent on when
// its turn came, seconds after the client had gone. One who still reads is told at once that nothing ran.
func (r *Router) halfClosed(client ClientID) {
	for _, h := range inOrder(r.clients[client]) {
		h.NoNewAttempts = true
		waits := true
		for _, d := range h.dispatches {
			if !d.ended && d.link.up {
				waits = false
			}
		}
		r.takeAllBack(h)
		if waits && !h.finished {
			r.act(h, r.decide.Decide(r.now, &h.Request))
		}
	}
}

// takeAllBack ends what of a retrieval is not written yet.
func (r *Router) takeAllBack(h *hand) {
	for _, d := range slices.Clone(h.dispatches) {
		if !d.ended {
			r.takeBack(d)
		}
	}
}

// callOff gives dispatches up, by their numbers.
func (r *Router) callOff(h *hand, numbers []int) {
	for _, n := range numbers {
		if d := h.dispatches[n]; !d.ended {
			result := control.Cancelled
			if !d.link.up {
				result = control.NotSent
			}
			r.giveUp(d)
			r.ended(d, control.Outcome{Result: result})
		}
	}
}

// ended tells the module how a dispatch ended and carries out what it says.
func (r *Router) ended(d *dispatch, o control.Outcome) {
	if d.ended {
		return
	}
	d.ended, d.request.Body = true, nil
	r.due.Remove(d.ends)
	h := d.hand
	o.Attempt, o.Elapsed, o.RequestEnded = d.number, r.now-d.sent, h.finished
	decision := r.decide.AttemptEnded(r.now, &h.Request, o)
	if h.finished {
		r.callOff(h, decision.Cancel)
		return
	}
	r.act(h, decision)
}

// answered takes an answer to a dispatch; the first good one goes to the client as it came.
func (r *Router) answered(e ResponseReceived) {
	l := r.links[e.Connection]
	if l == nil {
		return
	}
	l.heard = r.now
	d := l.open[e.ID]
	if d == nil {
		return // it was given up, or never asked
	}
	delete(l.open, e.ID)
	if !r.of(d.hand.Class, r.harmless) {
		// Some answer twice, the second time some milliseconds late: on this link it passed for the answer to a further attempt,
		// and one that ran was taken for one that had not.
		l.past[e.ID] = r.now
	}
	switch {
	case e.NotModified && d.request.ClientETag == "":
		e.Result = control.ServerError // no copy was named that could be good still
	case e.Unversioned && r.of(d.hand.Class, r.neverKept):
		e.Result = control.Succeeded // what no cache keeps is no copy: it passed for spoilt, and was never served
	}
	if e.Result == control.Succeeded && !r.decide.AcceptsCopy(r.now, &d.hand.Request, d.number, e.IssuedAt) {
		e.Result = control.Stale
	}
	if e.Result == control.Succeeded {
		r.finish(d.hand, Respond{Kind: Served, Body: e.Body, NotModified: e.NotModified})
	}
	o := control.Outcome{Result: e.Result, Note: e.Note, TimeToFirstByte: e.TimeToFirstByte, LoadReport: e.LoadReport}
	if r.flow > 0 {
		o.SendingTime = float64(len(e.Body)) / r.flow // a large one is due later; judged by the mean it passed for late
	}
	r.ended(d, o)
	r.tidy(l)
}

// dueTask does what a due time was for.
func (r *Router) dueTask(what task) {
	switch {
	case what.dispatch != nil:
		r.late(what.dispatch)
	case what.hand.finished:
	case what.last:
		// Whatever went wrong before: no retrieval stays without its answer.
		h := what.hand
		r.finish(h, Respond{Kind: Failed})
		r.departed(h)
	default:
		r.act(what.hand, r.decide.Decide(r.now, &what.hand.Request))
	}
}

// late ends a dispatch whose time is up, or takes it back if only the time in which it may be written is.
func (r *Router) late(d *dispatch) {
	if d.ended {
		return
	}
	if d.link.up && r.now < d.until {
		r.takeBack(d)
		r.arm(d) // if it was written its answer is waited for
		return
	}
	result := control.TimedOut
	if !d.link.up {
		result = control.Unreachable // nothing was written
	}
	r.giveUp(d)
	r.ended(d, control.Outcome{Result: result})
}

// tick does the periodic work.
func (r *Router) tick() {
	r.ticking = r.now + tickAfterFault
	_, again := r.decide.Tick(r.now) // without probes there are no chores
	r.ticking = r.now + again
	r.sweep()
	r.meet()
}

// leaving cuts the time of all retrievals to what is left.
func (r *Router) leaving(e ShutdownStarted) {
	r.leaveBy = e.AnswerDeadline
	for _, id := range sortedKeys(r.clients) {
		for _, h := range inOrder(r.clients[id]) {
			if h.Deadline <= e.AnswerDeadline {
				continue
			}
			h.Deadline = e.AnswerDeadline
			r.due.Remove(h.ends)
			h.ends = r.due.Push(e.AnswerDeadline+r.answerGrace, task{hand: h, last: true})
			for _, d := range h.dispatches {
				if !d.ended {
					// Its own time is cut, too: one that waited for its link got all of it back when that came up, and was failed
					// where it could have been refused.
					d.until, d.reach = min(e.AnswerDeadline, d.until), min(e.AnswerDeadline-millisecond, d.reach)
					d.request.Deadline = d.until
					r.arm(d)
				}
			}
		}
	}
}

// Listings is the list of members as it is now, by name.
func (r *Router) Endpoints() []EndpointEntry {
	out := make([]EndpointEntry, 0, len(r.members))
	for _, name := range sortedKeys(r.members) {
		out = append(out, r.members[name].EndpointEntry)
	}
	return out
}

// Remember is what the module has learned, with so many objects at most.
func (r *Router) Snapshot(now int64, most int) control.Snapshot {
	return r.decide.Snapshot(max(now, r.now), most)
}

// Recall has the module take over what one before it had learned.
func (r *Router) Restore(now int64, m control.Snapshot, rates bool) { r.decide.Restore(now, m, rates) }

// Hands is how many retrievals are in hand.
func (r *Router) InFlight() int { return r.hands }
