package control

import (
	"container/list"
	"math"
)

const (
	rateWindow   = 10 * second // ns; over which rates decay
	recentWindow = 10 * second // ns; over which a decayingCount decays

	// maxObjects bounds the records of recently requested objects, and those of evicted ones.
	maxObjects = 10000

	// A request that comes within guessedRetryWindow after one for the same object was not served is taken for
	// a retry of that client, unless the object has maxGuessedRetryCount requests in rateWindow: then it is
	// probably another client.
	guessedRetryWindow   = second // ns
	maxGuessedRetryCount = 10.
)

// decay returns what is left of a value after a time, if it decays exponentially to 1/e over a window; both in
// ns.
func decay(value float64, elapsed, window int64) float64 {
	return value * math.Exp(-float64(elapsed)/float64(window))
}

// decayingCount counts recent occurrences: each fades over recentWindow.
type decayingCount struct {
	count  float64 // as of lastAt
	lastAt int64
}

func (c *decayingCount) at(now int64) float64 { return decay(c.count, now-c.lastAt, recentWindow) }

func (c *decayingCount) add(now int64) { c.count, c.lastAt = c.at(now)+1, now }

// decayingWork is recent work in seconds of sending time. By its methods it decays over rateWindow;
// capacityEstimate.offered decays over sharingWindow.
type decayingWork struct {
	work   float64 // as of lastAt
	best   float64 // the highest capacity that one endpoint of a tier showed so far, by this work
	lastAt int64
}

func (c *decayingWork) at(now int64) float64 { return decay(c.work, now-c.lastAt, rateWindow) }

func (c *decayingWork) add(now int64, work float64) { c.work, c.lastAt = c.at(now)+work, now }

// objectKey identifies an object. Parts of an object are filled and cached separately, so each counts as an
// object.
type objectKey struct {
	object string
	part   int64
}

// objectRecord is what a router knows of one object.
type objectRecord struct {
	key               objectKey
	group             int64
	requestCount      float64 // as of countedAt; decays over rateWindow
	countedAt         int64
	firstSeenAt       int64
	purgeCount        float64
	maxAge            int64 // ns; accepted age, valid until maxAgeUntil; 0 is none
	maxAgeUntil       int64
	evicted           bool          // from the recently requested objects
	unservedAt        int64         // when a request for it was last rejected or failed
	likelyCachedUntil int64         // until when it is taken to be cached
	element           *list.Element // in recentObjects or evictedObjects
}

// countRequest counts a request for the object.
func (record *objectRecord) countRequest(now int64) {
	record.requestCount = decay(record.requestCount, now-record.countedAt, rateWindow) + 1
	record.countedAt = now
}

// isLikelyRetried reports whether a request that comes now is likely the retry of one that was not served here.
func (record *objectRecord) isLikelyRetried(now int64) bool {
	return now < record.unservedAt+guessedRetryWindow && record.requestCount < maxGuessedRetryCount
}

// requestRates counts requests, by object and in all. It keeps records of maxObjects objects, the least
// recently requested of which is evicted by a new one, and those of as many evicted objects, which keep their
// rates.
type requestRates struct {
	startedAt      int64 // when counting started
	objects        map[objectKey]*objectRecord
	recentObjects  *list.List // of *objectRecord, the last requested first
	evictedObjects *list.List // of *objectRecord, the last evicted first
	requestCount   float64    // of all requests, as of requestCountAt; decays over rateWindow
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

// record counts a request and returns the record of its object. Clients' retries, marked or guessed, do not
// count: they are many when parents are overloaded, and would lower accepted ages and so cause still more
// fills.
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

// touch returns the record of a request's object, a new one if need be, and makes it the last requested.
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

// evict bounds both lists to maxObjects.
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

// countPurge counts a purge of one object with all its parts or, without an object, of a group.
func (rates *requestRates) countPurge(now int64, object string, group int64) {
	for element := rates.recentObjects.Front(); element != nil; element = element.Next() {
		record := element.Value.(*objectRecord)
		if record.key.object == object || object == "" && record.group == group {
			record.purgeCount++
			record.maxAgeUntil, record.likelyCachedUntil = now, 0
		}
	}
}

// ofObject returns this router's rate of requests for an object, a second.
func (rates *requestRates) ofObject(now int64, record *objectRecord) float64 {
	return rates.perSecond(now, record.requestCount, record.countedAt, rateWindow)
}

// ofAll returns this router's rate of all requests, a second.
func (rates *requestRates) ofAll(now int64) float64 {
	return rates.perSecond(now, rates.requestCount, rates.requestCountAt, rateWindow)
}

// perSecond returns the rate that follows from a sum that decays over a window, in ns. It divides by the time
// since counting started if that is less than the window, but by a second at least.
func (rates *requestRates) perSecond(now int64, sum float64, countedAt, window int64) float64 {
	span := float64(max(min(now-rates.startedAt, window), second)) / 1e9
	return decay(sum, now-countedAt, window) / span
}
