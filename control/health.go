package control

import "slices"

const (
	// fadedPerTick is how many members are looked at with each tick for scores that have faded to nothing.
	fadedPerTick = 16

	// evidenceMargin is more than what the order of a sum's terms can change in what a member is judged by.
	evidenceMargin = 1e-6
)

// evidence is a sum of signs: of silence, of answers in time and of failures.
type evidence struct{ silent, good, bad float64 }

// cacheEvidence sums up the evidence on all caches of the location, if there is a member that it may concern.
func (r *Router) cacheEvidence(now int64) (all evidence) {
	concerned := func(m *member) bool { return m.role == cacheRole && !m.suspect && m.mayBeSuspect(now) }
	if slices.ContainsFunc(r.watched.members, concerned) {
		all.silent, all.good, all.bad = r.peerSigns(now, nil)
	}
	return all
}

// mayStandOut tells whether a cache may stand out from its peers, by the evidence on all caches. Where all look
// alike, as in a jam, that spares the periodic check to sum up each one's peers.
func (r *Router) mayStandOut(now int64, m *member, all evidence) bool {
	silent, good, bad := r.signs(now, m)
	peersGood, peersBad := all.good-good, all.bad-bad
	silentApart := silent - (all.silent-silent)/float64(max(1, len(r.caches)-1))
	badApart := bad/(good+bad) - peersBad/max(peersGood+peersBad, 1)
	return silentApart >= silentFrom-evidenceMargin || bad >= badFrom && badApart >= badShare-evidenceMargin
}

// signs is the evidence on a member: the silence of what it has in hand, in answer times, and how it fared.
func (r *Router) signs(now int64, m *member) (silent, good, bad float64) {
	return m.signs(now, r.slowestAnswer())
}

// slowestAnswer is the longest mean answer time of a product, in seconds.
func (r *Router) slowestAnswer() float64 { return r.most(func(p *product) float64 { return p.answer }) }

// signs is the evidence on a member, given the longest mean answer time.
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

// mayBeSuspect tells, at little cost, whether the evidence on a member could be enough for a suspicion: by the
// number of dispatches that may be silent, and by failures as if none had faded.
func (m *member) mayBeSuspect(now int64) bool {
	return float64(len(m.out))*silentMost >= silentFrom || m.bad >= badFrom || now < m.scored
}

// peerSigns sums up the evidence on all other caches of the location, or on all other parents; without a member on
// all caches. Members with nothing in flight and no scores would add nothing: they are left out.
func (r *Router) peerSigns(now int64, m *member) (silent, good, bad float64) {
	peers, peerRole := r.caches, cacheRole
	if m != nil && m.Location != r.home {
		peers, peerRole = r.parents, parentRole
	}
	if len(r.scored.members) < len(peers) {
		peers = r.scored.members
	}
	answer := r.slowestAnswer()
	for _, peer := range peers {
		if peer != m && peer.role == peerRole {
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
		return !m.suspect && len(m.out) == 0 && (m.bad < badFrom || fade(m.bad, now-m.scored, healthSpan) < badFrom)
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
