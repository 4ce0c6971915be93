// Package control decides where objects are served, kept and filled from.
//
// How to call it: New makes one router. Decide says where to send a request (or not yet, or never), AttemptEnded
// what to do once an attempt has ended, RecheckDelay how long to wait before asking Decide again. The facts come
// by UpdateEndpoints, Purge, ClientGone, ProbeEnded and Tick. The interface's types are in types.go, the reasons in
// docs/design.md. A router shares nothing, reads no clock and is not safe for use by two goroutines at once.
package control

import (
	"cmp"
	"container/list"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"math"
	"slices"
)

const (
	second   = int64(1e9)
	forever  = int64(math.MaxInt64 / 2)
	period   = second / 10 // of the one periodic timer
	holdStep = second / 20 // between two looks at a held retrieval

	exchange   = 2e-2 // the design's c: missed updates that one KB of filling is worth
	unsizedKB  = 500. // the design's b where sizes are not told
	rateWindow = 10 * second
	tableSize  = 10000
	renewFrom  = 1.  // λ·age from which a copy is renewed behind
	hotShare   = 0.1 // of this router's requests per cache
	hotLeast   = 3.  // and so many requests in the window: a router that just started finds all hot

	repeatMost = 10. // requests in the window up to which one soon after a dismissal is taken for its repeat
	rankAgain  = 0.2 // earlier requests in the window from which an object is kept at rank 2

	silentFrom   = 6.  // evidence of silence from which a member is suspect: e^-6 by chance
	silentMost   = 2.  // of it by one dispatch
	silentLeast  = 1.2 // answer times that one must have waited
	badFrom      = 2.5 // failures, lately, from which a member is suspect
	badShare     = 0.3 // part of them that has failed, beyond what its peers show
	badSure      = 0.4 // of that part, for a parent that has answered hundreds
	healthSpan   = 4 * second
	trialFirst   = second // until a suspect is tried again; doubles up to trialMost
	trialMost    = 8 * second
	furtherShare = 0.15 // further dispatches that each first one of best payoff puts aside
	furtherMost  = 10.
	keepSpan     = 10 * second // for so long an object served is taken to be kept
	roomMost     = 4.          // in hand for the caches' size
	roomLeast    = 0.3
	roomDown     = 0.08 // part lost by each late one
	roomCheap    = 0.7  // least part of the room for what earns less for its bytes, and for repeats
	roomStands   = 2.   // most part for what stands more of a jam
	roomShut     = 1.5  // part for a class that was let in less than shutShare of what others were
	shutShare    = 0.7
	seenFirst    = 10. // answers that a class's first means, drawn from its due time, count for
	adviceShare  = 0.2 // of the due time after which a dismissed client is to come back, at least
	sharingSpan  = 2 * second
	sharingLeast = 20.  // dispatches in hand beside those answered, over the span, that tell of the sharers
	muteFrom     = 1.5  // answers gone missing lately from which a second dispatch is sent to what is overdue
	deniedFrom   = 1.5  // fills denied by parents lately from which the origin is asked for what has no room
	overdueShare = 0.6  // of the due time after which it is
	leastUnits   = 0.01 // size of a member that is told as smaller
	wellShare    = 0.03 // failures for each success up to which a member is well
)

// blame is what an outcome counts against the cache and against the source.
var blame = map[Result][2]float64{Overloaded: {0.3, 0.5}, TimedOut: {0.5, 0.5}, ServerError: {0.5, 0}, Unreachable: {1, 0},
	ConnectionLost: {1, 0}}

// The kinds of rooms, and what is in hand in them for the caches' size at start.
const (
	hits = iota
	fills
	fetches
)

var roomFirst = [3]float64{2, 1.2, 0.4}

// roomUp is what an answer in time adds to its room, more while tight: stalls outlasted themselves by 10 s.
var roomUp = map[bool]float64{false: 0.006, true: 0.018}

// New makes a router from its settings; log takes a short line for each change of mode.
func New(now int64, seed uint64, set Settings, log func(string)) (*Router, error) {
	for _, name := range []string{"product.names", "product.due", "product.hardStop", "product.payoff",
		"product.effect", "location", "kinds", "routers"} {
		if set[name] == nil {
			return nil, fmt.Errorf("setting %s is missing", name)
		}
	}
	r := &Router{set: set, log: log, seed: seed, started: now, home: get(set, "location", ""),
		products: map[string]*product{}, members: map[uint32]*member{}, table: map[entryKey]*entry{},
		live: list.New(), ghosts: list.New(), totalAt: now, purges: map[string]*purge{},
		spare: furtherMost, rooms: roomFirst}
	for i, name := range get[[]string](set, "product.names", nil) {
		due, none := at(set, "product.due", i, second), int64(0)
		r.products[name] = &product{due: due, fresh: at(set, "product.fresh", i, none),
			window: at(set, "product.window", i, none), payoff: at(set, "product.payoff", i, 1.),
			dueStretch: at(set, "product.dueStretch", i, 0.), scope: at(set, "product.scope", i, "cell"),
			effect: at(set, "product.effect", i, "one-shot"), neverKept: at(set, "product.neverKept", i, false),
			sending: max(float64(due)/1e9, 1e-3), answer: float64(due) / 1e9, seen: seenFirst}
		r.classes = append(r.classes, r.products[name])
	}
	return r, nil
}

// Decide says where to send a request that has come, or whose RecheckDelay has passed, or not yet, or never.
func (r *Router) Decide(now int64, t *Request) Decision {
	if t.product == nil {
		if t.product = r.products[t.Class]; t.product == nil {
			return Decision{Verdict: Fail}
		}
		t.product.asked.add(now, r.sendingTime(t))
		if t.arrived, t.entry = now, r.note(now, t); !t.ClientRetry {
			r.asked.work = fade(r.asked.work, now-r.asked.last, sharingSpan) + r.sendingTime(t)
			r.asked.last = now
		}
	}
	switch {
	case t.done:
		return Decision{}
	case t.out > 0:
		return r.rethink(now, t)
	}
	return r.next(now, t)
}

// AttemptEnded says what to do once an attempt has ended.
func (r *Router) AttemptEnded(now int64, t *Request, o Outcome) Decision {
	if o.Attempt < 0 || o.Attempt >= len(t.dispatches) || t.dispatches[o.Attempt].ended {
		return Decision{}
	}
	d := t.dispatches[o.Attempt]
	d.ended, d.result = true, o.Result
	t.out--
	r.judge(now, t, d, o)
	switch t.done = t.done || o.RequestEnded; {
	case t.done:
		return r.callOff(t)
	case t.out > 0:
		return Decision{}
	case o.Result != Cancelled && o.Result != ConnectionLost || get(r.set, "dispatches.together", false) ||
		!r.repeatable(now, t):
		return r.next(now, t)
	case now+2*holdStep >= t.Deadline:
		return r.giveUp(now, t)
	}
	return Decision{} // what gives it up goes another way than the next would: two were out where one may be
}

// RecheckDelay says how long to wait before asking Decide again; 0 is until an outcome.
func (r *Router) RecheckDelay(_ int64, t *Request) int64 {
	switch {
	case t.done:
		return 0
	case t.out > 0:
		return period
	}
	return holdStep
}

// ClientGone tells that a request's client left, or that it ended otherwise; attempts may still be out.
func (r *Router) ClientGone(_ int64, t *Request) Decision { t.done = true; return r.callOff(t) }

// callOff ends what else of a finished retrieval is out.
func (r *Router) callOff(t *Request) (d Decision) {
	for i, other := range t.dispatches {
		if !other.ended && get(r.set, "cancel", false) {
			d.Cancel = append(d.Cancel, i)
		}
	}
	return d
}

// next picks the next dispatch of a retrieval that has none out, or holds it, or gives it up.
func (r *Router) next(now int64, t *Request) Decision {
	cache, source := r.place(now, t)
	if n := len(t.dispatches); n > 0 && t.dispatches[n-1].source == nil && r.origin != nil && cache != nil &&
		!t.missed && r.denials.at(now) > deniedFrom && !r.room(now, t, cache) && r.originStands() {
		source, t.missed = r.origin, true // its home does not hold it, and parents are at their bounds
	}
	if r.starved() {
		t.starved = now
	}
	switch {
	case !r.repeatable(now, t) || now >= t.unwrittenMost():
	case t.starved > 0 && now+2*holdStep >= t.unwrittenMost():
		// Too late for a link to come up: it was counted against the cache that it had not.
	case cache != nil && r.room(now, t, cache):
		if r.afford(t) {
			return r.send(now, t, cache, source)
		}
	case cache != nil && r.mayHold(now, t, cache):
		return r.send(now, t, cache, nil)
	case now < max(t.arrived, t.starved)+t.product.due/8 && now+2*holdStep < t.unwrittenMost():
		// What waited longer was late after all; never past the client's own time: one was lost so.
		return Decision{}
	}
	return r.giveUp(now, t)
}

// unwrittenMost is until when a retrieval may stay without a dispatch that came whole to a cache.
func (t *Request) unwrittenMost() int64 {
	for _, d := range t.dispatches {
		if d.mayHaveRun() || d.result == Overloaded || d.result == NotHeld {
			return t.Deadline
		}
	}
	return t.arrived + (t.Deadline-t.arrived)/2
}

// room keeps what is in hand to what comes in time, learned from how much does: likely hits by the cache's
// link, likely fills by the location's. Beyond that all get late together, and the jam outlives its cause.
// What earns least for its sending time goes first, and clients' repeats: most are late already. It covers
// jumps in traffic, crowding, empty caches, a slow source; it hurts where answers are late for a moment only.
func (r *Router) room(now int64, t *Request, cache *member) bool {
	load, kind := r.load(now, cache), t.kind(now)
	limit := r.rooms[kind]
	switch {
	case kind == fills && t.neverKept():
		limit = r.rooms[hits] // runs at the origin, and takes next to nothing of the links for fills
	case kind > 0:
		load = float64(r.inTime(now)[kind]) * r.sharing() / r.units(now)
	}
	if t.ClientRetry {
		limit *= roomCheap
	}
	return load < limit*r.part(now, t)
}

// part is the part of a room that is open to a retrieval, by its class. Kept free of it is what classes worth
// twice as much for their sending time ask for, twice over. A class whose answers stand more of a jam than
// others' may go beyond the room, as it comes and goes fast; so may one that was let in far less than others:
// else the best alone could fill the room, and one class was hardly served.
func (r *Router) part(now int64, t *Request) float64 {
	p, least := t.product, math.Inf(1)
	var asked, taken, better float64
	for _, q := range r.classes {
		work := q.asked.at(now)
		if asked, taken = asked+work, taken+q.taken.at(now); q.payoff/q.sending > 2*p.payoff/r.sendingTime(t) {
			better += work
		}
		if q.seen > seenFirst {
			least = min(least, q.stands())
		}
	}
	part := 1 - min(1-roomCheap, 2*better/max(asked, 0.01))
	if p.stands() > least {
		part *= min(roomStands, p.stands()/least)
	}
	if p.taken.at(now)*asked < shutShare*taken*p.asked.at(now) {
		part *= roomShut
	}
	return part
}

// stands is how much longer than at full pace an answer of a class may take and still be in time.
func (p *product) stands() float64 { return p.dueStretch + float64(p.due)/1e9/p.sending }

// mayHold tells whether a retrieval for which there is no room as a fill is to ask its home for what that
// holds. In a thin slice what is kept is unknown: half of what was taken for fills were hits, and a jam of
// the sources turned all away. Only where any copy that the cache may serve will do, and nothing was asked
// yet.
func (r *Router) mayHold(now int64, t *Request, cache *member) bool {
	age, _ := r.age(now, t)
	return t.kind(now) == fills && len(t.dispatches) == 0 && !t.neverKept() &&
		(age == 0 || t.product.fresh > 0 && age >= t.product.fresh) && r.load(now, cache) < r.rooms[hits]*roomCheap
}

// kind tells which room the next dispatch counts in: that of likely hits, of likely fills, or of fetches from
// the origin, once the source has said that it lacks the object.
func (t *Request) kind(now int64) int {
	switch {
	case t.missed:
		return fetches
	case t.entry.servedUntil <= now || t.away:
		return fills
	}
	return hits
}

// sharing is how many routers send to the location's caches now, by what answers tell is in hand there.
func (r *Router) sharing() float64 {
	if r.ours < sharingLeast {
		return r.sharers(nil)
	}
	return max(1, min(r.theirs/r.ours, r.sharers(nil)))
}

// measuredSize is how many answers a cache can send at once at a client's full pace, where weights do not tell it:
// what each cache carried in time at the best, scaled to all who send there, or what is asked for now, up to some
// times that; a young router goes by what is asked for alone. A weight of one for all was taken for caches of one
// answer at a time, and shut the rooms on half of the traffic.
func (r *Router) measuredSize(now int64) float64 {
	best, asked := max(1, r.carried[0].best), r.each(now, r.asked, sharingSpan, r.sharing(), r.caches)
	if now >= r.started+rateWindow {
		asked = min(asked, roomMost*best)
	}
	return max(best, asked)
}

// sure is what a member bears for sure when warm. What is measured is the mean of its tier as it goes, not
// the best: that is chance in a thin slice, and sums up over all.
func (r *Router) sure(now int64, m *member) float64 {
	switch {
	case r.told():
		return m.Capacity
	case m.Location == r.home:
		return max(1, r.each(now, r.carried[0], rateWindow, r.sharing(), r.caches))
	}
	return max(1, r.each(now, r.carried[1], rateWindow, r.sharers(m), r.parents))
}

// told tells whether weights are sizes.
func (r *Router) told() bool {
	return !slices.Contains([]string{"off", "live"}, get(r.set, "units", "nominal"))
}

// carry counts what members of a tier carried in time, and keeps the best that each had over the window.
func (r *Router) carry(now int64, c *carried, work, sharers float64, members []*member) {
	if c.add(now, work); now >= r.started+rateWindow {
		c.best = max(c.best, r.each(now, *c, rateWindow, sharers, members))
	}
}

// each is the part of one member in what a tier carries, in answers sent at once.
func (r *Router) each(now int64, c carried, span int64, sharers float64, members []*member) float64 {
	return r.rateOver(now, c.work, c.last, span) * sharers / float64(max(1, len(members)))
}

// afford draws a further dispatch from what first ones have put aside, by payoff. Without this bound a jam
// feeds on itself. It hurts where one cache of few fails and more could be saved elsewhere.
func (r *Router) afford(t *Request) bool {
	switch n := len(t.dispatches); {
	case n > 0 && t.dispatches[n-1].result == LocalError: // it took no load to anybody
	case n == 0:
		r.spare = min(r.spare+furtherShare*t.product.payoff/r.most(payoff), furtherMost)
	case n < 3 && (t.denied() && r.originStands() ||
		slices.Contains([]Result{NotHeld, SendInterrupted, ConnectionLost}, t.dispatches[n-1].result)):
		// no sign of a jam; denied, where the origin can fall, is one
	case r.spare < 1:
		return false
	default:
		r.spare--
	}
	return true
}

// rethink sends a retrieval that waits for what has become suspect elsewhere, beside its first dispatch where
// that is allowed, else in its place.
func (r *Router) rethink(now int64, t *Request) Decision {
	var stuck Decision
	for i, d := range t.dispatches {
		if d.ended {
			continue
		}
		if r.check(now, d.cache); !d.stuck(now, d.cache) && !d.stuck(now, d.source) && !r.overdue(now, t, d) {
			return Decision{}
		}
		stuck.Cancel = append(stuck.Cancel, i)
	}
	switch {
	case !r.repeatable(now, t):
	case get(r.set, "dispatches.together", false):
		if cache, source := r.place(now, t); cache != nil && r.afford(t) {
			return r.send(now, t, cache, source)
		}
	case t.product.effect == "harmless" && get(r.set, "cancel", false):
		return stuck
	}
	return Decision{}
}

// overdue tells whether a dispatch may have lost its answer, as some do of late, and a second can be in time.
func (r *Router) overdue(now int64, t *Request, d *dispatch) bool {
	return r.mute.at(now) > muteFrom && get(r.set, "dispatches.together", false) &&
		d.cache.well() && d.source.well() && float64(now-d.sent) > overdueShare*float64(r.dueIn(t, 0))
}

// well tells whether next to nothing has failed at a member lately: second dispatches would feed a jam.
func (m *member) well() bool { return m == nil || !m.suspect && m.bad < wellShare*m.good }

// stuck tells whether a dispatch waits for a suspect. A trial gets its time, else it teaches nothing.
func (d *dispatch) stuck(now int64, m *member) bool {
	return m != nil && m.suspect && (d.trial != m || now-d.sent > trialFirst)
}

// most is the largest of a figure over the products.
func (r *Router) most(figure func(*product) float64) float64 {
	best := 0.01
	for _, p := range r.products {
		best = max(best, figure(p))
	}
	return best
}

func payoff(p *product) float64 { return p.payoff }

// repeatable tells whether a further dispatch is allowed, by number and payoff, and does no harm: rule 2.
func (r *Router) repeatable(now int64, t *Request) bool {
	allowed := min(int(get(r.set, "dispatches.most", int64(3))), 2+int(2*t.product.payoff/r.most(payoff)))
	return !t.NoNewAttempts && t.attempts() < allowed && t.comesBack(now) && (t.product.effect == "harmless" ||
		!slices.ContainsFunc(t.dispatches, func(d *dispatch) bool {
			return d.mayHaveRun() && (t.product.effect != "stamped" || now >= d.sent+t.product.window)
		}))
}

// attempts is how many of a retrieval's dispatches left this machine, or may yet.
func (t *Request) attempts() (n int) {
	for _, d := range t.dispatches {
		if !d.ended || d.result != LocalError {
			n++
		}
	}
	return n
}

// starved tells whether this machine can open no connections for now.
func (r *Router) starved() bool { return r.ConnectionsExhausted != nil && r.ConnectionsExhausted() }

// mayHaveRun tells whether nothing proves that a dispatch did not run.
func (d *dispatch) mayHaveRun() bool { return !d.ended || d.result > NotSent && d.result != LocalError }

// sameGroup tells whether a stamped retrieval that may have run can be repeated at m.
func sameGroup(t *Request, m *member) bool {
	scope := t.product.scope
	return t.product.effect != "stamped" || !slices.ContainsFunc(t.dispatches, func(d *dispatch) bool {
		return d.mayHaveRun() && (scope == "zone" && d.cache.Location != m.Location ||
			scope == "cell" && d.cache.Cell != m.Cell)
	})
}

// giveUp ends a retrieval at once: dismissed where the client may safely try again, else aborted.
func (r *Router) giveUp(now int64, t *Request) Decision {
	t.done, t.entry.gaveUp = true, now
	p := t.product
	switch anywhere := p.effect == "harmless" || p.effect == "stamped" && p.scope == "all"; {
	case !anywhere && slices.ContainsFunc(t.dispatches, (*dispatch).mayHaveRun):
		return Decision{Verdict: Fail}
	case !get(r.set, "advice", false):
		return Decision{Verdict: Reject}
	}
	// Soon enough to be in time, and spread: those turned away together must not come back together.
	wait := int64(adviceShare * (1 + r.chance()) * float64(p.due))
	return Decision{Verdict: Reject, RetryAfter: min(wait, get(r.set, "advice.most", int64(0)))}
}

// place picks the cache and the fill source by the object's hash.
func (r *Router) place(now int64, t *Request) (cache, source *member) {
	caches := r.cacheCandidates(now, t)
	t.away = false
	// Where the home has no room, another cache with plenty fills the object, if there is room for fills.
	if cache = r.pick(now, t, caches); cache != nil && t.entry.servedUntil > now && !r.room(now, t, cache) {
		caches.leaveOut(r.rooms[0] / 2)
		if other := r.pick(now, t, caches); other != nil {
			cache, t.away = other, true
		}
	}
	return cache, r.pick(now, t, r.sourceCandidates(t))
}

// neverKept tells whether no cache or parent keeps the answer to a retrieval: it runs at the origin.
func (t *Request) neverKept() bool { return t.product.neverKept || t.Write }

// denied tells whether the last dispatch found its source at its bound or dead. The other parents are likely
// no better: one who can't fall over, the origin, is asked.
func (t *Request) denied() bool {
	n := len(t.dispatches)
	return n > 0 && t.dispatches[n-1].denied
}

// originStands tells whether the origin never falls over, whatever it is asked for.
func (r *Router) originStands() bool { return get(r.set, "origin.fallFactor", 0.) == 0 }

// pick takes the first member within its cold budget, not suspect (or due for a trial) and not tried for this
// retrieval. If there is none, the first within its budget: where all are suspect, it is not they.
func (r *Router) pick(now int64, t *Request, ranked *candidates) (fallback *member) {
	for m := ranked.next(); m != nil; m = ranked.next() {
		if !r.fits(now, m, t.product.sending) || m.Location == r.home && !sameGroup(t, m) ||
			r.Reachable != nil && !r.Reachable(m.ID) {
			continue
		}
		r.check(now, m)
		tried := slices.ContainsFunc(t.dispatches, func(d *dispatch) bool {
			// A connection that broke by itself is no reason to fill the object elsewhere.
			broke := slices.Contains([]Result{ConnectionLost, SendInterrupted, ServerError, NotHeld, Stale, LocalError}, d.result)
			return !broke && (d.cache == m || d.source == m)
		})
		trial := now >= m.trialAt && !m.trial && len(t.dispatches) == 0 && (m.Location == r.home &&
			!get(r.set, "probe", false) || m.Location != r.home && t.entry.servedUntil <= now)
		if !tried && (!m.suspect || trial) {
			return m
		}
		if fallback == nil {
			fallback = m
		}
	}
	return fallback
}

func (r *Router) send(now int64, t *Request, cache, source *member) Decision {
	d := &dispatch{sent: now, cache: cache, source: source, kind: t.kind(now), issuedFrom: r.issuedFrom(t)}
	if source == nil {
		d.kind = hits
	}
	if d.lateFrom = now + r.dueIn(t, r.sizedTime(t)); t.SizeKB == 0 {
		d.lateFrom += 2 * r.dueIn(t, 0) // it may be large, and then it draws on the links still
	}
	out := Attempt{Cache: cache.ID, Timeout: t.Deadline - now,
		SendTimeout: min(t.unwrittenMost(), t.Deadline-t.product.answerLeast()) - now}
	for _, before := range t.dispatches {
		if t.product.effect == "stamped" && before.mayHaveRun() { // repeats are dropped so long, late links or not
			out.SendTimeout = min(out.SendTimeout, before.sent+t.product.window-now)
		}
	}
	d.reach = out.SendTimeout
	if t.dispatches = append(t.dispatches, d); len(t.dispatches) == 1 {
		t.product.taken.add(now, r.sendingTime(t))
	}
	t.out++
	for _, m := range []*member{cache, source} {
		if m == nil {
			continue
		}
		r.begin(m, d)
		m.charge(now, t.product.sending)
		if m.suspect {
			m.trial, d.trial = true, m
		}
	}
	if source == nil {
		out.CacheOnly = true
		return Decision{Verdict: Send, Attempt: out}
	}
	out.Source = source.ID
	if !t.neverKept() {
		// While fills are tight, and fetches come in time no better, a parent is first asked for what it holds.
		out.ParentOnlyIfCached = d.kind == fills && r.tight[fills] && r.rooms[fetches] < r.rooms[fills] && source != r.origin
		out.JoinFill = get(r.set, "joins", false)
		out.MaxAge, out.RefreshBehind = r.age(now, t)
		// Ranks shield reused objects from those asked for once; a third kept what had been hot for good.
		if out.CachePriority = 1; r.reused(t.entry) {
			out.CachePriority = 2
		}
	}
	return Decision{Verdict: Send, Attempt: out}
}

// age gives the oldest copy that will do, and whether an ageing one is renewed behind.
func (r *Router) age(now int64, t *Request) (age int64, renew bool) {
	e := t.entry
	if e.age == 0 || now >= e.ageEnds {
		r.setAge(now, t)
	}
	renew = r.scaled(now, e)*float64(e.age)/1e9 >= renewFrom
	if age = e.age; age == forever {
		age = 0
	}
	return r.youngEnough(now, t, age), renew
}

// setAge sets an object's accepted age by the design's root and holds it.
func (r *Router) setAge(now int64, t *Request) {
	e, p := t.entry, t.product
	kb := cmp.Or(t.SizeKB, unsizedKB)
	if len(r.parents) == 0 {
		kb *= 2
	}
	// One over the fresh time at start, as if one purge had been told over that time.
	span, purges := float64(now-e.born)/1e9, e.purges
	if p.fresh > 0 {
		span, purges = span+float64(p.fresh)/1e9, purges+1
	} else {
		span = max(span, float64(rateWindow)/1e9)
	}
	e.age = forever
	if mu, lambda := purges/span, r.scaled(now, e); mu > 0 && lambda > 0 {
		if root := math.Sqrt(2 * exchange * kb / (mu * lambda)); root < 1e9 {
			e.age = max(int64(root*1e9), second/1000)
		}
	}
	if p.fresh > 0 {
		e.age = min(e.age, p.fresh)
	}
	e.ageEnds = now + e.age
}

// reused tells whether an object was asked for before. Requests before this one are scaled to the location:
// in a thin slice none came twice, and a scan swept the caches.
func (r *Router) reused(e *entry) bool { return (e.count-1)*r.sharers(nil) >= rankAgain }

// scaled is the design's λ: the own rate times the routers of the location.
func (r *Router) scaled(now int64, e *entry) float64 {
	return r.rate(now, e.count, e.counted) * r.sharers(nil)
}

// rate turns a decayed count into requests a second; a young router has counted for less than the window.
func (r *Router) rate(now int64, count float64, counted int64) float64 {
	return r.rateOver(now, count, counted, rateWindow)
}

func (r *Router) rateOver(now int64, count float64, counted, over int64) float64 {
	span := float64(max(min(now-r.started, over), second)) / 1e9
	return fade(count, now-counted, over) / span
}

func fade(x float64, since, over int64) float64 { return x * math.Exp(-float64(since)/float64(over)) }

// note counts a retrieval in the rate table. Repeats don't count, marked or guessed by what was given up on
// here a moment ago: they would shrink ages while parents strain.
func (r *Router) note(now int64, t *Request) *entry {
	key := entryKey{t.Object, t.Part}
	e := r.table[key]
	switch {
	case e == nil:
		e = &entry{key: key, group: t.Group, born: now, counted: now}
		r.table[key] = e
	case e.ghost:
		r.ghosts.Remove(e.place)
	default:
		r.live.Remove(e.place)
	}
	e.ghost, e.place = false, r.live.PushFront(e)
	if r.live.Len() > tableSize {
		old := r.live.Remove(r.live.Back()).(*entry)
		old.ghost, old.age, old.place = true, 0, r.ghosts.PushFront(old)
	}
	if r.ghosts.Len() > tableSize {
		delete(r.table, r.ghosts.Remove(r.ghosts.Back()).(*entry).key)
	}
	if t.ClientRetry = t.ClientRetry || now < e.gaveUp+second && e.count < repeatMost; !t.ClientRetry {
		e.count, e.counted = fade(e.count, now-e.counted, rateWindow)+1, now
		r.total, r.totalAt = fade(r.total, now-r.totalAt, rateWindow)+1, now
	}
	return e
}

func groupName(group int64) string { return fmt.Sprint("g", group) }

// Purge tells of a purge of one object with all its parts or, with no object, of a group.
func (r *Router) Purge(now int64, object string, group int64, when int64) {
	name := "o" + object
	if object == "" {
		name = groupName(group)
	}
	r.purges[name] = r.purges[name].with(now, when)
	for at := r.live.Front(); at != nil; at = at.Next() {
		if e := at.Value.(*entry); e.key.object == object || object == "" && e.group == group {
			e.purges++
			e.ageEnds, e.servedUntil = now, 0
		}
	}
}

// Tick does the periodic work and says when to come again.
func (r *Router) Tick(now int64) (probe []uint32, again int64) {
	for name, p := range r.purges {
		if now > p.told+get(r.set, "purge.takes", 10*second)+second/2 {
			delete(r.purges, name) // all caches and parents have dropped older copies by themselves
		}
	}
	all := r.cacheEvidence(now)
	for _, m := range r.watched.members {
		if m.role != cacheRole {
			continue
		}
		if m.mayBeSuspect(now) && r.mayStandOut(now, m, all) {
			r.check(now, m)
		}
		if m.suspect && !m.trial && now >= m.trialAt && get(r.set, "probe", false) && r.fits(now, m, r.meanWork(now, 0)) {
			m.trial = true
			m.charge(now, r.meanWork(now, 0))
			probe = append(probe, m.ID)
		}
	}
	r.unwatch(now)
	r.forgetFaded(now)
	return probe, period
}

// ProbeEnded tells how a probe ended.
func (r *Router) ProbeEnded(now int64, id uint32, good bool, _ []float64) {
	if m := r.members[id]; m != nil {
		m.trial = false
		r.tried(now, m, good)
	}
}

func (r *Router) tried(now int64, m *member, good bool) {
	switch {
	case m.suspect && good:
		if m.off {
			m.coldFrom, m.coldTold = now, now // likely restarted, which the list tells too late: it fell over at full load
		}
		m.suspect, m.off, m.good, m.bad, m.heard = false, false, 0, 0, now
		r.log(fmt.Sprintf("member %d trusted again", m.ID))
	case m.suspect:
		m.backoff = min(2*m.backoff, trialMost)
		m.trialAt = now + m.backoff
	}
}

// judge draws from an outcome what it tells of the cache, the source, the room and the product.
func (r *Router) judge(now int64, t *Request, d *dispatch, o Outcome) {
	p, kind, own := t.product, d.kind, cmp.Or(r.sizedTime(t), o.SendingTime)
	t.missed = t.missed || o.Result == NotHeld && kind == fills
	// What took under twice its sending time shows no jam, in time or not: it could hardly be.
	inTime := o.Elapsed <= max(r.dueIn(t, own), int64(2e9*own))
	if i := slices.Index(get(r.set, "report.fields", []string(nil)), "inHand"); i >= 0 && i < len(o.LoadReport) {
		r.theirs = fade(r.theirs, now-r.sharedAt, sharingSpan) + max(o.LoadReport[i]-1, 0)
		r.ours = fade(r.ours, now-r.sharedAt, sharingSpan) + float64(len(d.cache.out)-1)
		r.sharedAt = now
	}
	if o.Result == Stale {
		r.distrust()
	}
	hurried := p.hurried(d, o)
	late := o.Result == TimedOut && !hurried
	if late && d.cache.well() && d.source.well() {
		r.mute.add(now)
	}
	good, bad := [2]float64{}, blame[o.Result] // of the cache, of the source
	switch {
	case o.Result == Succeeded || o.Result == NotHeld:
		if good = [2]float64{1, 1}; !inTime {
			good, bad = bad, good // a cache or source that is only slow showed in no other way
		}
	case hurried:
		bad = [2]float64{}
	case o.SharedCause: // a connection that broke is one failure: counted by all that was open on it, it made a
		bad = [2]float64{} // healthy member suspect
	case o.Result == Overloaded && o.Note == 9: // notes: 9 names the cache, 6 to 8 the source
		bad[1] = 0
	case o.Result == Overloaded && o.Note >= 6 && o.Note <= 8:
		bad, d.denied = [2]float64{0, 1}, true
		r.denials.add(now)
	}
	if kind == hits {
		good[1], bad[1] = 0, 0 // likely a hit: it tells nothing of the source
	}
	if work := cmp.Or(own, p.sending); o.Result == Succeeded && inTime {
		r.carry(now, &r.carried[0], work, r.sharing(), r.caches)
		if kind > hits && o.Note != 1 && d.source != r.origin {
			r.carry(now, &r.carried[1], work, r.sharers(d.source), r.parents)
		}
	}
	switch {
	case o.Result == Succeeded && inTime:
		r.rooms[kind] = min(r.rooms[kind]+roomUp[r.tight[kind]], roomMost)
	case (o.Result == Succeeded || late) && !d.cache.suspect && (d.source == nil || !d.source.suspect):
		r.rooms[kind] = max(r.rooms[kind]*(1-roomDown), roomLeast)
	}
	room, first := r.rooms[kind], roomFirst[kind]
	if r.tight[kind] && room > first || !r.tight[kind] && room < first/2 {
		if r.tight[kind] = !r.tight[kind]; kind == fills {
			r.rooms[fetches] = roomFirst[fetches]
		}
		name := []string{"hits", "fills", "fetches"}[kind]
		r.log(fmt.Sprintf("room for %s tight: %v, at %.2f", name, r.tight[kind], room))
	}
	if o.Result == Succeeded {
		p.answered(o.Elapsed)
		p.seen = min(p.seen+1, 200)
		p.answer += (float64(o.Elapsed)/1e9 - p.answer) / p.seen
		if own > 0 || o.Note <= 1 {
			p.sending += (cmp.Or(own, float64(o.Elapsed)/1e9) - p.sending) / p.seen
		}
		t.entry.servedUntil = now + keepSpan
		if e := t.entry; o.Note == 2 || o.Note == 3 {
			e.age = 0
			r.setAge(now, t)
		}
	}
	for i, m := range []*member{d.cache, d.source} {
		if m == nil {
			continue
		}
		r.finish(m, d)
		m.good = fade(m.good, now-m.scored, healthSpan) + good[i]
		m.bad = fade(m.bad, now-m.scored, healthSpan) + bad[i]
		m.scored = now
		r.scored.add(m)
		if m.bad >= badFrom {
			r.watched.add(m)
		}
		m.off = m.off || m == d.cache && o.Result == Unreachable && !hurried || m == d.source && o.Result == Overloaded && bad[1] > 0
		silent := slices.Contains([]Result{Unreachable, TimedOut, Cancelled, SendInterrupted, LocalError, NotSent}, o.Result)
		if m == d.cache && !silent || kind > hits && o.Result == Succeeded {
			m.heard = now
		}
		if d.trial == m {
			m.trial = false
			if good[i]+bad[i] > 0 {
				r.tried(now, m, good[i] > bad[i])
			}
		}
		r.check(now, m)
	}
}

// check makes a member suspect by its failures lately or by its silence, whatever lies behind them. What its
// peers show then is no evidence: in a jam all looked suspect in turn and objects lost their homes. Half a
// tier may fail at once and still stand out; where most fail, further dispatches must find the rest.
func (r *Router) check(now int64, m *member) {
	if m.suspect || m == r.origin || !m.mayBeSuspect(now) {
		return
	}
	silent, good, bad := r.signs(now, m)
	if silent < silentFrom && bad < badFrom {
		return
	}
	peers, sure := r.caches, badShare
	if m.Location != r.home { // late with a quarter of hundreds a parent stayed in; the last one is to
		if peers = r.parents; slices.ContainsFunc(peers, func(p *member) bool { return p != m && !p.suspect }) {
			sure *= max(badSure, min(1, 4/math.Sqrt(good+bad)))
		}
	}
	allSilent, allGood, allBad := r.peerSigns(now, m)
	silent -= allSilent / float64(max(1, len(peers)-1))
	apart := bad/(good+bad) - allBad/max(allGood+allBad, 1)
	if silent < silentFrom && (bad < badFrom || apart < sure) {
		return
	}
	m.suspect, m.backoff, m.trial = true, trialFirst, false
	m.trialAt = now + m.backoff
	r.log(fmt.Sprintf("member %d suspect: silence %.1f, failures %.1f of %.1f", m.ID, silent, bad, good+bad))
}

// sharers is how many routers share a member: those of the location for a cache, all for another.
func (r *Router) sharers(m *member) float64 {
	if m == nil || m.Location == r.home {
		here := slices.Index(get[[]string](r.set, "locations", nil), r.home)
		return float64(max(1, at(r.set, "location.routers", here, int64(1))))
	}
	return float64(max(1, get(r.set, "routers", int64(1))))
}

// sizedTime is a retrieval's own sending time in seconds where sizes are told, else 0.
func (r *Router) sizedTime(t *Request) float64 {
	return t.SizeKB / max(get(r.set, "clientKBPerS", 1.), 1)
}

// dueIn is how long after its sending an answer is in time, by its own sending time or the product's mean.
func (r *Router) dueIn(t *Request, own float64) int64 {
	return t.product.due + int64(t.product.dueStretch*1e9*cmp.Or(own, t.product.sending))
}

// sendingTime is what a retrieval costs a member's link.
func (r *Router) sendingTime(t *Request) float64 { return max(t.product.sending, r.sizedTime(t)) }

// chance is a draw from [0, 1) of the instance's own.
func (r *Router) chance() float64 {
	r.draws++
	b := binary.LittleEndian.AppendUint64(nil, r.seed)
	return float64(crc32.ChecksumIEEE(binary.LittleEndian.AppendUint32(b, r.draws))) / (1 << 32)
}
