package control

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"maps"
	"math"
	"reflect"
	"slices"
	"testing"
)

// This file holds the plain text of ranking, loads and evidence, which goes over all members each time. It is the
// reference for the selection and the kept counts.

// plainRank orders members by rendezvous hashing weighted by size.
func plainRank(key objectKey, members []*endpointState) []*endpointState {
	h := fnv.New64a()
	h.Write(binary.LittleEndian.AppendUint64([]byte(key.object), uint64(key.part)))
	scores := make(map[*endpointState]float64, len(members))
	for _, m := range members {
		x := (h.Sum64() ^ uint64(m.ID)) * 0xff51afd7ed558ccd
		x = (x ^ x>>33) * 0xc4ceb9fe1a85ec53
		scores[m] = -math.Log((float64((x^x>>33)>>11)+0.5)/(1<<53)) / m.hashWeight
	}
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b *endpointState) int {
		return cmp.Or(cmp.Compare(scores[a], scores[b]), cmp.Compare(a.ID, b.ID))
	})
	return ranked
}

// plainInHand is what is out at some caches and may be in time, in all and by kind, and their size.
func plainInHand(r *Router, now int64, members []*endpointState) (out float64, kinds [3]float64, units float64) {
	for _, m := range members {
		if r.capacitiesConfigured() {
			units += m.Capacity
		} else {
			units += r.measuredCapacity(now)
		}
		for _, d := range m.inFlight {
			if now < d.lateAt {
				out, kinds[d.kind] = out+1, kinds[d.kind]+1
			}
		}
	}
	return out, kinds, max(units, 0.01)
}

// plainLoads is what each cache has in hand for its size.
func plainLoads(r *Router, now int64) map[*endpointState]float64 {
	out, _, units := plainInHand(r, now, r.caches)
	loads := map[*endpointState]float64{}
	for _, m := range r.caches {
		own, _, size := plainInHand(r, now, []*endpointState{m})
		loads[m] = (own + out*r.effectiveSharers()/units) / (size/r.effectiveSharers() + 1)
	}
	return loads
}

// plainSigns is the evidence on a member.
func plainSigns(r *Router, now int64, m *endpointState) (silent, good, bad float64) {
	answer, longest := r.largest(func(p *classState) float64 { return p.responseTime }), 0.
	for _, d := range m.inFlight {
		if d.cache == m || d.kind > hits {
			waited := float64(now-max(d.sentAt, m.lastResponseAt)) / 1e9 / answer
			silent, longest = silent+min(maxSilencePerAttempt, waited), max(longest, waited)
		}
	}
	if longest < minSilence {
		silent = 0
	}
	return silent, decay(m.successes, now-m.scoredAt, healthWindow), decay(m.failures, now-m.scoredAt, healthWindow)
}

// plainPeerSigns sums up the evidence on all peers of a member.
func plainPeerSigns(r *Router, now int64, m *endpointState) (silent, good, bad float64) {
	peers := r.caches
	if m.Location != r.location {
		peers = r.parents
	}
	for _, peer := range peers {
		if peer != m {
			s, g, b := plainSigns(r, now, peer)
			silent, good, bad = silent+s, good+g, bad+b
		}
	}
	return silent, good, bad
}

// plainTiers sorts the members by what they may do.
func plainTiers(r *Router) (caches, parents []*endpointState, origin *endpointState) {
	for _, id := range slices.Sorted(maps.Keys(r.endpoints)) {
		m := r.endpoints[id]
		switch {
		case !m.listed || m.Phase != "ready":
		case m.Kind == "origin":
			origin = cmp.Or(origin, m)
		case m.Kind == "parent":
			parents = append(parents, m)
		case m.Location == r.location:
			caches = append(caches, m)
		}
	}
	return caches, parents, origin
}

// plainPlace picks the cache and the fill source from the whole ranking.
func plainPlace(r *Router, now int64, t *Request) (cache, source *endpointState) {
	ranked, spread := plainRank(t.record.key, r.caches), 1
	if t.isUncacheable() {
		spread = len(ranked)
	} else if n := float64(len(ranked)); n > 1 && t.record.requestCount >= minHotRequests {
		hot := r.requestRate(now, t.record.requestCount, t.record.countedAt) * n / (hotShare * r.requestRate(now, r.requestCount, r.requestCountAt))
		spread = max(1, min(1+int(hot), 3, len(ranked)))
	}
	loads := plainLoads(r, now)
	slices.SortStableFunc(ranked[:min(spread, len(ranked))], func(a, b *endpointState) int { return cmp.Compare(loads[a], loads[b]) })
	t.diverted = false
	if cache = plainPick(r, now, t, ranked); cache != nil && t.record.likelyHeldUntil > now && !r.admits(now, t, cache) {
		roomy := slices.DeleteFunc(ranked, func(m *endpointState) bool { return loads[m] >= r.admissionLimits[0]/2 })
		if other := plainPick(r, now, t, roomy); other != nil {
			cache, t.diverted = other, true
		}
	}
	sources := plainRank(t.record.key, r.parents)
	switch {
	case r.origin == nil:
	case t.isUncacheable():
		sources = append([]*endpointState{r.origin}, sources...)
	case t.sourceRefused() && r.originUnlimited():
		sources = []*endpointState{r.origin}
	default:
		sources = append(sources, r.origin)
	}
	return cache, plainPick(r, now, t, sources)
}

// plainPick picks from a whole ranking: it is given as the batch of a selection that has nothing after it.
func plainPick(r *Router, now int64, t *Request, ranked []*endpointState) *endpointState {
	whole := &candidates{tier: &tier{endpointList: endpointList{ranked}}, exhausted: true, lastGiven: true}
	for i := range ranked {
		whole.batch = append(whole.batch, candidate{index: i})
	}
	return r.firstUsable(now, t, whole)
}

// routerState is what a decision on the place changes.
type routerState struct {
	draws   uint32
	members map[uint32]endpointState
}

func stateOf(r *Router) routerState {
	s := routerState{r.draws, map[uint32]endpointState{}}
	for id, m := range r.endpoints {
		s.members[id] = *m
	}
	return s
}

func (s routerState) restore(r *Router) {
	r.draws = s.draws
	for id, m := range s.members {
		*r.endpoints[id] = m
	}
}

// equal compares what a decision on the place may change.
func (s routerState) equal(other routerState) bool {
	return s.draws == other.draws && maps.EqualFunc(s.members, other.members, func(a, b endpointState) bool {
		return a.ejected == b.ejected && a.nextProbeAt == b.nextProbeAt && a.probeBackoff == b.probeBackoff && a.probing == b.probing &&
			reflect.DeepEqual(a.slowStart, b.slowStart)
	})
}

// differences compares what is kept with the plain sums, and gives what differs.
func differences(r *Router, now int64) (found []string) {
	check := func(what string, got, want any) {
		if got != want {
			found = append(found, fmt.Sprintf("%s: %v, plainly %v", what, got, want))
		}
	}
	caches, parents, origin := plainTiers(r)
	check("caches", slices.Equal(r.caches, caches), true)
	check("parents", slices.Equal(r.parents, parents), true)
	check("origin", r.origin, origin)
	out, kinds, units := plainInHand(r, now, caches)
	inTime := r.inFlightWithinObjective(now)
	check("in time", float64(inTime.sum()), out)
	for kind := range kinds {
		check(fmt.Sprint("in time of kind ", kind), float64(inTime[kind]), kinds[kind])
	}
	check("units", r.locationCapacity(now), units)
	for m, load := range plainLoads(r, now) {
		check(fmt.Sprint("load of ", m.ID), r.load(now, m), load)
	}
	some := slices.Sorted(maps.Keys(r.endpoints))
	for i := range min(4, len(some)) {
		m := r.endpoints[some[(int(now)+i)%len(some)]]
		silent, good, bad := r.peerEvidence(now, m)
		plainSilent, plainGood, plainBad := plainPeerSigns(r, now, m)
		check(fmt.Sprint("evidence on the peers of ", m.ID), [3]float64{silent, good, bad}, [3]float64{plainSilent, plainGood, plainBad})
	}
	return found
}

// plainlySuspect tells whether the plain check would find a cache suspect.
func plainlySuspect(r *Router, now int64, m *endpointState) bool {
	silent, good, bad := plainSigns(r, now, m)
	if m.ejected || silent < silenceThreshold && bad < failureThreshold {
		return false
	}
	allSilent, allGood, allBad := plainPeerSigns(r, now, m)
	silent -= allSilent / float64(max(1, len(r.caches)-1))
	return silent >= silenceThreshold || bad >= failureThreshold && bad/(good+bad)-allBad/max(allGood+allBad, 1) >= failureShareThreshold
}

// overlooked gives the members that the plain periodic check would find suspect, or probe, and that it passes over
// by what is kept.
func overlooked(r *Router, now int64) (found []uint32) {
	all := r.cacheEvidence(now)
	for _, m := range r.caches {
		_, watched := r.watched.search(m)
		checked := watched && m.mayBeEjected(now) && r.mayBeOutlier(now, m, all)
		if !watched && m.ejected || !checked && plainlySuspect(r, now, m) {
			found = append(found, m.ID)
		}
	}
	return found
}

// propertyCases is how many drawn cases each property is tested with.
const propertyCases = 10_000

// The place of a retrieval is the one that the plain ranking gives, with the same effects on the members.
func TestPlaceAsByThePlainRanking(t *testing.T) {
	seen := map[string]int{}
	for seed, cases := uint64(0), 0; cases < propertyCases; seed++ {
		p := newDrawnPlay(t, 1000+seed)
		for range 400 {
			p.step()
			if len(p.retrieval) == 0 {
				continue
			}
			ret := p.retrieval[p.rng.IntN(len(p.retrieval))]
			p.router.markLate(p.now) // else the counts restored would be those of before
			before := stateOf(p.router)
			wantCache, wantSource := plainPlace(p.router, p.now, ret)
			wantAway, want := ret.diverted, stateOf(p.router)
			before.restore(p.router)
			cache, source := p.router.selectEndpoints(p.now, ret)
			if same := stateOf(p.router).equal(want); cache != wantCache || source != wantSource || ret.diverted != wantAway || !same {
				t.Fatalf("seed %d, case %d: cache %v, source %v, away %v, plainly %v, %v, %v; the same effects: %v", seed, cases,
					name(cache), name(source), ret.diverted, name(wantCache), name(wantSource), wantAway, same)
			}
			cases++
			if cache != nil && cache != plainRank(ret.record.key, p.router.caches)[0] {
				seen["not the first"]++
			}
			if ret.diverted {
				seen["away"]++
			}
		}
	}
	if seen["not the first"] < 500 || seen["away"] < 20 {
		t.Errorf("the cases show little: %v", seen)
	}
}

func name(m *endpointState) any {
	if m == nil {
		return "none"
	}
	return m.ID
}

// What is kept as it changes equals the sums over all members to the last bit, also where the clock went back.
func TestKeptCountsAsByPlainSums(t *testing.T) {
	for seed, cases := uint64(0), 0; cases < propertyCases; seed++ {
		p := newDrawnPlay(t, 5000+seed)
		for range 400 {
			p.step()
			if p.rng.IntN(50) == 0 {
				p.now += p.rng.Int64N(200 * second) // scores fade, but not yet to nothing
			}
			cases++
			if found := overlooked(p.router, p.now); len(found) > 0 {
				t.Fatalf("seed %d, case %d: %v are overlooked", seed, cases, found)
			}
			at := p.now
			if p.rng.IntN(4) == 0 {
				at -= p.rng.Int64N(second)
			}
			if found := differences(p.router, at); len(found) > 0 {
				t.Fatalf("seed %d, case %d: %v", seed, cases, found)
			}
		}
	}
}

// Candidates come in the order of the plain ranking, to the last one, for all sizes of tiers and drawn weights.
func TestCandidatesAsByThePlainRanking(t *testing.T) {
	p := newDrawnPlay(t, 1)
	for round := range propertyCases / 100 {
		r := newRouter(t, nil)
		var lines []Endpoint
		equal := p.rng.IntN(2) == 0
		for id := range 1 + p.rng.IntN([]int{8, 60, 900}[round%3]) {
			line := Endpoint{ID: uint32(id*7919 + 1), Location: "here", Kind: "cache", Phase: "ready", Capacity: 5}
			if !equal {
				line.Capacity = math.Exp(p.rng.NormFloat64() * 3)
			}
			lines = append(lines, line)
		}
		r.UpdateEndpoints(start, lines, true)
		for _, m := range r.caches {
			for range p.rng.IntN(4) * p.rng.IntN(2) {
				r.attemptStarted(m, &attemptState{sentAt: start, cache: m, kind: p.rng.IntN(3), lateAt: start + p.rng.Int64N(second)})
			}
		}
		now := start + p.rng.Int64N(second)
		for n := range 100 {
			ret := ask("harmless", fmt.Sprint(round, n))
			ret.class, ret.record, ret.Write = r.classByName["harmless"], &objectRecord{key: objectKey{object: ret.Object}}, n%4 == 0
			want := plainRank(ret.record.key, r.caches)
			if ret.Write {
				slices.SortStableFunc(want, func(a, b *endpointState) int { return cmp.Compare(r.load(now, a), r.load(now, b)) })
			}
			got, most := r.cacheCandidates(now, ret), len(want)
			if n%10 > 1 {
				most = min(most, 1+p.rng.IntN(8))
			}
			for i := range most {
				if m := got.next(); m != want[i] {
					t.Fatalf("round %d, write %v, place %d of %d: %v, plainly %v", round, ret.Write, i, len(want), name(m), want[i].ID)
				}
			}
			if most == len(want) && got.next() != nil {
				t.Fatal("more candidates than members")
			}
		}
	}
}
