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

// This file has straightforward implementations of ranking, loads and evidence, which go over all endpoints
// each time. The selection in batches and the counts that are updated with each change are compared with them.

// plainRank orders endpoints by rendezvous hashing weighted by capacity.
func plainRank(key objectKey, endpoints []*endpointState) []*endpointState {
	hash := fnv.New64a()
	hash.Write(binary.LittleEndian.AppendUint64([]byte(key.object), uint64(key.part)))
	scores := make(map[*endpointState]float64, len(endpoints))
	for _, endpoint := range endpoints {
		x := (hash.Sum64() ^ uint64(endpoint.ID)) * 0xff51afd7ed558ccd
		x = (x ^ x>>33) * 0xc4ceb9fe1a85ec53
		scores[endpoint] = -math.Log((float64((x^x>>33)>>11)+0.5)/(1<<53)) / endpoint.hashWeight
	}
	ranked := slices.Clone(endpoints)
	slices.SortFunc(ranked, func(a, b *endpointState) int {
		return cmp.Or(cmp.Compare(scores[a], scores[b]), cmp.Compare(a.ID, b.ID))
	})
	return ranked
}

// plainInFlight returns the attempts in flight at some caches that may be in time, in all and by kind, and the
// caches' capacity.
func plainInFlight(
	router *Router, now int64, caches []*endpointState,
) (all float64, byKind [3]float64, capacity float64) {
	for _, endpoint := range caches {
		if router.settings.Weights == CapacityWeights {
			capacity += endpoint.Capacity
		} else {
			capacity += router.measuredCapacity(now)
		}
		for _, attempt := range endpoint.inFlight {
			if now < attempt.lateAt {
				all++
				byKind[attempt.kind]++
			}
		}
	}
	return all, byKind, max(capacity, 0.01)
}

// plainLoads returns the load of each cache.
func plainLoads(router *Router, now int64) map[*endpointState]float64 {
	all, _, total := plainInFlight(router, now, router.caches)
	loads := map[*endpointState]float64{}
	for _, endpoint := range router.caches {
		own, _, capacity := plainInFlight(router, now, []*endpointState{endpoint})
		loads[endpoint] = (own + all*router.activeSharers()/total) / (capacity/router.activeSharers() + 1)
	}
	return loads
}

// plainEvidence returns the evidence on an endpoint.
func plainEvidence(router *Router, now int64, endpoint *endpointState) evidence {
	responseTime, longest, silence := 0.01, 0., 0.
	for _, class := range router.classes {
		responseTime = max(responseTime, class.responseTime)
	}
	for _, attempt := range endpoint.inFlight {
		if attempt.cache == endpoint || attempt.kind > hits {
			waited := float64(now-max(attempt.sentAt, endpoint.lastResponseAt)) / 1e9 / responseTime
			silence, longest = silence+min(maxSilencePerAttempt, waited), max(longest, waited)
		}
	}
	if longest < minSilence {
		silence = 0
	}
	return evidence{
		silence:   silence,
		successes: decay(endpoint.successes, now-endpoint.scoredAt, healthWindow),
		failures:  decay(endpoint.failures, now-endpoint.scoredAt, healthWindow),
	}
}

// plainPeerEvidence sums up the evidence on all peers of an endpoint.
func plainPeerEvidence(router *Router, now int64, endpoint *endpointState) (sum evidence) {
	peers := router.caches
	if endpoint.Location != router.settings.Location {
		peers = router.parents
	}
	for _, peer := range peers {
		if peer != endpoint {
			sum = sum.plus(plainEvidence(router, now, peer))
		}
	}
	return sum
}

// plainTiers returns the endpoints by their roles.
func plainTiers(router *Router) (caches, parents []*endpointState, origin *endpointState) {
	for _, id := range slices.Sorted(maps.Keys(router.endpoints)) {
		endpoint := router.endpoints[id]
		switch {
		case !endpoint.listed || endpoint.Phase != "ready":
		case endpoint.Kind == "origin":
			origin = cmp.Or(origin, endpoint)
		case endpoint.Kind == "parent":
			parents = append(parents, endpoint)
		case endpoint.Location == router.settings.Location:
			caches = append(caches, endpoint)
		}
	}
	return caches, parents, origin
}

// plainSelection selects the cache and the source from the complete ranking.
func plainSelection(router *Router, now int64, request *Request) (cache, source *endpointState) {
	ranked, hotCaches := plainRank(request.record.key, router.caches), 1
	if request.isUncacheable() {
		hotCaches = len(ranked)
	} else if n := float64(len(ranked)); n > 1 && request.record.requestCount >= minHotRequests {
		hot := router.rates.ofObject(now, request.record) * n / (hotShare * router.rates.ofAll(now))
		hotCaches = max(1, min(1+int(hot), 3, len(ranked)))
	}
	loads := plainLoads(router, now)
	slices.SortStableFunc(ranked[:min(hotCaches, len(ranked))], func(a, b *endpointState) int {
		return cmp.Compare(loads[a], loads[b])
	})
	request.diverted = false
	cache = plainPick(router, now, request, ranked)
	if cache != nil && request.record.likelyCachedUntil > now && !router.admits(now, request, cache) {
		lightlyLoaded := slices.DeleteFunc(ranked, func(endpoint *endpointState) bool {
			return loads[endpoint] >= router.admission.limits[hits]/2
		})
		if other := plainPick(router, now, request, lightlyLoaded); other != nil {
			cache, request.diverted = other, true
		}
	}
	sources := plainRank(request.record.key, router.parents)
	switch {
	case router.origin == nil:
	case request.isUncacheable():
		sources = append([]*endpointState{router.origin}, sources...)
	case request.sourceRejected() && router.settings.OriginUnlimited:
		sources = []*endpointState{router.origin}
	default:
		sources = append(sources, router.origin)
	}
	return cache, plainPick(router, now, request, sources)
}

// plainPick selects from a complete ranking, which it passes as the last batch of candidates.
func plainPick(router *Router, now int64, request *Request, ranked []*endpointState) *endpointState {
	complete := &candidates{tier: &tier{endpointList: endpointList{ranked}}, exhausted: true, lastGiven: true}
	for i := range ranked {
		complete.batch = append(complete.batch, candidate{index: i})
	}
	return router.firstUsable(now, request, complete)
}

// routerState is what the selection of endpoints may change.
type routerState struct {
	draws     uint32
	endpoints map[uint32]endpointState
}

func stateOf(router *Router) routerState {
	state := routerState{router.draws, map[uint32]endpointState{}}
	for id, endpoint := range router.endpoints {
		state.endpoints[id] = *endpoint
	}
	return state
}

func (s routerState) restore(router *Router) {
	router.draws = s.draws
	for id, endpoint := range s.endpoints {
		*router.endpoints[id] = endpoint
	}
}

// equal compares what the selection of endpoints may change.
func (s routerState) equal(other routerState) bool {
	return s.draws == other.draws && maps.EqualFunc(s.endpoints, other.endpoints, func(a, b endpointState) bool {
		return a.ejected == b.ejected && a.nextProbeAt == b.nextProbeAt && a.probeBackoff == b.probeBackoff &&
			a.probing == b.probing && reflect.DeepEqual(a.slowStart, b.slowStart)
	})
}

// differences compares the counts and caches of a router with plain sums, and returns what differs.
func differences(router *Router, now int64) (found []string) {
	check := func(what string, got, want any) {
		if got != want {
			found = append(found, fmt.Sprintf("%s: %v, plainly %v", what, got, want))
		}
	}
	caches, parents, origin := plainTiers(router)
	check("caches", slices.Equal(router.caches, caches), true)
	check("parents", slices.Equal(router.parents, parents), true)
	check("origin", router.origin, origin)
	all, byKind, capacity := plainInFlight(router, now, caches)
	inTime := router.inFlight.withinObjective(now, router.endpoints)
	check("in time", float64(inTime.sum()), all)
	for kind := range byKind {
		check(fmt.Sprint("in time of kind ", kind), float64(inTime[kind]), byKind[kind])
	}
	check("capacity", router.locationCapacity(now), capacity)
	for endpoint, load := range plainLoads(router, now) {
		check(fmt.Sprint("load of ", endpoint.ID), router.load(now, endpoint), load)
	}
	ids := slices.Sorted(maps.Keys(router.endpoints))
	for i := range min(4, len(ids)) {
		endpoint := router.endpoints[ids[(int(now)+i)%len(ids)]]
		got, want := router.peerEvidence(now, endpoint), plainPeerEvidence(router, now, endpoint)
		check(fmt.Sprint("evidence on the peers of ", endpoint.ID), got, want)
	}
	return found
}

// plainlyOutlier reports whether a cache is an outlier by plain sums.
func plainlyOutlier(router *Router, now int64, endpoint *endpointState) bool {
	own := plainEvidence(router, now, endpoint)
	if endpoint.ejected || own.silence < silenceThreshold && own.failures < failureThreshold {
		return false
	}
	peers := plainPeerEvidence(router, now, endpoint)
	silence := own.silence - peers.silence/float64(max(1, len(router.caches)-1))
	failed := own.failures/(own.successes+own.failures) - peers.failures/max(peers.successes+peers.failures, 1)
	return silence >= silenceThreshold || own.failures >= failureThreshold && failed >= failureShare
}

// overlooked returns the caches that are outliers by plain sums, or are to be probed, and that Tick would
// nevertheless not check.
func overlooked(router *Router, now int64) (found []uint32) {
	all := router.cacheEvidence(now)
	for _, endpoint := range router.caches {
		_, watched := router.outliers.watched.search(endpoint)
		checked := watched && endpoint.mayBeEjected(now) && router.mayBeOutlier(now, endpoint, all)
		if !watched && endpoint.ejected || !checked && plainlyOutlier(router, now, endpoint) {
			found = append(found, endpoint.ID)
		}
	}
	return found
}

// propertyCases is how many drawn cases each property is tested with.
const propertyCases = 10_000

// The selected endpoints are those by the plain ranking, with the same effects on the state of all endpoints.
func TestSelectionEqualsPlainRanking(t *testing.T) {
	seen := map[string]int{}
	for seed, cases := uint64(0), 0; cases < propertyCases; seed++ {
		run := newDrawnRun(t, 1000+seed)
		for range 400 {
			run.step()
			if len(run.requests) == 0 {
				continue
			}
			request := run.requests[run.rng.IntN(len(run.requests))]
			// Late attempts are marked now, so that the selections below change no count.
			run.router.inFlight.markLate(run.now, run.router.endpoints)
			before := stateOf(run.router)
			wantCache, wantSource := plainSelection(run.router, run.now, request)
			wantDiverted, want := request.diverted, stateOf(run.router)
			before.restore(run.router)
			cache, source := run.router.selectEndpoints(run.now, request)
			sameEffects := stateOf(run.router).equal(want)
			if cache != wantCache || source != wantSource || request.diverted != wantDiverted || !sameEffects {
				t.Fatalf("seed %d, case %d: cache %v, source %v, diverted %v, want %v, %v, %v; the same effects: %v",
					seed, cases, name(cache), name(source), request.diverted,
					name(wantCache), name(wantSource), wantDiverted, sameEffects)
			}
			cases++
			if cache != nil && cache != plainRank(request.record.key, run.router.caches)[0] {
				seen["not the first"]++
			}
			if request.diverted {
				seen["diverted"]++
			}
		}
	}
	if seen["not the first"] < 500 || seen["diverted"] < 20 {
		t.Errorf("the cases cover too little: %v", seen)
	}
}

func name(endpoint *endpointState) any {
	if endpoint == nil {
		return "none"
	}
	return endpoint.ID
}

// Counts that are updated with each change equal the sums over all endpoints to the last bit, also after the
// clock went back.
func TestCountsEqualPlainSums(t *testing.T) {
	for seed, cases := uint64(0), 0; cases < propertyCases; seed++ {
		run := newDrawnRun(t, 5000+seed)
		for range 400 {
			run.step()
			if run.rng.IntN(50) == 0 {
				run.now += run.rng.Int64N(200 * second) // scores decay, but not to 0
			}
			cases++
			if found := overlooked(run.router, run.now); len(found) > 0 {
				t.Fatalf("seed %d, case %d: %v are overlooked", seed, cases, found)
			}
			at := run.now
			if run.rng.IntN(4) == 0 {
				at -= run.rng.Int64N(second)
			}
			if found := differences(run.router, at); len(found) > 0 {
				t.Fatalf("seed %d, case %d: %v", seed, cases, found)
			}
		}
	}
}

// Candidates come in the order of the plain ranking, down to the last one, for tiers of all sizes and drawn
// weights.
func TestCandidatesEqualPlainRanking(t *testing.T) {
	run := newDrawnRun(t, 1)
	for round := range propertyCases / 100 {
		router := newRouter(t, nil)
		var lines []Endpoint
		equal := run.rng.IntN(2) == 0
		for id := range 1 + run.rng.IntN([]int{8, 60, 900}[round%3]) {
			line := Endpoint{ID: uint32(id*7919 + 1), Location: "here", Kind: "cache", Phase: "ready", Capacity: 5}
			if !equal {
				line.Capacity = math.Exp(run.rng.NormFloat64() * 3)
			}
			lines = append(lines, line)
		}
		router.UpdateEndpoints(start, lines, true)
		for _, endpoint := range router.caches {
			for range run.rng.IntN(4) * run.rng.IntN(2) {
				router.attemptStarted(endpoint, &attemptState{
					sentAt: start,
					cache:  endpoint,
					kind:   attemptKind(run.rng.IntN(kinds)),
					lateAt: start + run.rng.Int64N(second),
				})
			}
		}
		now := start + run.rng.Int64N(second)
		for n := range 100 {
			request := newRequest("harmless", fmt.Sprint(round, n))
			request.class, request.Write = router.classByName["harmless"], n%4 == 0
			request.record = &objectRecord{key: objectKey{object: request.Object}}
			want := plainRank(request.record.key, router.caches)
			if request.Write {
				slices.SortStableFunc(want, func(a, b *endpointState) int {
					return cmp.Compare(router.load(now, a), router.load(now, b))
				})
			}
			got, count := router.cacheCandidates(now, request), len(want)
			if n%10 > 1 {
				count = min(count, 1+run.rng.IntN(8))
			}
			for i := range count {
				if endpoint := got.next(); endpoint != want[i] {
					t.Fatalf("round %d, write %v, candidate %d of %d: %v, want %v",
						round, request.Write, i, len(want), name(endpoint), want[i].ID)
				}
			}
			if count == len(want) && got.next() != nil {
				t.Fatal("more candidates than endpoints")
			}
		}
	}
}
