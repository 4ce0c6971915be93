package control

import (
	"container/list"
	"math"
)

const (
	rateWindow   = 10 * second // ns; time constant with which request counts and served work decay
	recentWindow = 10 * second // ns; time constant with which a decayingCount decays

	// maxObjects is the maximum number of records of recently requested objects, and of records of evicted objects.
	maxObjects = 10000

	// A request that arrives within guessedRetryWindow after another one for the same object was rejected or failed
	// counts as a client's retry. The exception is an object with a request count of maxGuessedRetryCount or more:
	// there the request probably comes from another client.
	guessedRetryWindow   = second // ns
	maxGuessedRetryCount = 10.
)

// decay returns what remains of a value after elapsed ns if it decays exponentially, to 1/e within window ns.
func decay(value float64, elapsed, window int64) float64 {
	return value * math.Exp(-float64(elapsed)/float64(window))
}

// decayingCount counts recent events. Each event adds 1, which decays exponentially over recentWindow.
type decayingCount struct {
	count  float64 // recent events, decayed until lastAt
	lastAt int64
}

func (c *decayingCount) at(now int64) float64 { return decay(c.count, now-c.lastAt, recentWindow) }

func (c *decayingCount) add(now int64) { c.count, c.lastAt = c.at(now)+1, now }

// decayingWork is recent work in seconds of sending time. The methods let it decay over rateWindow.
// capacityEstimate.offered does not use them and decays over loadWindow.
type decayingWork struct {
	work   float64 // s of sending time, decayed until lastAt
	best   float64 // highest mean capacity that the endpoints of the tier have shown by this work
	lastAt int64
}

func (c *decayingWork) at(now int64) float64 { return decay(c.work, now-c.lastAt, rateWindow) }

func (c *decayingWork) add(now int64, work float64) { c.work, c.lastAt = c.at(now)+work, now }

// objectKey identifies one part of an object. Parts are filled and cached separately, so each counts as an object.
type objectKey struct {
	object string
	part   int64
}

// objectRecord is what a router knows about one object.
type objectRecord struct {
	key               objectKey
	group             int64
	requestCount      float64 // requests for the object, decayed over rateWindow until countedAt
	countedAt         int64
	firstSeenAt       int64
	purgeCount        float64
	maxAge            int64 // ns; accepted age of cache entries, valid until maxAgeUntil; 0: not computed yet
	maxAgeUntil       int64
	evicted           bool          // the record is in evictedObjects rather than recentObjects
	unservedAt        int64         // ns; when a request for the object was last rejected or failed
	likelyCachedUntil int64         // ns; time until which a cache likely has the object
	element           *list.Element // position in recentObjects or evictedObjects
}

// countRequest lets the request count decay until now and adds one request.
func (record *objectRecord) countRequest(now int64) {
	record.requestCount = decay(record.requestCount, now-record.countedAt, rateWindow) + 1
	record.countedAt = now
}

// isLikelyRetried reports whether a request that arrives now is likely a retry of one that was rejected or failed.
func (record *objectRecord) isLikelyRetried(now int64) bool {
	return now < record.unservedAt+guessedRetryWindow && record.requestCount < maxGuessedRetryCount
}

// requestRates counts requests, per object and in total. It keeps records of maxObjects recently requested objects.
// A new object evicts the least recently requested one. It also keeps the records, with their rates, of up to
// maxObjects evicted objects.
type requestRates struct {
	startedAt      int64 // ns; when the counting of requests started
	objects        map[objectKey]*objectRecord
	recentObjects  *list.List // of *objectRecord, the last requested first
	evictedObjects *list.List // of *objectRecord, the last evicted first
	requestCount   float64    // all requests, decayed over rateWindow until requestCountAt
	requestCountAt int64
}

func newRequestRates(now int64) requestRates {
	return requestRates{
		startedAt:      now,
		objects:        map[objectKey]*objectRecord{},
		recentObjects:  list.New(),
		evictedObjects: list.New(),
		requestCountAt: now,
	}
}

// record counts a request and returns the record of its object. It does not count clients' retries, marked or
// guessed. There are many of these when parents are overloaded, and counting them would lower accepted ages and so
// cause even more fills.
func (rates *requestRates) record(now int64, request *Request) *objectRecord {
	record := rates.touch(now, request)
	rates.evict()
	request.ClientRetry = request.ClientRetry || record.isLikelyRetried(now)
	if !request.ClientRetry {
		record.countRequest(now)
		rates.requestCount = decay(rates.requestCount, now-rates.requestCountAt, rateWindow) + 1
		rates.requestCountAt = now
	}
	return record
}

// touch returns the record of a request's object, which it creates if necessary, and makes it the last requested one.
func (rates *requestRates) touch(now int64, request *Request) *objectRecord {
	key := objectKey{request.Object, request.Part}
	record := rates.objects[key]
	switch {
	case record == nil:
		record = &objectRecord{key: key, group: request.Group, firstSeenAt: now, countedAt: now}
		rates.objects[key] = record
	case record.evicted:
		rates.evictedObjects.Remove(record.element)
	default:
		rates.recentObjects.Remove(record.element)
	}
	record.evicted, record.element = false, rates.recentObjects.PushFront(record)
	return record
}

// evict limits the lengths of both lists to maxObjects, after one record was added.
func (rates *requestRates) evict() {
	if rates.recentObjects.Len() > maxObjects {
		oldest := rates.recentObjects.Remove(rates.recentObjects.Back()).(*objectRecord)
		oldest.evicted, oldest.maxAge = true, 0
		oldest.element = rates.evictedObjects.PushFront(oldest)
	}
	if rates.evictedObjects.Len() > maxObjects {
		oldest := rates.evictedObjects.Remove(rates.evictedObjects.Back()).(*objectRecord)
		delete(rates.objects, oldest.key)
	}
}

// countPurge counts a purge of one object with all its parts or, if object is empty, of a group.
func (rates *requestRates) countPurge(now int64, object string, group int64) {
	for element := rates.recentObjects.Front(); element != nil; element = element.Next() {
		record := element.Value.(*objectRecord)
		if record.key.object == object || object == "" && record.group == group {
			record.purgeCount++
			record.maxAgeUntil, record.likelyCachedUntil = now, 0
		}
	}
}

// ofObject returns this router's rate of requests for an object, per second.
func (rates *requestRates) ofObject(now int64, record *objectRecord) float64 {
	return rates.perSecond(now, record.requestCount, record.countedAt, rateWindow)
}

// ofAll returns this router's rate of all requests, per second.
func (rates *requestRates) ofAll(now int64) float64 {
	return rates.perSecond(now, rates.requestCount, rates.requestCountAt, rateWindow)
}

// perSecond converts a sum that decays over a window, in ns, to a rate per second. It divides the sum by the window
// or, if that is shorter, by the time since counting started, but by at least a second.
func (rates *requestRates) perSecond(now int64, sum float64, countedAt, window int64) float64 {
	span := float64(max(min(now-rates.startedAt, window), second)) / 1e9
	return decay(sum, now-countedAt, window) / span
}
