package control

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"math"
	"slices"
)

const (
	// firstBatch is how many candidates are selected at first, and batchGrowth how many times more with each
	// further batch. Mostly the first candidate is taken.
	firstBatch     = 4
	hotShare       = 0.1 // of this router's requests per cache, from which an object is hot
	minHotRequests = 3.  // and so many requests in the window: a router that just started finds all hot
	hotSpread      = 3   // most caches that a hot object goes to; less than the first batch
	batchGrowth    = 8
	maxBatch       = 256 // a larger batch would take longer than sorting all that is left

	// roundingMargin covers the rounding of a score where a bound of it stands in for it.
	roundingMargin = 1 + 1e-12
)

// tier is a list of endpoints with the figures that a scan needs side by side, so that it reads little memory.
type tier struct {
	endpointList
	keys []rankKey // of the endpoint at the same index
}

// rankKey is what an endpoint's score in a ranking depends on.
type rankKey struct {
	id     uint64
	weight float64
}

// put inserts an endpoint or, if it is in the tier already, takes over its weight.
func (t *tier) put(endpoint *endpointState) {
	index, found := t.search(endpoint)
	if !found {
		t.endpoints = slices.Insert(t.endpoints, index, endpoint)
		t.keys = slices.Insert(t.keys, index, rankKey{})
	}
	t.keys[index] = rankKey{uint64(endpoint.ID), endpoint.hashWeight}
}

// remove takes an endpoint out.
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

// objectHash is an object's hash, from which its endpoints' scores are drawn.
func (r *Router) objectHash(key objectKey) uint64 {
	r.keyBytes = binary.LittleEndian.AppendUint64(append(r.keyBytes[:0], key.object...), uint64(key.part))
	h := fnv.New64a()
	h.Write(r.keyBytes)
	return h.Sum64()
}

// uniform draws a number from (0, 1] from an object's hash and an endpoint's ID.
func uniform(hash, id uint64) float64 {
	x := (hash ^ id) * 0xff51afd7ed558ccd
	x = (x ^ x>>33) * 0xc4ceb9fe1a85ec53
	return (float64((x^x>>33)>>11) + 0.5) / (1 << 53)
}

// score is an endpoint's place in weighted rendezvous hashing: the least comes first.
func score(uniform, weight float64) float64 { return -math.Log(uniform) / weight }

// candidate is an endpoint of a tier with what it is ordered by.
type candidate struct {
	load  float64 // 0 where loads do not count
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
	return cmp.Compare(c.index, other.index) // as the IDs
}

// candidates yields the endpoints of a tier in the order in which an object prefers them: by rendezvous hashing
// weighted by size, alike at every router. They are selected in batches, only as far as they are asked for.
type candidates struct {
	tier      *tier
	hash      uint64
	loads     loadScale
	byLoad    bool // the least loaded come first
	spread    int  // so many of the first, less than firstBatch, are ordered by load
	limited   bool // endpoints with a load of loadLimit or more are left out
	loadLimit float64
	first     *endpointState // yielded before all of the tier; nil is none
	last      *endpointState // yielded after all of the tier; nil is none

	// While hundreds of endpoints recover, those that are known to bear no such work now are left out behind the first batch:
	// whoever asks would pass over them.
	skipsPostponed bool // those that are postponed
	now       int64
	work      float64

	batch                 []candidate // in order
	position              int         // of the next one in the batch
	batchSize             int         // of the next batch
	exhausted             bool        // no endpoint comes after the batch
	firstGiven, lastGiven bool
}

// rewind starts from the first candidate again.
func (c *candidates) rewind() {
	c.batch, c.position, c.batchSize, c.exhausted = c.batch[:0], 0, firstBatch, false
	c.firstGiven, c.lastGiven = false, false
}

// excludeLoaded starts anew, without the endpoints that have a load or more.
func (c *candidates) excludeLoaded(load float64) {
	c.limited, c.loadLimit = true, load
	c.rewind()
}

// next gives the next candidate, or nil after the last.
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

// selectBatch selects the candidates that come next after the batch.
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
	if first && c.spread > 1 {
		slices.SortStableFunc(c.batch[:min(c.spread, len(c.batch))], func(a, b candidate) int {
			return cmp.Compare(c.loads.of(c.tier.endpoints[a.index]), c.loads.of(c.tier.endpoints[b.index]))
		})
	}
}

// sortRemaining fills the batch with all that come after a candidate.
func (c *candidates) sortRemaining(after candidate) {
	for index, key := range c.tier.keys {
		if c.isSkipped(index) {
			continue
		}
		x := candidate{score: score(uniform(c.hash, key.id), key.weight), index: index}
		if c.byLoad {
			x.load = c.loads.of(c.tier.endpoints[index])
		}
		if x.compare(after) > 0 {
			c.batch = append(c.batch, x)
		}
	}
	slices.SortFunc(c.batch, candidate.compare)
}

// isSkipped tells whether an endpoint is left out behind the first batch.
func (c *candidates) isSkipped(index int) bool {
	if !c.skipsPostponed || c.batchSize == firstBatch {
		return false
	}
	endpoint := c.tier.endpoints[index]
	return endpoint.slowStart.isPostponed(c.now, endpoint.slowStartFrom, c.work)
}

// skipPostponed has endpoints left out that bear no such work now, if there can be any.
func (c *candidates) skipPostponed(now int64, work float64, until int64) {
	c.skipsPostponed, c.now, c.work = now < until, now, work
}

// scanByScore fills the batch with the least by score that come after a candidate.
func (c *candidates) scanByScore(after candidate) {
	worst := math.Inf(1)
	for index, key := range c.tier.keys {
		u := uniform(c.hash, key.id)
		if mustExceed(u, key.weight, worst) || c.isSkipped(index) {
			continue
		}
		worst = c.add(candidate{score: score(u, key.weight), index: index}, after).score
	}
}

// scanByLoad fills the batch with the least by load, and by score among equals, that come after a candidate.
func (c *candidates) scanByLoad(after candidate) {
	worst := candidate{load: math.Inf(1), score: math.Inf(1)}
	var before *endpointState
	var load float64
	for index, key := range c.tier.keys {
		u := uniform(c.hash, key.id)
		exceeds := mustExceed(u, key.weight, worst.score)
		if exceeds && worst.load <= c.loads.minLoad || c.isSkipped(index) {
			continue // whatever its load is
		}
		endpoint := c.tier.endpoints[index]
		if before == nil || endpoint.Capacity != before.Capacity || endpoint.withinObjective != before.withinObjective { // mostly all are alike
			load = c.loads.of(endpoint)
		}
		before = endpoint
		if load > worst.load || load < after.load || exceeds && load == worst.load {
			continue
		}
		worst = c.add(candidate{load: load, score: score(u, key.weight), index: index}, after)
	}
}

// mustExceed tells that a score is certainly above a bound, without its logarithm: -ln(u) is at least 1-u.
func mustExceed(uniform, weight, bound float64) bool {
	return 1-uniform > bound*weight*roundingMargin
}

// add puts a candidate at its place in the batch, if it comes after the given one and among the batch's size. It
// returns what a further one must come before.
func (c *candidates) add(x, after candidate) (worst candidate) {
	if x.compare(after) > 0 {
		if len(c.batch) == c.batchSize && x.compare(c.batch[len(c.batch)-1]) < 0 {
			c.batch = c.batch[:len(c.batch)-1]
		}
		if len(c.batch) < c.batchSize {
			index, _ := slices.BinarySearchFunc(c.batch, x, candidate.compare)
			c.batch = slices.Insert(c.batch, index, x)
		}
	}
	if len(c.batch) < c.batchSize {
		return candidate{load: math.Inf(1), score: math.Inf(1)}
	}
	return c.batch[len(c.batch)-1]
}

// cacheCandidates are the caches in the order in which they may serve a request.
func (r *Router) cacheCandidates(now int64, request *Request) *candidates {
	c := &r.cacheOrder
	*c = candidates{
		tier: &r.cacheTier, hash: r.objectHash(request.record.key), loads: r.loadScale(now), spread: 1,
		batch: c.batch,
	}
	if request.isUncacheable() {
		c.byLoad = true // it has no home
	} else if n := float64(len(r.caches)); n > 1 && request.record.requestCount >= minHotRequests {
		// A hot object goes to two or three caches, the least busy of them.
		hot := r.rates.ofObject(now, request.record) * n / (hotShare * r.rates.ofAll(now))
		c.spread = max(1, min(1+int(hot), hotSpread, len(r.caches)))
	}
	c.skipPostponed(now, request.class.sendingTime, r.postponedUntil)
	c.rewind()
	return c
}

// sourceCandidates are the parents, and last the origin, in the order in which they may fill an object. What is never kept
// gains nothing from a parent: it goes straight to the origin, and to parents only once that has turned it away. The parent
// of its hash may lie in any hub, and the way to it and on to the origin cost a class of short deadlines all of its time.
func (r *Router) sourceCandidates(now int64, request *Request) *candidates {
	c := &r.sourceOrder
	*c = candidates{tier: &r.parentTier, hash: r.objectHash(request.record.key), batch: c.batch}
	switch {
	case request.isUncacheable():
		c.first = r.origin
	case r.origin != nil && request.sourceRejected() && r.settings.originUnlimited:
		c.tier, c.last = &tier{}, r.origin
	default:
		c.last = r.origin
	}
	c.skipPostponed(now, request.class.sendingTime, r.postponedUntil)
	c.rewind()
	return c
}
