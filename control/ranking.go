package control

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"math"
	"slices"
)

const (
	// firstBatch is how many candidates are selected at first, batchGrowth by how many times each further batch
	// is larger. In most cases the first candidate is taken.
	firstBatch  = 4
	batchGrowth = 8

	// maxBatch is the largest batch that is selected by a scan. Sorting all that is left is faster than a
	// larger one.
	maxBatch = 256

	// An object is hot if its rate at this router is above hotShare of the mean rate of a cache, and it was
	// requested at least minHotRequests times in the window: to a router that has just started all objects
	// would look hot.
	hotShare       = 0.1
	minHotRequests = 3.

	// maxHotCaches is the largest number of caches that serve a hot object. It is less than firstBatch.
	maxHotCaches = 3

	// roundingMargin covers the rounding of a score that is compared by a bound of it.
	roundingMargin = 1 + 1e-12
)

// tier is a list of endpoints, with what a scan over them needs in an array of its own so that it reads little
// memory.
type tier struct {
	endpointList
	keys []rankKey // of the endpoint at the same index
}

// rankKey is what the score of an endpoint depends on, beside the object.
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

// clear empties the tier.
func (t *tier) clear() {
	clear(t.endpoints)
	t.endpoints, t.keys = t.endpoints[:0], t.keys[:0]
}

// objectHash returns the hash of an object, from which the scores of endpoints for it follow.
func (r *Router) objectHash(key objectKey) uint64 {
	r.keyBytes = binary.LittleEndian.AppendUint64(append(r.keyBytes[:0], key.object...), uint64(key.part))
	hash := fnv.New64a()
	hash.Write(r.keyBytes)
	return hash.Sum64()
}

// uniform maps an object's hash and an endpoint's ID to a number that is distributed evenly over (0, 1].
func uniform(hash, id uint64) float64 {
	x := (hash ^ id) * 0xff51afd7ed558ccd
	x = (x ^ x>>33) * 0xc4ceb9fe1a85ec53
	return (float64((x^x>>33)>>11) + 0.5) / (1 << 53)
}

// score is what weighted rendezvous hashing orders endpoints by, lowest first.
func score(draw, weight float64) float64 { return -math.Log(draw) / weight }

// candidate is an endpoint of a tier with what it is ordered by: its load, then its score, then its ID.
type candidate struct {
	load  float64 // 0 where the order is not by load
	score float64
	index int // in the tier
}

func (c candidate) compare(other candidate) int {
	if order := cmp.Compare(c.load, other.load); order != 0 {
		return order
	}
	if order := cmp.Compare(c.score, other.score); order != 0 {
		return order
	}
	return cmp.Compare(c.index, other.index) // a tier is in the order of the IDs
}

// candidates iterates over the endpoints of a tier in the order in which an object prefers them: rendezvous
// hashing weighted by capacity, which is the same at every router. They are selected in batches, and no further
// than next is called.
type candidates struct {
	tier      *tier
	hash      uint64 // of the object
	loads     loadScale
	byLoad    bool           // the least loaded come first
	hotCaches int            // so many of the first, less than firstBatch, are ordered by load
	limited   bool           // endpoints with a load of loadLimit or more are skipped
	loadLimit float64        // a multiple of the capacity
	first     *endpointState // comes before the tier's endpoints; may be nil
	last      *endpointState // comes after the tier's endpoints; may be nil

	// While hundreds of endpoints are in slow start, those that are known to admit no such work now are skipped
	// from the second batch on. The caller would pass over them, at a greater cost.
	skipsPostponed bool
	now            int64
	work           float64 // s; sending time of the request

	batch      []candidate // in order
	position   int         // in the batch, of the next candidate
	batchSize  int         // of the next batch
	exhausted  bool        // no endpoint of the tier comes after the batch
	firstGiven bool
	lastGiven  bool
}

// rewind restarts the iteration.
func (c *candidates) rewind() {
	c.batch, c.position, c.batchSize, c.exhausted = c.batch[:0], 0, firstBatch, false
	c.firstGiven, c.lastGiven = false, false
}

// excludeLoaded restarts the iteration, without the endpoints that have at least a load.
func (c *candidates) excludeLoaded(load float64) {
	c.limited, c.loadLimit = true, load
	c.rewind()
}

// next returns the next candidate, or nil after the last.
func (c *candidates) next() *endpointState {
	if !c.firstGiven {
		c.firstGiven = true
		if c.first != nil {
			return c.first
		}
	}
	for {
		if c.position < len(c.batch) {
			endpoint := c.tier.endpoints[c.batch[c.position].index]
			c.position++
			if c.limited && c.loads.of(endpoint) >= c.loadLimit {
				continue
			}
			return endpoint
		}
		if c.exhausted {
			break
		}
		c.selectBatch()
	}
	if c.lastGiven {
		return nil
	}
	c.lastGiven = true
	return c.last
}

// selectBatch replaces the batch by the candidates that follow it.
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
			return cmp.Compare(c.loads.of(c.tier.endpoints[a.index]), c.loads.of(c.tier.endpoints[b.index]))
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
			next.load = c.loads.of(c.tier.endpoints[index])
		}
		if next.compare(after) > 0 {
			c.batch = append(c.batch, next)
		}
	}
	slices.SortFunc(c.batch, candidate.compare)
}

// isSkipped reports whether an endpoint is skipped because its slow start admits no such work now.
func (c *candidates) isSkipped(index int) bool {
	if !c.skipsPostponed || c.batchSize == firstBatch {
		return false
	}
	endpoint := c.tier.endpoints[index]
	return endpoint.slowStart.isPostponed(c.now, endpoint.slowStartFrom, c.work)
}

// skipPostponed has endpoints skipped that admit no such work now; there can be any only before a time,
// postponedUntil.
func (c *candidates) skipPostponed(now int64, work float64, postponedUntil int64) {
	c.skipsPostponed, c.now, c.work = now < postponedUntil, now, work
}

// scanByScore fills the batch with the endpoints of lowest score that come after a candidate.
func (c *candidates) scanByScore(after candidate) {
	worst := math.Inf(1)
	for index, key := range c.tier.keys {
		draw := uniform(c.hash, key.id)
		if mustExceed(draw, key.weight, worst) || c.isSkipped(index) {
			continue
		}
		worst = c.add(candidate{score: score(draw, key.weight), index: index}, after).score
	}
}

// scanByLoad fills the batch with the endpoints of lowest load, and of lowest score among equals, that come
// after a candidate.
func (c *candidates) scanByLoad(after candidate) {
	worst := candidate{load: math.Inf(1), score: math.Inf(1)}
	var previous *endpointState
	var load float64
	for index, key := range c.tier.keys {
		draw := uniform(c.hash, key.id)
		exceeds := mustExceed(draw, key.weight, worst.score)
		if exceeds && worst.load <= c.loads.minLoad || c.isSkipped(index) {
			continue // whatever its load is
		}
		endpoint := c.tier.endpoints[index]
		if previous == nil || !endpoint.loadsLike(previous) { // most are alike
			load = c.loads.of(endpoint)
		}
		previous = endpoint
		if load > worst.load || load < after.load || exceeds && load == worst.load {
			continue
		}
		worst = c.add(candidate{load: load, score: score(draw, key.weight), index: index}, after)
	}
}

// loadsLike reports whether two caches certainly have the same load.
func (endpoint *endpointState) loadsLike(other *endpointState) bool {
	return endpoint.Capacity == other.Capacity && endpoint.withinObjective == other.withinObjective
}

// mustExceed reports whether a score is certainly above a bound. It computes no logarithm: -ln(u) is at least
// 1-u.
func mustExceed(draw, weight, bound float64) bool {
	return 1-draw > bound*weight*roundingMargin
}

// add inserts a candidate into the batch in order, if it comes after the given one and the batch has space for
// it or holds a later one, which it drops. It returns the candidate that a further one must come before.
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

// cacheCandidates returns the caches in the order in which they may serve a request. An object goes to its home
// cache, the first by its hash; a hot one to the least loaded of two or three; a request that is not cacheable
// to the least loaded of all.
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

// cachesFor returns over how many caches the requests for an object are spread.
func (r *Router) cachesFor(now int64, record *objectRecord) int {
	caches := len(r.caches)
	if caches <= 1 || record.requestCount < minHotRequests {
		return 1
	}
	hot := r.rates.ofObject(now, record) * float64(caches) / (hotShare * r.rates.ofAll(now))
	return max(1, min(1+int(hot), maxHotCaches, caches))
}

// sourceCandidates returns the parents, and the origin last, in the order in which they may fill an object. A
// request that is not cacheable gains nothing from a parent: it goes straight to the origin, and to a parent
// only after the origin has rejected it. The parent that its hash selects may be in any location, and the
// detour would cost a class with a short deadline all of its time.
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
