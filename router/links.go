package router

import (
	"cmp"
	"maps"
	"slices"

	"tealpath/control"
)

const (
	// linksMost is how many links one member has beside those that carry all they may.
	linksMost = 4

	// shareFrom is how much is open on a member's least used link from which it gets one more: one spoilt answer
	// takes all with it that is open on its link.
	shareFrom = 3
)

// member is one instance of the list.
type member struct {
	EndpointEntry
	links   []*link
	planned bool // the plan of links counts it among the caches
}

// link is one connection to a member.
type link struct {
	id      ConnectionID
	member  *member
	address string
	up      bool
	doubted bool // it has been silent on what it was asked: nothing new is sent on it
	closed  bool
	open    map[string]*dispatch // by the id that is on the link
	past    map[string]int64     // ids given up on it, with the time: an answer may come yet
	heard   int64
	used    int64
}

// dispatch starts a dispatch that the module decided on.
func (r *Router) dispatch(h *hand, plan control.Attempt) {
	d := &dispatch{hand: h, number: len(h.dispatches), cache: r.byID[plan.Cache], sent: r.now}
	h.dispatches = append(h.dispatches, d)
	within := plan.Timeout
	if within <= 0 || within > h.Deadline-r.now {
		within = h.Deadline - r.now
	}
	d.request = UpstreamRequest{ID: h.fields["txn"], Class: h.fields["verb"], Object: h.fields["item"],
		Part: h.fields["nth"], Body: h.body, Deadline: r.now + within, Attempt: plan}
	if tag := h.fields["got"]; isHex(tag) {
		d.request.ClientETag = tag
	}
	d.request.IdempotencyKey = h.fields["unique"]
	if !plan.CacheOnly {
		if d.source = r.byID[plan.Source]; d.source != nil {
			d.request.Source = d.source.Instance
		}
	}
	if d.cache != nil {
		d.link = r.pick(d.cache, d.request.ID)
	}
	if d.link == nil {
		d.link = &link{}
		result := control.NotSent
		if r.shortage.Active(r.now) {
			result = control.LocalError
		}
		r.ended(d, control.Outcome{Result: result})
		return
	}
	d.link.open[d.request.ID] = d
	d.link.used = r.now
	d.until = r.now + within
	d.reach = min(d.until-millisecond, r.now+plan.SendTimeout) // with less than the wire's unit left it could not be told
	if d.link.up {
		r.write(d)
		return
	}
	d.ends = r.due.Push(d.reach, task{dispatch: d})
}

// pick gives the least used link to a member, or dials one. A link on which this id was given up before is
// left out: a late answer to that could be taken for one to this.
func (r *Router) pick(m *member, id string) *link {
	var best, quiet *link
	full := 0
	for _, l := range m.links {
		_, past := l.past[id]
		switch {
		case int64(len(l.open)) >= r.streams:
			full++
		case l.doubted || past || l.open[id] != nil || !r.limits.ConnectionPlan.CanSend(r.now, m.Instance):
		case r.quiet(l):
			quiet = l
		case best == nil || l.up && !best.up || l.up == best.up && len(l.open) < len(best.open):
			best = l
		}
	}
	switch spent := len(m.links)-full >= linksMost || len(r.links) >= r.limits.MaxConnections; {
	case best != nil && (spent || len(best.open) < shareFrom):
		return best
	case spent:
		return quiet
	case r.shortage.Active(r.now), !r.limits.ConnectionPlan.CanConnect(r.now, m.Instance, len(m.links)):
		return cmp.Or(best, quiet)
	}
	l := r.dial(m)
	if best != nil && best.up {
		return best // the new one is for what follows
	}
	return l
}

// dial opens one more link to a member.
func (r *Router) dial(m *member) *link {
	r.linked++
	l := &link{id: r.linked, member: m, address: m.Address, open: map[string]*dispatch{}, past: map[string]int64{},
		heard: r.now, used: r.now}
	m.links = append(m.links, l)
	r.links[l.id] = l
	r.limits.ConnectionPlan.Dialled(r.now, m.Instance)
	r.do(Dial{Connection: l.id, Address: l.address, Timeout: r.dialWithin})
	return l
}

// reaches tells whether a dispatch to a member would find a link, or may open one: by the plan, and within the links that
// the router may have in all. It is the module's to pass over a cache that can't be reached, in the order of an object's
// ranking: where there are more caches than links, what has no link of its own goes to one that stands.
func (r *Router) reaches(id uint32) bool {
	m := r.byID[id]
	if m == nil || !r.isCache(m) {
		return true
	}
	mayDial := !r.shortage.Active(r.now) && len(r.links) < r.limits.MaxConnections
	if mayDial && r.limits.ConnectionPlan.CanConnect(r.now, m.Instance, len(m.links)) {
		return true
	}
	return r.limits.ConnectionPlan.CanSend(r.now, m.Instance) && slices.ContainsFunc(m.links, func(l *link) bool { return !l.doubted })
}

// isCache tells whether a member is a cache of this router's location.
func (r *Router) isCache(m *member) bool {
	return m.Location == r.location && !slices.Contains(r.notCaches, m.Kind)
}

// meet dials caches ahead of what is to be sent there, as the plan says.
func (r *Router) meet() {
	if r.shortage.Active(r.now) {
		return
	}
	for _, name := range r.limits.ConnectionPlan.Preconnect(r.now) {
		if m := r.members[name]; m != nil && len(m.links) == 0 && len(r.links) < r.limits.MaxConnections {
			r.dial(m)
		}
	}
}

// quiet tells whether nothing has come on a link for a while though something is open on it: a slow answer
// may be on its way, and whatever is asked behind it would wait for that.
func (r *Router) quiet(l *link) bool {
	if !l.up || len(l.open) == 0 {
		return false
	}
	oldest := r.now
	for _, d := range l.open {
		oldest = min(oldest, d.sent)
	}
	return r.now-max(oldest, l.heard) > r.dialWithin
}

// up sends what has waited for a link.
func (r *Router) up(e ConnectionUp) {
	l := r.links[e.Connection]
	if l == nil {
		return
	}
	for _, d := range r.inOpen(l) {
		if !l.up && r.now >= d.reach {
			// Its time came in the same moment or before, and only the timer was late: it was written past its deadline, or past
			// the window in which its repeats are dropped.
			r.late(d)
		}
	}
	r.dialPassed()
	l.up, l.heard = true, r.now
	r.limits.ConnectionPlan.Established(l.member.Instance)
	for _, d := range r.inOpen(l) {
		r.write(d)
	}
	r.tidy(l)
}

// write sends a dispatch on a link that is up.
func (r *Router) write(d *dispatch) {
	r.arm(d)
	r.do(Send{Connection: d.link.id, Request: d.request, SendDeadline: d.reach})
}

// arm sets a dispatch's timer: to the end of the time in which it may be written, then to its time-out.
func (r *Router) arm(d *dispatch) {
	at := d.until
	if r.now < d.reach {
		at = d.reach
	}
	r.due.Remove(d.ends)
	d.ends = r.due.Push(at, task{dispatch: d})
}

// takeBack ends a dispatch that is not written yet. On a link that is up only the link's writer can tell: Withdrawn follows.
func (r *Router) takeBack(d *dispatch) {
	if d.link.up {
		r.do(WithdrawAttempt{Connection: d.link.id, ID: d.request.ID})
		return
	}
	r.giveUp(d)
	r.ended(d, control.Outcome{Result: control.NotSent})
}

// withdrawn ends a dispatch that waited on a link that is up, and was not written.
func (r *Router) withdrawn(e AttemptWithdrawn) {
	l := r.links[e.Connection]
	if l == nil || l.open[e.ID] == nil {
		return // it was given up meanwhile
	}
	d := l.open[e.ID]
	delete(l.open, e.ID)
	r.doubt(d)
	r.ended(d, control.Outcome{Result: control.NotSent})
	r.tidy(l)
}

// inOpen is what is open on a link, in the order of its sending.
func (r *Router) inOpen(l *link) []*dispatch {
	return slices.SortedFunc(maps.Values(l.open), func(a, b *dispatch) int {
		return cmp.Or(cmp.Compare(a.sent, b.sent), cmp.Compare(a.request.ID, b.request.ID))
	})
}

// down ends what was open on a link that has ended or never came up.
func (r *Router) down(e ConnectionDown) {
	l := r.links[e.Connection]
	switch {
	case l == nil:
		return
	case l.up:
		r.limits.ConnectionPlan.Disconnected(r.now, l.member.Instance)
	case e.Cause == Local:
		r.limits.ConnectionPlan.LocalError(l.member.Instance)
		if r.shortage.DialFailed(r.now) {
			r.log("no connections can be opened, for a reason of this machine's own: " + e.Reason)
		}
	default:
		r.dialPassed()
		r.limits.ConnectionPlan.ConnectFailed(r.now, l.member.Instance)
	}
	r.lose(l, e.Unsent, e.Cause)
}

// dialPassed notes that a dial got as far as its member.
func (r *Router) dialPassed() {
	if r.shortage.DialSucceeded() {
		r.log("connections can be opened again")
	}
}

// lose takes a link out of use. What was not wholly written, or waited for it to come up, did not run.
func (r *Router) lose(l *link, unsent []string, cause Cause) {
	r.unlink(l)
	open := r.inOpen(l)
	clear(l.open)
	shared := cause == Local // nothing is held against the member
	for _, d := range open {
		result := control.ConnectionLost
		switch {
		case !l.up && cause == Local:
			result = control.LocalError
		case !l.up:
			result = control.Unreachable
		case slices.Contains(unsent, d.request.ID):
			result = control.SendInterrupted
		}
		r.ended(d, control.Outcome{Result: result, SharedCause: shared})
		shared = shared || result == control.ConnectionLost
	}
}

func (r *Router) unlink(l *link) {
	l.closed = true
	delete(r.links, l.id)
	l.member.links = slices.DeleteFunc(l.member.links, func(x *link) bool { return x == l })
}

// shut closes a link from this side.
func (r *Router) shut(l *link) {
	if l.closed {
		return
	}
	r.do(Close{Connection: l.id})
	r.lose(l, nil, Remote)
}

// giveUp takes a dispatch off its link. A link that has said nothing since is doubted: one to a machine that
// vanished stays open and silent, also after the machine is back.
func (r *Router) giveUp(d *dispatch) {
	l := d.link
	if l.closed || l.open[d.request.ID] != d {
		return
	}
	delete(l.open, d.request.ID)
	if !l.up {
		return // nothing was sent
	}
	l.past[d.request.ID] = r.now
	if r.mayCancel {
		r.do(CancelAttempt{Connection: l.id, ID: d.request.ID})
	} else {
		r.do(WithdrawAttempt{Connection: l.id, ID: d.request.ID}) // what is not written yet needs no word to the other side
	}
	r.doubt(d)
	r.tidy(l)
}

// doubt doubts a dispatch's link if that has been silent since for as long as a dial may take.
func (r *Router) doubt(d *dispatch) {
	if d.link.heard <= d.sent && r.now-d.sent >= r.dialWithin {
		d.link.doubted = true
	}
}

// tidy closes a doubted link once nothing is open on it.
func (r *Router) tidy(l *link) {
	if l.doubted && len(l.open) == 0 && !l.closed {
		r.shut(l)
	}
}

// sweep closes what has not been used for a while, before the other side does, which could cross with a
// request; and forgets ids to which no answer will come any more.
func (r *Router) sweep() {
	var unused []ConnectionID
	for id, l := range r.links {
		if len(l.past) > 0 {
			maps.DeleteFunc(l.past, func(_ string, at int64) bool { return r.now-at > 2*r.longest })
		}
		if r.isUnused(l) {
			unused = append(unused, id)
		}
	}
	slices.Sort(unused)
	for _, id := range unused {
		if l := r.links[id]; l != nil && r.isUnused(l) { // what was closed before it may have made it one of few
			r.shut(l)
		}
	}
}

// isUnused tells whether a link is to be closed for want of use.
func (r *Router) isUnused(l *link) bool {
	return l.up && len(l.open) == 0 && (r.now-l.used > r.idleAfter/2 ||
		r.limits.ConnectionPlan.ShouldClose(r.now, l.member.Instance, len(l.member.links), l.used))
}

// purged tells the module of a purge; what was planned before it and not yet written is planned anew.
func (r *Router) purged(e PurgeReceived) {
	r.decide.Purge(r.now, e.Object, e.Group, e.PurgedAt)
	r.withdraw(func(d *dispatch) bool {
		return d.hand.Object == e.Object || e.Object == "" && d.hand.Group == e.Group
	})
}

// withdraw takes back dispatches that are not written yet: written later than the grace, they would break the rule on drains
// or on purges.
func (r *Router) withdraw(which func(*dispatch) bool) {
	for _, id := range sortedKeys(r.links) {
		l := r.links[id]
		if l == nil || !anyOpen(l, which) {
			continue
		}
		for _, d := range r.inOpen(l) {
			if which(d) && !d.ended {
				r.takeBack(d)
			}
		}
	}
}

// anyOpen tells whether something holds for a dispatch on a link.
func anyOpen(l *link, which func(*dispatch) bool) bool {
	for _, d := range l.open {
		if which(d) {
			return true
		}
	}
	return false
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

func inOrder(hands map[int32]*hand) []*hand {
	out := make([]*hand, 0, len(hands))
	for _, seq := range sortedKeys(hands) {
		out = append(out, hands[seq])
	}
	return out
}
