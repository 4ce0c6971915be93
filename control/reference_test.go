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

// This file has simple reference implementations of ranking, loads and evidence, which scan all endpoints each
// time. The tests compare the selection in batches and the incrementally updated counts with them.

// referenceRank returns the endpoints in the order of rendezvous hashing for an object, weighted by capacity.
func referenceRank(key objectKey, endpoints []*endpointState) []*endpointState {
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

// referenceInFlight returns the number of attempts in flight at caches that may still be in time, in total and by
// kind, and the total capacity of the caches.
func referenceInFlight(
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

// referenceLoads computes the load of each cache from the attempts in flight.
func referenceLoads(router *Router, now int64) map[*endpointState]float64 {
	all, _, total := referenceInFlight(router, now, router.caches)
	loads := map[*endpointState]float64{}
	for _, endpoint := range router.caches {
		own, _, capacity := referenceInFlight(router, now, []*endpointState{endpoint})
		loads[endpoint] = (own + all*router.activeRouters()/total) / (capacity/router.activeRouters() + 1)
	}
	return loads
}

// referenceEvidence returns the evidence on an endpoint from its attempts in flight and its decayed health scores.
func referenceEvidence(router *Router, now int64, endpoint *endpointState) evidence {
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

// referencePeerEvidence computes the sum of the evidence on all peers of an endpoint.
func referencePeerEvidence(router *Router, now int64, endpoint *endpointState) (sum evidence) {
	peers := router.caches
	if endpoint.Location != router.settings.Location {
		peers = router.parents
	}
	for _, peer := range peers {
		if peer != endpoint {
			sum = sum.plus(referenceEvidence(router, now, peer))
		}
	}
	return sum
}

// referenceTiers returns the listed endpoints that are ready, by role. The origin is the one with the lowest ID.
func referenceTiers(router *Router) (caches, parents []*endpointState, origin *endpointState) {
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

// referenceSelection selects the cache and the source from the complete ranking.
func referenceSelection(router *Router, now int64, request *Request) (cache, source *endpointState) {
	ranked, hotCaches := referenceRank(request.record.key, router.caches), 1
	if request.isUncacheable() {
		hotCaches = len(ranked)
	} else if n := float64(len(ranked)); n > 1 && request.record.requestCount >= minHotRequests {
		hot := router.rates.ofObject(now, request.record) * n / (hotShare * router.rates.ofAll(now))
		hotCaches = max(1, min(1+int(hot), 3, len(ranked)))
	}
	loads := referenceLoads(router, now)
	slices.SortStableFunc(ranked[:min(hotCaches, len(ranked))], func(a, b *endpointState) int {
		return cmp.Compare(loads[a], loads[b])
	})
	request.diverted = false
	cache = referencePick(router, now, request, ranked)
	if cache != nil && request.record.likelyCachedUntil > now && !router.admits(now, request, cache) {
		lightlyLoaded := slices.DeleteFunc(ranked, func(endpoint *endpointState) bool {
			return loads[endpoint] >= router.admission.limits[hits]/2
		})
		if other := referencePick(router, now, request, lightlyLoaded); other != nil {
			cache, request.diverted = other, true
		}
	}
	sources := referenceRank(request.record.key, router.parents)
	switch {
	case router.origin == nil:
	case request.isUncacheable():
		sources = append([]*endpointState{router.origin}, sources...)
	case request.sourceRejected() && router.settings.OriginUnlimited:
		sources = []*endpointState{router.origin}
	default:
		sources = append(sources, router.origin)
	}
	return cache, referencePick(router, now, request, sources)
}

// referencePick returns the endpoint that firstUsable selects if it gets the complete ranking as a single batch of
// candidates.
func referencePick(router *Router, now int64, request *Request, ranked []*endpointState) *endpointState {
	complete := &candidates{tier: &tier{endpointList: endpointList{ranked}}, exhausted: true, lastReturned: true}
	for i := range ranked {
		complete.batch = append(complete.batch, candidate{index: i})
	}
	return router.firstUsable(now, request, complete)
}

// routerState is the state of a router that the selection of endpoints may change.
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

// equal reports whether the fields that the selection of endpoints may change have the same values in both states.
func (s routerState) equal(other routerState) bool {
	return s.draws == other.draws && maps.EqualFunc(s.endpoints, other.endpoints, func(a, b endpointState) bool {
		return a.ejected == b.ejected && a.nextProbeAt == b.nextProbeAt && a.probeBackoff == b.probeBackoff &&
			a.probing == b.probing && reflect.DeepEqual(a.slowStart, b.slowStart)
	})
}

// differences compares the incrementally updated state of a router with the reference implementations, and describes
// each difference.
func differences(router *Router, now int64) (found []string) {
	check := func(what string, got, want any) {
		if got != want {
			found = append(found, fmt.Sprintf("%s: %v, want %v", what, got, want))
		}
	}
	caches, parents, origin := referenceTiers(router)
	check("caches are equal", slices.Equal(router.caches, caches), true)
	check("parents are equal", slices.Equal(router.parents, parents), true)
	check("origin", router.origin, origin)
	all, byKind, capacity := referenceInFlight(router, now, caches)
	inTime := router.inFlight.withinObjective(now, router.endpoints)
	check("attempts in time", float64(inTime.sum()), all)
	for kind := range byKind {
		check(fmt.Sprint("attempts in time of kind ", kind), float64(inTime[kind]), byKind[kind])
	}
	check("capacity", router.locationCapacity(now), capacity)
	for endpoint, load := range referenceLoads(router, now) {
		check(fmt.Sprint("load of ", endpoint.ID), router.load(now, endpoint), load)
	}
	ids := slices.Sorted(maps.Keys(router.endpoints))
	for i := range min(4, len(ids)) {
		endpoint := router.endpoints[ids[(int(now)+i)%len(ids)]]
		got, want := router.peerEvidence(now, endpoint), referencePeerEvidence(router, now, endpoint)
		check(fmt.Sprint("evidence on the peers of ", endpoint.ID), got, want)
	}
	return found
}

// isReferenceOutlier reports whether a cache is an outlier according to the reference implementation.
func isReferenceOutlier(router *Router, now int64, endpoint *endpointState) bool {
	own := referenceEvidence(router, now, endpoint)
	if endpoint.ejected || own.silence < silenceThreshold && own.failures < failureThreshold {
		return false
	}
	peers := referencePeerEvidence(router, now, endpoint)
	silence := own.silence - peers.silence/float64(max(1, len(router.caches)-1))
	failed := own.failures/(own.successes+own.failures) - peers.failures/max(peers.successes+peers.failures, 1)
	return silence >= silenceThreshold || own.failures >= failureThreshold && failed >= failureShare
}

// missedByTick returns the IDs of caches that Tick does not check although they are ejected, or are outliers
// according to the reference implementation.
func missedByTick(router *Router, now int64) (found []uint32) {
	all := router.cacheEvidence(now)
	for _, endpoint := range router.caches {
		_, watched := router.outliers.watched.search(endpoint)
		checked := watched && endpoint.mayBeEjected(now) && router.mayBeOutlier(now, endpoint, all)
		if !watched && endpoint.ejected || !checked && isReferenceOutlier(router, now, endpoint) {
			found = append(found, endpoint.ID)
		}
	}
	return found
}

// propertyCases is the number of random cases that each property is tested with.
const propertyCases = 10_000

// Selecting candidates in batches must neither change which endpoints are selected nor how the selection changes the
// state of endpoints, compared with the reference implementation.
func TestSelectionEqualsReference(t *testing.T) {
	seen := map[string]int{}
	for seed, cases := uint64(0), 0; cases < propertyCases; seed++ {
		run := newRandomRun(t, 1000+seed)
		for range 400 {
			run.step()
			if len(run.requests) == 0 {
				continue
			}
			request := run.requests[run.rng.IntN(len(run.requests))]
			// Mark late attempts first, so that the selections below do not change any counts.
			run.router.inFlight.markLate(run.now, run.router.endpoints)
			before := stateOf(run.router)
			wantCache, wantSource := referenceSelection(run.router, run.now, request)
			wantDiverted, want := request.diverted, stateOf(run.router)
			before.restore(run.router)
			cache, source := run.router.selectEndpoints(run.now, request)
			sameEffects := stateOf(run.router).equal(want)
			if cache != wantCache || source != wantSource || request.diverted != wantDiverted || !sameEffects {
				t.Fatalf("seed %d, case %d: cache %v, source %v, diverted %v, want %v, %v, %v; same effects: %v, want true",
					seed, cases, idOf(cache), idOf(source), request.diverted,
					idOf(wantCache), idOf(wantSource), wantDiverted, sameEffects)
			}
			cases++
			if cache != nil && cache != referenceRank(request.record.key, run.router.caches)[0] {
				seen["not the first"]++
			}
			if request.diverted {
				seen["diverted"]++
			}
		}
	}
	if seen["not the first"] < 500 || seen["diverted"] < 20 {
		t.Errorf("occurrences %v, want at least 500 of \"not the first\" and 20 of \"diverted\"", seen)
	}
}

// idOf returns the ID of an endpoint for a message, or "none" for nil.
func idOf(endpoint *endpointState) any {
	if endpoint == nil {
		return "none"
	}
	return endpoint.ID
}

// Counts that are updated with each attempt could drift away from the true sums over all endpoints, for example when
// the clock goes backwards. They must equal the sums to the last bit.
func TestCountsEqualReference(t *testing.T) {
	for seed, cases := uint64(0), 0; cases < propertyCases; seed++ {
		run := newRandomRun(t, 5000+seed)
		for range 400 {
			run.step()
			if run.rng.IntN(50) == 0 {
				run.now += run.rng.Int64N(200 * second) // long enough for health scores to decay, but not to 0
			}
			cases++
			if found := missedByTick(run.router, run.now); len(found) > 0 {
				t.Fatalf("seed %d, case %d: Tick does not check caches %v, which are ejected or outliers", seed, cases, found)
			}
			at := run.now
			if run.rng.IntN(4) == 0 {
				at -= run.rng.Int64N(second)
			}
			if found := differences(run.router, at); len(found) > 0 {
				t.Fatalf("seed %d, case %d: differences %q", seed, cases, found)
			}
		}
	}
}

// Selecting candidates in batches could skip, repeat or misplace an endpoint at the border of two batches. Their order
// must be that of the reference ranking, for tiers of all sizes and with random weights.
func TestCandidatesEqualReference(t *testing.T) {
	run := newRandomRun(t, 1)
	for round := range propertyCases / 100 {
		router := newRouter(t, nil)
		var entries []Endpoint
		equal := run.rng.IntN(2) == 0
		for id := range 1 + run.rng.IntN([]int{8, 60, 900}[round%3]) {
			entry := Endpoint{ID: uint32(id*7919 + 1), Location: "here", Kind: "cache", Phase: "ready", Capacity: 5}
			if !equal {
				entry.Capacity = math.Exp(run.rng.NormFloat64() * 3)
			}
			entries = append(entries, entry)
		}
		router.UpdateEndpoints(start, entries, true)
		for _, endpoint := range router.caches {
			for range run.rng.IntN(4) * run.rng.IntN(2) {
				router.attemptStarted(endpoint, &attemptState{
					sentAt: start,
					cache:  endpoint,
					kind:   attemptKind(run.rng.IntN(attemptKinds)),
					lateAt: start + run.rng.Int64N(second),
				})
			}
		}
		now := start + run.rng.Int64N(second)
		for n := range 100 {
			request := newRequest("harmless", fmt.Sprint(round, n))
			request.class, request.Write = router.classByName["harmless"], n%4 == 0
			request.record = &objectRecord{key: objectKey{object: request.Object}}
			want := referenceRank(request.record.key, router.caches)
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
						round, request.Write, i, len(want), idOf(endpoint), want[i].ID)
				}
			}
			if count == len(want) && got.next() != nil {
				t.Fatalf("round %d, write %v: more candidates than the %d endpoints", round, request.Write, len(want))
			}
		}
	}
}
