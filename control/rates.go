package control

import (
	"container/list"
	"math"
)

const (
	rateWindow   = 10 * second // ns; over which rates are averaged, exponentially
	recentWindow = 10 * second // ns; over which a decayingCount fades
	maxObjects   = 10000       // that are counted as asked for lately, and as many that were displaced by those

	// maxGuessedRetryCount is how many requests in the window an object may have for one soon after a rejection, within
	// guessedRetryWindow, to be taken for that client's retry.
	maxGuessedRetryCount = 10.
	guessedRetryWindow   = second // ns
)

// decay is what is left of a figure so long after, where it fades to a part of 1/e over a window, both ns.
func decay(figure float64, since, window int64) float64 {
	return figure * math.Exp(-float64(since)/float64(window))
}

// decayingCount counts what happened lately.
type decayingCount struct {
	count  float64
	lastAt int64
}

func (c *decayingCount) at(now int64) float64 { return decay(c.count, now-c.lastAt, recentWindow) }

func (c *decayingCount) add(now int64) { c.count, c.lastAt = c.at(now)+1, now }

// decayingWork is sending time lately, s: of what came in time, or was asked for; and the best that an endpoint had.
type decayingWork struct {
	work, best float64
	lastAt     int64
}

func (c *decayingWork) at(now int64) float64 { return decay(c.work, now-c.lastAt, rateWindow) }

func (c *decayingWork) add(now int64, work float64) { c.work, c.lastAt = c.at(now)+work, now }

// objectKey names one object: a part is filled and kept on its own, so each is an object to the design.
type objectKey struct {
	object string
	part   int64
}

// objectRecord is what is known of one object.
type objectRecord struct {
	key             objectKey
	group           int64
	requestCount    float64 // decayed over rateWindow
	countedAt       int64
	firstSeenAt     int64
	purgeCount      float64
	maxAge          int64 // ns; accepted age, held until maxAgeUntil; 0 is not set
	maxAgeUntil     int64
	evicted         bool  // from the objects asked for lately
	unservedAt        int64 // when a request for it was last given up
	likelyCachedUntil int64 // until when a cache is taken to hold it
	element         *list.Element
}

// countRequest counts one request.
func (record *objectRecord) countRequest(now int64) {
	record.requestCount = decay(record.requestCount, now-record.countedAt, rateWindow) + 1
	record.countedAt = now
}

// isLikelyRetried tells whether a request that comes now is likely the retry of one that was given up on here.
func (record *objectRecord) isLikelyRetried(now int64) bool {
	return now < record.unservedAt+guessedRetryWindow && record.requestCount < maxGuessedRetryCount
}

// requestRates are the request rates of the objects asked for lately, and of all together. It is bounded: an object that was
// not asked for longest is evicted, and kept aside with its rate until as many others have been.
type requestRates struct {
	startedAt      int64 // when this began to count
	objects        map[objectKey]*objectRecord
	recentObjects  *list.List // of records, the one asked for last first
	evictedObjects *list.List
	requestCount   float64 // all requests, decayed over rateWindow
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

// record counts a request and gives its object's record. Clients' retries don't count, marked or guessed by what was given up
// on here a moment ago: they would shrink ages while parents strain.
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

// touch gives an object's record, made if it is new, as the one asked for last.
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

// evict keeps both lists within maxObjects.
func (rates *requestRates) evict() {
	if rates.recentObjects.Len() > maxObjects {
		old := rates.recentObjects.Remove(rates.recentObjects.Back()).(*objectRecord)
		old.evicted, old.maxAge, old.element = true, 0, rates.evictedObjects.PushFront(old)
	}
	if rates.evictedObjects.Len() > maxObjects {
		old := rates.evictedObjects.Remove(rates.evictedObjects.Back()).(*objectRecord)
		delete(rates.objects, old.key)
	}
}

// countPurge counts a purge of one object with all its parts or, with no object, of a group.
func (rates *requestRates) countPurge(now int64, object string, group int64) {
	for element := rates.recentObjects.Front(); element != nil; element = element.Next() {
		record := element.Value.(*objectRecord)
		if record.key.object == object || object == "" && record.group == group {
			record.purgeCount++
			record.maxAgeUntil, record.likelyCachedUntil = now, 0
		}
	}
}

// ofObject is the rate at which this router is asked for an object, requests a second.
func (rates *requestRates) ofObject(now int64, record *objectRecord) float64 {
	return rates.perSecond(now, record.requestCount, record.countedAt, rateWindow)
}

// ofAll is the rate of all requests, a second.
func (rates *requestRates) ofAll(now int64) float64 {
	return rates.perSecond(now, rates.requestCount, rates.requestCountAt, rateWindow)
}

// perSecond turns a figure that decays over a window into a rate; a young router has counted for less than the window.
func (rates *requestRates) perSecond(now int64, figure float64, countedAt, window int64) float64 {
	span := float64(max(min(now-rates.startedAt, window), second)) / 1e9
	return decay(figure, now-countedAt, window) / span
}
