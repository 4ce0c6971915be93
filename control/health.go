package control

import "slices"

// fadedPerTick is how many members are looked at with each tick for scores that have faded to nothing.
const fadedPerTick = 16

// signs is the evidence on a member: the silence of what it has in hand, in answer times, and how it fared.
func (r *Router) signs(now int64, m *member) (silent, good, bad float64) {
	return m.signs(now, r.slowestAnswer())
}

// slowestAnswer is the longest mean answer time of a product, in seconds.
func (r *Router) slowestAnswer() float64 { return r.most(func(p *product) float64 { return p.answer }) }

func (m *member) signs(now int64, answer float64) (silent, good, bad float64) {
	good, bad = fade(m.good, now-m.scored, healthSpan), fade(m.bad, now-m.scored, healthSpan)
	if len(m.out) == 0 {
		return 0, good, bad
	}
	longest := 0.
	for _, d := range m.out {
		if d.cache == m || d.kind > hits {
			waited := float64(now-max(d.sent, m.heard)) / 1e9 / answer
			silent, longest = silent+min(silentMost, waited), max(longest, waited)
		}
	}
	if longest < silentLeast {
		silent = 0 // many in hand for a moment are a crowd, not silence: so it went at every start
	}
	return silent, good, bad
}

// peerSigns sums up the evidence on all other caches of the location, or on all other parents. Members with
// nothing in flight and no scores would add nothing: they are left out.
func (r *Router) peerSigns(now int64, m *member) (silent, good, bad float64) {
	peers := cacheRole
	if m.Location != r.home {
		peers = parentRole
	}
	answer := r.slowestAnswer()
	for _, peer := range r.scored.members {
		if peer != m && peer.role == peers {
			s, g, b := peer.signs(now, answer)
			silent, good, bad = silent+s, good+g, bad+b
		}
	}
	return silent, good, bad
}

// unwatch leaves out of the periodic check what it can tell nothing of: members that are trusted, with nothing in
// flight and too few failures.
func (r *Router) unwatch(now int64) {
	r.watched.members = slices.DeleteFunc(r.watched.members, func(m *member) bool {
		return !m.suspect && len(m.out) == 0 && fade(m.bad, now-m.scored, healthSpan) < badFrom
	})
}

// forgetFaded takes some of the members whose scores have faded to nothing off the list of those with scores.
func (r *Router) forgetFaded(now int64) {
	for range min(fadedPerTick, len(r.scored.members)) {
		r.fadedNext %= len(r.scored.members)
		m := r.scored.members[r.fadedNext]
		if len(m.out) > 0 || fade(m.good, now-m.scored, healthSpan) > 0 || fade(m.bad, now-m.scored, healthSpan) > 0 {
			r.fadedNext++
			continue
		}
		if r.scored.remove(m); len(r.scored.members) == 0 {
			return
		}
	}
}
