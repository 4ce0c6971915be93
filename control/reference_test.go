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

// This file holds the plain text of ranking, loads and evidence, which goes over all members each time. It is
// the reference for the selection and the kept counts.

// plainRank orders members by rendezvous hashing weighted by size.
func plainRank(key objectKey, members []*endpointState) []*endpointState {
	h := fnv.New64a()
	h.Write(binary.LittleEndian.AppendUint64([]byte(key.object), uint64(key.part)))
	scores := make(map[*endpointState]float64, len(members))
	for _, endpoint := range members {
		x := (h.Sum64() ^ uint64(endpoint.ID)) * 0xff51afd7ed558ccd
		x = (x ^ x>>33) * 0xc4ceb9fe1a85ec53
		scores[endpoint] = -math.Log((float64((x^x>>33)>>11)+0.5)/(1<<53)) / endpoint.hashWeight
	}
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b *endpointState) int {
		return cmp.Or(cmp.Compare(scores[a], scores[b]), cmp.Compare(a.ID, b.ID))
	})
	return ranked
}

// plainInHand is what is out at some caches and may be in time, in all and by kind, and their size.
func plainInFlight(r *Router, now int64, members []*endpointState) (out float64, kinds [3]float64, units float64) {
	for _, endpoint := range members {
		if r.settings.capacitiesTold {
			units += endpoint.Capacity
		} else {
			units += r.measuredCapacity(now)
		}
		for _, attempt := range endpoint.inFlight {
			if now < attempt.lateAt {
				out, kinds[attempt.kind] = out+1, kinds[attempt.kind]+1
			}
		}
	}
	return out, kinds, max(units, 0.01)
}

// plainLoads is what each cache has in hand for its size.
func plainLoads(r *Router, now int64) map[*endpointState]float64 {
	out, _, units := plainInFlight(r, now, r.caches)
	loads := map[*endpointState]float64{}
	for _, endpoint := range r.caches {
		own, _, size := plainInFlight(r, now, []*endpointState{endpoint})
		loads[endpoint] = (own + out*r.activeSharers()/units) / (size/r.activeSharers() + 1)
	}
	return loads
}

// plainSigns is the evidence on a member.
func plainEvidence(r *Router, now int64, endpoint *endpointState) (silent, good, bad float64) {
	answer, longest := 0.01, 0.
	for _, class := range r.classes {
		answer = max(answer, class.responseTime)
	}
	for _, attempt := range endpoint.inFlight {
		if attempt.cache == endpoint || attempt.kind > hits {
			waited := float64(now-max(attempt.sentAt, endpoint.lastResponseAt)) / 1e9 / answer
			silent, longest = silent+min(maxSilencePerAttempt, waited), max(longest, waited)
		}
	}
	if longest < minSilence {
		silent = 0
	}
	return silent, decay(endpoint.successes, now-endpoint.scoredAt, healthWindow), decay(endpoint.failures, now-endpoint.scoredAt, healthWindow)
}

// plainPeerSigns sums up the evidence on all peers of a member.
func plainPeerEvidence(r *Router, now int64, endpoint *endpointState) (silent, good, bad float64) {
	peers := r.caches
	if endpoint.Location != r.settings.location {
		peers = r.parents
	}
	for _, peer := range peers {
		if peer != endpoint {
			s, g, b := plainEvidence(r, now, peer)
			silent, good, bad = silent+s, good+g, bad+b
		}
	}
	return silent, good, bad
}

// plainTiers sorts the members by what they may do.
func plainTiers(r *Router) (caches, parents []*endpointState, origin *endpointState) {
	for _, id := range slices.Sorted(maps.Keys(r.endpoints)) {
		endpoint := r.endpoints[id]
		switch {
		case !endpoint.listed || endpoint.Phase != "ready":
		case endpoint.Kind == "origin":
			origin = cmp.Or(origin, endpoint)
		case endpoint.Kind == "parent":
			parents = append(parents, endpoint)
		case endpoint.Location == r.settings.location:
			caches = append(caches, endpoint)
		}
	}
	return caches, parents, origin
}

// plainPlace picks the cache and the fill source from the whole ranking.
func plainSelection(r *Router, now int64, request *Request) (cache, source *endpointState) {
	ranked, spread := plainRank(request.record.key, r.caches), 1
	if request.isUncacheable() {
		spread = len(ranked)
	} else if n := float64(len(ranked)); n > 1 && request.record.requestCount >= minHotRequests {
		hot := r.rates.ofObject(now, request.record) * n / (hotShare * r.rates.ofAll(now))
		spread = max(1, min(1+int(hot), 3, len(ranked)))
	}
	loads := plainLoads(r, now)
	slices.SortStableFunc(ranked[:min(spread, len(ranked))], func(a, b *endpointState) int { return cmp.Compare(loads[a], loads[b]) })
	request.diverted = false
	if cache = plainPick(r, now, request, ranked); cache != nil && request.record.likelyCachedUntil > now && !r.admits(now, request, cache) {
		roomy := slices.DeleteFunc(ranked, func(endpoint *endpointState) bool { return loads[endpoint] >= r.admission.limits[0]/2 })
		if other := plainPick(r, now, request, roomy); other != nil {
			cache, request.diverted = other, true
		}
	}
	sources := plainRank(request.record.key, r.parents)
	switch {
	case r.origin == nil:
	case request.isUncacheable():
		sources = append([]*endpointState{r.origin}, sources...)
	case request.sourceRejected() && r.settings.originUnlimited:
		sources = []*endpointState{r.origin}
	default:
		sources = append(sources, r.origin)
	}
	return cache, plainPick(r, now, request, sources)
}

// plainPick picks from a whole ranking: it is given as the batch of a selection that has nothing after it.
func plainPick(r *Router, now int64, request *Request, ranked []*endpointState) *endpointState {
	whole := &candidates{tier: &tier{endpointList: endpointList{ranked}}, exhausted: true, lastGiven: true}
	for i := range ranked {
		whole.batch = append(whole.batch, candidate{index: i})
	}
	return r.firstUsable(now, request, whole)
}

// routerState is what a decision on the place changes.
type routerState struct {
	draws   uint32
	members map[uint32]endpointState
}

func stateOf(r *Router) routerState {
	s := routerState{r.draws, map[uint32]endpointState{}}
	for id, endpoint := range r.endpoints {
		s.members[id] = *endpoint
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
	out, kinds, units := plainInFlight(r, now, caches)
	inTime := r.inFlight.withinObjective(now, r.endpoints)
	check("in time", float64(inTime.sum()), out)
	for kind := range kinds {
		check(fmt.Sprint("in time of kind ", kind), float64(inTime[kind]), kinds[kind])
	}
	check("units", r.locationCapacity(now), units)
	for endpoint, load := range plainLoads(r, now) {
		check(fmt.Sprint("load of ", endpoint.ID), r.load(now, endpoint), load)
	}
	some := slices.Sorted(maps.Keys(r.endpoints))
	for i := range min(4, len(some)) {
		endpoint := r.endpoints[some[(int(now)+i)%len(some)]]
		kept := r.peerEvidence(now, endpoint)
		plainSilent, plainGood, plainBad := plainPeerEvidence(r, now, endpoint)
		check(fmt.Sprint("evidence on the peers of ", endpoint.ID), [3]float64{kept.silence, kept.successes, kept.failures}, [3]float64{plainSilent, plainGood, plainBad})
	}
	return found
}

// plainlySuspect tells whether the plain check would find a cache suspect.
func plainlyOutlier(r *Router, now int64, endpoint *endpointState) bool {
	silent, good, bad := plainEvidence(r, now, endpoint)
	if endpoint.ejected || silent < silenceThreshold && bad < failureThreshold {
		return false
	}
	allSilent, allGood, allBad := plainPeerEvidence(r, now, endpoint)
	silent -= allSilent / float64(max(1, len(r.caches)-1))
	return silent >= silenceThreshold || bad >= failureThreshold && bad/(good+bad)-allBad/max(allGood+allBad, 1) >= failureShare
}

// overlooked gives the members that the plain periodic check would find suspect, or probe, and that it passes
// over by what is kept.
func overlooked(r *Router, now int64) (found []uint32) {
	all := r.cacheEvidence(now)
	for _, endpoint := range r.caches {
		_, watched := r.outliers.watched.search(endpoint)
		checked := watched && endpoint.mayBeEjected(now) && r.mayBeOutlier(now, endpoint, all)
		if !watched && endpoint.ejected || !checked && plainlyOutlier(r, now, endpoint) {
			found = append(found, endpoint.ID)
		}
	}
	return found
}

// propertyCases is how many drawn cases each property is tested with.
const propertyCases = 10_000

// The place of a retrieval is the one that the plain ranking gives, with the same effects on the members.
func TestSelectionAsByThePlainRanking(t *testing.T) {
	seen := map[string]int{}
	for seed, cases := uint64(0), 0; cases < propertyCases; seed++ {
		p := newDrawnRun(t, 1000+seed)
		for range 400 {
			p.step()
			if len(p.requests) == 0 {
				continue
			}
			request := p.requests[p.rng.IntN(len(p.requests))]
			p.router.inFlight.markLate(p.now, p.router.endpoints) // else the counts restored would be those of before
			before := stateOf(p.router)
			wantCache, wantSource := plainSelection(p.router, p.now, request)
			wantAway, want := request.diverted, stateOf(p.router)
			before.restore(p.router)
			cache, source := p.router.selectEndpoints(p.now, request)
			if same := stateOf(p.router).equal(want); cache != wantCache || source != wantSource || request.diverted != wantAway || !same {
				t.Fatalf("seed %d, case %d: cache %v, source %v, away %v, plainly %v, %v, %v; the same effects: %v", seed, cases,
					name(cache), name(source), request.diverted, name(wantCache), name(wantSource), wantAway, same)
			}
			cases++
			if cache != nil && cache != plainRank(request.record.key, p.router.caches)[0] {
				seen["not the first"]++
			}
			if request.diverted {
				seen["away"]++
			}
		}
	}
	if seen["not the first"] < 500 || seen["away"] < 20 {
		t.Errorf("the cases show little: %v", seen)
	}
}

func name(endpoint *endpointState) any {
	if endpoint == nil {
		return "none"
	}
	return endpoint.ID
}

// What is kept as it changes equals the sums over all members to the last bit, also where the clock went back.
func TestKeptCountsAsByPlainSums(t *testing.T) {
	for seed, cases := uint64(0), 0; cases < propertyCases; seed++ {
		p := newDrawnRun(t, 5000+seed)
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
	p := newDrawnRun(t, 1)
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
		for _, endpoint := range r.caches {
			for range p.rng.IntN(4) * p.rng.IntN(2) {
				r.attemptStarted(endpoint, &attemptState{sentAt: start, cache: endpoint, kind: attemptKind(p.rng.IntN(3)), lateAt: start + p.rng.Int64N(second)})
			}
		}
		now := start + p.rng.Int64N(second)
		for n := range 100 {
			request := ask("harmless", fmt.Sprint(round, n))
			request.class, request.record, request.Write = r.classByName["harmless"], &objectRecord{key: objectKey{object: request.Object}}, n%4 == 0
			want := plainRank(request.record.key, r.caches)
			if request.Write {
				slices.SortStableFunc(want, func(a, b *endpointState) int { return cmp.Compare(r.load(now, a), r.load(now, b)) })
			}
			got, most := r.cacheCandidates(now, request), len(want)
			if n%10 > 1 {
				most = min(most, 1+p.rng.IntN(8))
			}
			for i := range most {
				if endpoint := got.next(); endpoint != want[i] {
					t.Fatalf("round %d, write %v, place %d of %d: %v, plainly %v", round, request.Write, i, len(want), name(endpoint), want[i].ID)
				}
			}
			if most == len(want) && got.next() != nil {
				t.Fatal("more candidates than members")
			}
		}
	}
}
