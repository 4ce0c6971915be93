package router

import (
	"cmp"
	"hash/fnv"
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
	Listing
	links []*link
}

// link is one connection to a member.
type link struct {
	id      LinkID
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
func (r *Router) dispatch(h *hand, plan control.Dispatch) {
	d := &dispatch{hand: h, number: len(h.dispatches), cache: r.byID[plan.Cache], sent: r.now}
	h.dispatches = append(h.dispatches, d)
	within := plan.Within
	if within <= 0 || within > h.HardStop-r.now {
		within = h.HardStop - r.now
	}
	d.request = Request{ID: h.fields["txn"], Product: h.fields["verb"], Object: h.fields["item"],
		Part: h.fields["nth"], Body: h.body, Budget: within, Dispatch: plan}
	if tag := h.fields["got"]; isHex(tag) {
		d.request.Mine = tag
	}
	d.request.Key = h.fields["unique"]
	if !plan.Plain {
		if d.source = r.byID[plan.Source]; d.source != nil {
			d.request.Source = d.source.Instance
		}
	}
	if d.cache != nil {
		d.link = r.pick(d.cache, d.request.ID)
	}
	if d.link == nil {
		d.link = &link{}
		r.ended(d, control.Outcome{Result: control.Unsent})
		return
	}
	d.link.open[d.request.ID] = d
	d.link.used = r.now
	d.until = r.now + within
	d.reach = min(d.until, r.now+plan.Reach)
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
		case l.doubted || past || l.open[id] != nil || !r.limits.Plan.Takes(r.now, m.Instance):
		case r.quiet(l):
			quiet = l
		case best == nil || l.up && !best.up || l.up == best.up && len(l.open) < len(best.open):
			best = l
		}
	}
	switch spent := len(m.links)-full >= linksMost || len(r.links) >= r.limits.Links; {
	case best != nil && (spent || len(best.open) < shareFrom):
		return best
	case spent:
		return quiet
	case !r.limits.Plan.May(r.now, m.Instance, len(m.links)):
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
	r.limits.Plan.Opened(r.now, m.Instance)
	r.do(Dial{Link: l.id, Address: l.address, Within: r.dialWithin})
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
	if len(r.links) < r.limits.Links && r.limits.Plan.May(r.now, m.Instance, len(m.links)) {
		return true
	}
	return r.limits.Plan.Takes(r.now, m.Instance) && slices.ContainsFunc(m.links, func(l *link) bool { return !l.doubted })
}

// isCache tells whether a member is a cache of this router's location.
func (r *Router) isCache(m *member) bool {
	return m.Location == r.location && !slices.Contains(r.notCaches, m.Kind)
}

// meet dials caches ahead of what is to be sent there, as the plan says.
func (r *Router) meet() {
	for _, name := range r.limits.Plan.Ahead(r.now) {
		if m := r.members[name]; m != nil && len(m.links) == 0 && len(r.links) < r.limits.Links {
			r.dial(m)
		}
	}
}

// planLinks tells the plan of links which caches there are.
func (r *Router) planLinks() {
	if r.limits.Plan == nil {
		return
	}
	var names []string // in any order: the plan has one of its own
	for name, m := range r.members {
		if m.Phase == "ready" && r.isCache(m) {
			names = append(names, name)
		}
	}
	r.limits.Plan.Members(r.now, names)
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
func (r *Router) up(e Up) {
	l := r.links[e.Link]
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
	l.up, l.heard = true, r.now
	r.limits.Plan.Stood(l.member.Instance)
	for _, d := range r.inOpen(l) {
		d.request.Budget = d.until - r.now
		r.write(d)
	}
	r.tidy(l)
}

// write sends a dispatch on a link that is up; from now on it has until its time-out.
func (r *Router) write(d *dispatch) {
	r.due.Remove(d.ends)
	d.ends = r.due.Push(d.until, task{dispatch: d})
	r.do(Send{Link: d.link.id, Request: d.request})
}

// inOpen is what is open on a link, in the order of its sending.
func (r *Router) inOpen(l *link) []*dispatch {
	return slices.SortedFunc(maps.Values(l.open), func(a, b *dispatch) int {
		return cmp.Or(cmp.Compare(a.sent, b.sent), cmp.Compare(a.request.ID, b.request.ID))
	})
}

// down ends what was open on a link that has ended or never came up.
func (r *Router) down(e Down) {
	if l := r.links[e.Link]; l != nil {
		r.limits.Plan.Ended(r.now, l.member.Instance, l.up)
		r.lose(l, e.Unsent)
	}
}

// lose takes a link out of use. What was not wholly written, or waited for it to come up, did not run.
func (r *Router) lose(l *link, unsent []string) {
	r.unlink(l)
	open := r.inOpen(l)
	clear(l.open)
	shared := false
	for _, d := range open {
		result := control.Broken
		switch {
		case !l.up:
			result = control.Unreached
		case slices.Contains(unsent, d.request.ID):
			result = control.Cut
		}
		r.ended(d, control.Outcome{Result: result, Shared: shared})
		shared = shared || result == control.Broken
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
	r.do(Close{Link: l.id})
	r.lose(l, nil)
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
		r.do(GiveUp{Link: l.id, ID: d.request.ID})
	}
	if l.heard <= d.sent && r.now-d.sent >= r.dialWithin {
		l.doubted = true
	}
	r.tidy(l)
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
	for _, id := range sortedKeys(r.links) {
		l := r.links[id]
		maps.DeleteFunc(l.past, func(_ string, at int64) bool { return r.now-at > 2*r.longest })
		if l.up && len(l.open) == 0 && (r.now-l.used > r.idleAfter/2 ||
			r.limits.Plan.Closes(r.now, l.member.Instance, len(l.member.links), l.used)) {
			r.shut(l)
		}
	}
}

// listed takes the list of members, or changes to it, and hands the whole list on.
func (r *Router) listed(e Listed) {
	if e.Whole {
		named := map[string]bool{}
		for _, line := range e.Lines {
			named[line.Instance] = true
		}
		for _, m := range r.members {
			if !named[m.Instance] {
				m.Phase = "gone"
			}
		}
	}
	var old []*link // to what runs anew, or elsewhere: they lead nowhere
	for _, line := range e.Lines {
		m := r.members[line.Instance]
		if m == nil {
			m = &member{}
			r.members[line.Instance] = m
		}
		r.overtake(line)
		again := m.Instance != "" && (line.Started > m.Started || line.Address != m.Address)
		m.Listing = line
		if again {
			for _, l := range m.links {
				l.doubted = true
				old = append(old, l)
			}
		}
	}
	r.number()
	lines := make([]control.Listing, 0, len(r.members))
	for _, name := range sortedKeys(r.members) {
		lines = append(lines, r.members[name].Listing.Listing)
	}
	r.decide.Listed(r.now, lines, true)
	r.planLinks()
	r.withdraw(func(d *dispatch) bool {
		return d.cache.Phase != "ready" || d.source != nil && d.source.Phase != "ready"
	})
	for _, l := range old {
		r.shut(l)
	}
	for _, name := range sortedKeys(r.members) {
		if m := r.members[name]; m.Phase == "gone" {
			for _, l := range slices.Clone(m.links) {
				l.doubted = true
				r.tidy(l)
			}
			if len(m.links) == 0 {
				delete(r.members, name)
			}
		}
	}
}

// overtake takes those out whose address a later one has: what is sent to them would reach it instead, cold
// as it may be, beside what is meant for it.
func (r *Router) overtake(line Listing) {
	for _, m := range r.members {
		if m.Instance != line.Instance && m.Address == line.Address && line.Address != "" &&
			m.Started <= line.Started && line.Phase == "ready" {
			m.Phase = "gone"
		}
	}
}

// number gives every member the module's id for it. It comes from the instance's name alone, so that hashes
// over ids agree at every router; of two names with the same one, the later in order takes the next free.
func (r *Router) number() {
	clear(r.byID)
	for _, name := range sortedKeys(r.members) {
		h := fnv.New32a()
		h.Write([]byte(name))
		id := h.Sum32()
		for r.byID[id] != nil {
			id++
		}
		r.members[name].ID, r.byID[id] = id, r.members[name]
	}
}

// purged tells the module of a purge; what was planned before it and not yet written is planned anew.
func (r *Router) purged(e Purged) {
	r.decide.Purged(r.now, e.Object, e.Group, e.When)
	r.withdraw(func(d *dispatch) bool {
		return d.hand.Object == e.Object || e.Object == "" && d.hand.Group == e.Group
	})
}

// withdraw ends dispatches that still wait for their link: written later than the grace, they would break the
// rule on drains or on purges.
func (r *Router) withdraw(which func(*dispatch) bool) {
	for _, id := range sortedKeys(r.links) {
		l := r.links[id]
		if l == nil || l.up {
			continue
		}
		for _, d := range r.inOpen(l) {
			if which(d) && !d.ended {
				r.giveUp(d)
				r.ended(d, control.Outcome{Result: control.Unsent})
			}
		}
	}
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

func inOrder(hands map[int32]*hand) []*hand {
	out := make([]*hand, 0, len(hands))
	for _, seq := range sortedKeys(hands) {
		out = append(out, hands[seq])
	}
	return out
}
