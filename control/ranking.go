package control

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"math"
	"slices"
)

const (
	// firstBatch is the number of candidates in the first batch. It is small because in most cases the first
	// candidate is used. Each further batch is batchGrowth times as large as the previous batch.
	firstBatch  = 4
	batchGrowth = 8

	// maxBatch is the number of candidates in the largest batch that is selected by a scan over the tier. For a
	// larger batch it is faster to sort all remaining candidates.
	maxBatch = 256

	// An object is hot if its request rate at this router is above hotShare times the mean rate of all requests per
	// cache, and its request count is at least minHotRequests. Without this minimum all objects would look hot to a
	// router that has just started.
	hotShare       = 0.1
	minHotRequests = 3.

	// maxHotCaches is the maximum number of caches that serve a hot object. It must be less than firstBatch.
	maxHotCaches = 3

	// roundingMargin is the factor by which a lower bound of a score must exceed another score, so that rounding
	// errors cannot change the order.
	roundingMargin = 1 + 1e-12
)

// tier is a list of endpoints of one role. The values that are read by scans over all endpoints are also in a compact
// array.
type tier struct {
	endpointList
	keys []rankKey // keys[i] is the key of endpoints[i]
}

// rankKey holds the properties of an endpoint that its score for an object depends on.
type rankKey struct {
	id     uint64
	weight float64
}

// put inserts an endpoint, or updates its weight if it is in the tier already.
func (t *tier) put(endpoint *endpointState) {
	index, found := t.search(endpoint)
	if !found {
		t.endpoints = slices.Insert(t.endpoints, index, endpoint)
		t.keys = slices.Insert(t.keys, index, rankKey{})
	}
	t.keys[index] = rankKey{uint64(endpoint.ID), endpoint.hashWeight}
}

// remove removes an endpoint if it is in the tier.
func (t *tier) remove(endpoint *endpointState) {
	if index, found := t.search(endpoint); found {
		t.endpoints = slices.Delete(t.endpoints, index, index+1)
		t.keys = slices.Delete(t.keys, index, index+1)
	}
}

// clear removes all endpoints from the tier, and keeps its memory for the next ones.
func (t *tier) clear() {
	clear(t.endpoints)
	t.endpoints, t.keys = t.endpoints[:0], t.keys[:0]
}

// objectHash returns the hash of an object, which determines the scores of endpoints for that object.
func (r *Router) objectHash(key objectKey) uint64 {
	r.keyBytes = binary.LittleEndian.AppendUint64(append(r.keyBytes[:0], key.object...), uint64(key.part))
	hash := fnv.New64a()
	hash.Write(r.keyBytes)
	return hash.Sum64()
}

// uniform maps an object's hash and an endpoint's ID to a number that is uniformly distributed over (0, 1].
func uniform(hash, id uint64) float64 {
	x := (hash ^ id) * 0xff51afd7ed558ccd
	x = (x ^ x>>33) * 0xc4ceb9fe1a85ec53
	return (float64((x^x>>33)>>11) + 0.5) / (1 << 53)
}

// score returns an endpoint's score in weighted rendezvous hashing. draw is the result of uniform for the object and
// the endpoint. The endpoint with the lowest score comes first.
func score(draw, weight float64) float64 { return -math.Log(draw) / weight }

// candidate is an endpoint of a tier with its sort keys: its load, then its score, then its ID.
type candidate struct {
	load  float64 // 0 unless candidates are ordered by load
	score float64
	index int // index in the tier
}

func (c candidate) compare(other candidate) int {
	if order := cmp.Compare(c.load, other.load); order != 0 {
		return order
	}
	if order := cmp.Compare(c.score, other.score); order != 0 {
		return order
	}
	return cmp.Compare(c.index, other.index) // a tier is ordered by ID
}

// candidates iterates over the endpoints of a tier in the order of an object's ranking: rendezvous hashing weighted
// by capacity, which is the same at every router. It selects them in batches, on demand.
type candidates struct {
	tier      *tier
	hash      uint64 // hash of the object, from objectHash
	loads     loadScale
	byLoad    bool           // endpoints are ordered by load before their score
	hotCaches int            // how many of the first endpoints are reordered by load; less than firstBatch
	limited   bool           // endpoints with a load of loadLimit or more are skipped
	loadLimit float64        // attempts in flight, as a multiple of the capacity; used if limited
	first     *endpointState // returned before the tier's endpoints; nil: none
	last      *endpointState // returned after the tier's endpoints; nil: none

	// If skipsPostponed is set, endpoints whose slow start is known not to admit the work now are skipped from the
	// second batch on. The caller would reject them too, but at a greater cost when hundreds of endpoints are in
	// slow start.
	skipsPostponed bool
	now            int64
	work           float64 // s; sending time of the request

	batch         []candidate // selected candidates, the most preferred first
	position      int         // index in batch of the next candidate
	batchSize     int         // number of candidates in the next batch
	exhausted     bool        // no endpoint of the tier comes after the batch
	firstReturned bool        // next has returned first
	lastReturned  bool        // next has returned last
}

// rewind makes the next call of next return the first endpoint again.
func (c *candidates) rewind() {
	c.batch, c.position, c.batchSize, c.exhausted = c.batch[:0], 0, firstBatch, false
	c.firstReturned, c.lastReturned = false, false
}

// excludeLoaded restarts the iteration without the endpoints whose load is at least the given one.
func (c *candidates) excludeLoaded(load float64) {
	c.limited, c.loadLimit = true, load
	c.rewind()
}

// next returns the next endpoint, or nil after the last one.
func (c *candidates) next() *endpointState {
	if !c.firstReturned {
		c.firstReturned = true
		if c.first != nil {
			return c.first
		}
	}
	for {
		if c.position < len(c.batch) {
			endpoint := c.tier.endpoints[c.batch[c.position].index]
			c.position++
			if c.limited && c.loads.loadOf(endpoint) >= c.loadLimit {
				continue
			}
			return endpoint
		}
		if c.exhausted {
			break
		}
		c.selectBatch()
	}
	if c.lastReturned {
		return nil
	}
	c.lastReturned = true
	return c.last
}

// selectBatch replaces the batch with the candidates that come after it.
func (c *candidates) selectBatch() {
	first := len(c.batch) == 0
	after := candidate{load: math.Inf(-1)}
	if !first {
		after = c.batch[len(c.batch)-1]
	}
	c.batch, c.position = c.batch[:0], 0
	switch {
	case c.batchSize > maxBatch:
		c.sortRemaining(after)
	case c.byLoad:
		c.scanByLoad(after)
	default:
		c.scanByScore(after)
	}
	c.exhausted = len(c.batch) < c.batchSize || c.batchSize > maxBatch
	c.batchSize *= batchGrowth
	if first && c.hotCaches > 1 {
		slices.SortStableFunc(c.batch[:min(c.hotCaches, len(c.batch))], func(a, b candidate) int {
			return cmp.Compare(c.loads.loadOf(c.tier.endpoints[a.index]), c.loads.loadOf(c.tier.endpoints[b.index]))
		})
	}
}

// sortRemaining fills the batch with all endpoints that come after a candidate.
func (c *candidates) sortRemaining(after candidate) {
	for index, key := range c.tier.keys {
		if c.isSkipped(index) {
			continue
		}
		next := candidate{score: score(uniform(c.hash, key.id), key.weight), index: index}
		if c.byLoad {
			next.load = c.loads.loadOf(c.tier.endpoints[index])
		}
		if next.compare(after) > 0 {
			c.batch = append(c.batch, next)
		}
	}
	slices.SortFunc(c.batch, candidate.compare)
}

// isSkipped reports whether an endpoint is skipped because its slow start does not admit the work now.
func (c *candidates) isSkipped(index int) bool {
	if !c.skipsPostponed || c.batchSize == firstBatch {
		return false
	}
	endpoint := c.tier.endpoints[index]
	return endpoint.slowStart.isPostponed(c.now, endpoint.slowStartFrom, c.work)
}

// skipPostponed makes the iteration skip endpoints whose slow start does not admit the work now. There are no such
// endpoints from postponedUntil on.
func (c *candidates) skipPostponed(now int64, work float64, postponedUntil int64) {
	c.skipsPostponed, c.now, c.work = now < postponedUntil, now, work
}

// scanByScore fills the batch with the endpoints that have the lowest scores and come after a candidate.
func (c *candidates) scanByScore(after candidate) {
	worst := math.Inf(1)
	for index, key := range c.tier.keys {
		draw := uniform(c.hash, key.id)
		if certainlyExceeds(draw, key.weight, worst) || c.isSkipped(index) {
			continue
		}
		worst = c.add(candidate{score: score(draw, key.weight), index: index}, after).score
	}
}

// scanByLoad fills the batch with the endpoints that have the lowest loads and come after a candidate. Equal loads
// are ordered by score.
func (c *candidates) scanByLoad(after candidate) {
	worst := candidate{load: math.Inf(1), score: math.Inf(1)}
	var previous *endpointState
	var load float64
	for index, key := range c.tier.keys {
		draw := uniform(c.hash, key.id)
		exceeds := certainlyExceeds(draw, key.weight, worst.score)
		if exceeds && worst.load <= c.loads.minLoad || c.isSkipped(index) {
			continue // even with the lowest load the endpoint would come after worst
		}
		endpoint := c.tier.endpoints[index]
		if previous == nil || !endpoint.hasSameLoad(previous) { // consecutive endpoints often have the same load
			load = c.loads.loadOf(endpoint)
		}
		previous = endpoint
		if load > worst.load || load < after.load || exceeds && load == worst.load {
			continue
		}
		worst = c.add(candidate{load: load, score: score(draw, key.weight), index: index}, after)
	}
}

// hasSameLoad reports whether two caches certainly have the same load. It may return false for equal loads.
func (endpoint *endpointState) hasSameLoad(other *endpointState) bool {
	return endpoint.Capacity == other.Capacity && endpoint.withinObjective == other.withinObjective
}

// certainlyExceeds reports whether the score of a draw and a weight is above a bound by more than rounding errors. It
// avoids the logarithm by using 1-draw, which is never above -ln(draw), and so returns false for some higher scores.
func certainlyExceeds(draw, weight, bound float64) bool {
	return 1-draw > bound*weight*roundingMargin
}

// add inserts next into the sorted batch if it comes after the candidate that is passed as after. If the batch is
// full, either its last candidate or next is dropped, whichever comes later. From then on only candidates that come
// before worst need to be added.
func (c *candidates) add(next, after candidate) (worst candidate) {
	if next.compare(after) > 0 {
		if len(c.batch) == c.batchSize && next.compare(c.batch[len(c.batch)-1]) < 0 {
			c.batch = c.batch[:len(c.batch)-1]
		}
		if len(c.batch) < c.batchSize {
			index, _ := slices.BinarySearchFunc(c.batch, next, candidate.compare)
			c.batch = slices.Insert(c.batch, index, next)
		}
	}
	if len(c.batch) < c.batchSize {
		return candidate{load: math.Inf(1), score: math.Inf(1)}
	}
	return c.batch[len(c.batch)-1]
}

// cacheCandidates returns the caches in the order of preference for a request. An object is served by its home cache,
// which is the first in its ranking, and a hot object by the least loaded of the first two or three. An uncacheable
// request goes to the least loaded of all caches.
func (r *Router) cacheCandidates(now int64, request *Request) *candidates {
	ranked := &r.cacheOrder
	*ranked = candidates{
		tier:      &r.cacheTier,
		hash:      r.objectHash(request.record.key),
		loads:     r.loadScale(now),
		hotCaches: 1,
		batch:     ranked.batch,
	}
	if request.isUncacheable() {
		ranked.byLoad = true
	} else {
		ranked.hotCaches = r.cachesFor(now, request.record)
	}
	ranked.skipPostponed(now, request.class.sendingTime, r.postponedUntil)
	ranked.rewind()
	return ranked
}

// cachesFor returns the number of caches that the requests for an object are spread over.
func (r *Router) cachesFor(now int64, record *objectRecord) int {
	caches := len(r.caches)
	if caches <= 1 || record.requestCount < minHotRequests {
		return 1
	}
	hot := r.rates.ofObject(now, record) * float64(caches) / (hotShare * r.rates.ofAll(now))
	return max(1, min(1+int(hot), maxHotCaches, caches))
}

// sourceCandidates returns the parents, followed by the origin, in the order of preference for filling an object. An
// uncacheable request does not benefit from a parent: it goes directly to the origin, and to a parent only if the
// origin has rejected it. The parent that its hash selects may be in any location, and that detour could take longer
// than a short deadline allows. After a parent has rejected a fill, the origin is the only candidate if it cannot be
// overloaded.
func (r *Router) sourceCandidates(now int64, request *Request) *candidates {
	ranked := &r.sourceOrder
	*ranked = candidates{tier: &r.parentTier, hash: r.objectHash(request.record.key), batch: ranked.batch}
	switch {
	case request.isUncacheable():
		ranked.first = r.origin
	case r.origin != nil && request.sourceRejected() && r.settings.OriginUnlimited:
		ranked.tier, ranked.last = &tier{}, r.origin
	default:
		ranked.last = r.origin
	}
	ranked.skipPostponed(now, request.class.sendingTime, r.postponedUntil)
	ranked.rewind()
	return ranked
}
