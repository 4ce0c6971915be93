package control

import (
	"cmp"
	"container/list"
	"maps"
	"slices"
)

// Snapshot is what a router has learned: rates, means of classes, admission limits and purges. The router that
// replaces it can restore the snapshot. Scores of endpoints are not included, because they are soon out of date.
// Times are in ns by the clock of the process that took the snapshot. CBOR stores the fields under the names in
// their tags.
type Snapshot struct {
	StartedAt       int64            `cbor:"Started"` // ns; when the counting of requests started
	TakenAt         int64            `cbor:"Taken"`
	RequestCount    float64          `cbor:"Total"` // number of all requests, decayed until RequestCountAt
	RequestCountAt  int64            `cbor:"TotalAt"`
	AdmissionLimits [3]float64       `cbor:"Rooms"`    // multiples of the caches' capacity, by attemptKind
	Classes         []ClassSnapshot  `cbor:"Products"` // ordered by name
	Objects         []ObjectSnapshot // ordered by the last request, the most recent one at the end
	Purges          []PurgeSnapshot  // ordered by name
}

// ClassSnapshot is what was learned from the responses of a class.
type ClassSnapshot struct {
	Name         string
	SendingTime  float64 `cbor:"Sending"` // s; mean sending time of the responses
	ResponseTime float64 `cbor:"Answer"`  // s; mean time until a successful response
	Samples      float64 `cbor:"Seen"`    // weight of the means, in responses
}

// ObjectSnapshot is what a router knows about the requests and purges of one part of an object.
type ObjectSnapshot struct {
	Object        string
	Part, Group   int64
	Count, Purges float64 // requests, decayed until CountedAt; purges, not decayed
	CountedAt     int64   `cbor:"Counted"`
	FirstSeenAt   int64   `cbor:"Born"`
	Evicted       bool    `cbor:"Ghost"` // the record was evicted from the recently requested objects
}

// PurgeSnapshot is a purge that has not expired.
type PurgeSnapshot struct {
	Name     string // key of the object or group; see purgeKey
	PurgedAt int64  `cbor:"When"` // Unix ns by the clock of the discovery service; 0: not known
}

// Shifted returns the snapshot with its times shifted by an offset, in ns, to the clock of another process.
// Timestamps of other machines do not change.
func (s Snapshot) Shifted(by int64) Snapshot {
	s.StartedAt += by
	s.TakenAt += by
	s.RequestCountAt += by
	s.Objects = slices.Clone(s.Objects)
	for i := range s.Objects {
		s.Objects[i].CountedAt += by
		s.Objects[i].FirstSeenAt += by
	}
	return s
}

// Snapshot returns what the router has learned, with at most maxCount objects.
func (r *Router) Snapshot(now int64, maxCount int) Snapshot {
	snapshot := Snapshot{
		StartedAt:       r.rates.startedAt,
		TakenAt:         now,
		RequestCount:    r.rates.requestCount,
		RequestCountAt:  r.rates.requestCountAt,
		AdmissionLimits: r.admission.limits,
		Objects:         r.rates.snapshot(maxCount),
	}
	for _, name := range slices.Sorted(maps.Keys(r.classByName)) {
		class := r.classByName[name]
		snapshot.Classes = append(snapshot.Classes, ClassSnapshot{
			Name:         name,
			SendingTime:  class.sendingTime,
			ResponseTime: class.responseTime,
			Samples:      class.samples,
		})
	}
	for _, name := range slices.Sorted(maps.Keys(r.purges.last)) {
		snapshot.Purges = append(snapshot.Purges, PurgeSnapshot{name, r.purges.last[name].purgedAt})
	}
	return snapshot
}

// snapshot returns the records of the last requested objects, at most maxCount of them. The most recent one is the
// last element.
func (rates *requestRates) snapshot(maxCount int) (objects []ObjectSnapshot) {
	for _, records := range []*list.List{rates.recentObjects, rates.evictedObjects} {
		for element := records.Front(); element != nil && len(objects) < maxCount; element = element.Next() {
			record := element.Value.(*objectRecord)
			objects = append(objects, ObjectSnapshot{
				Object:      record.key.object,
				Part:        record.key.part,
				Group:       record.group,
				Count:       record.requestCount,
				Purges:      record.purgeCount,
				CountedAt:   record.countedAt,
				FirstSeenAt: record.firstSeenAt,
				Evicted:     record.evicted,
			})
		}
	}
	slices.Reverse(objects)
	return objects
}

// Restore applies a snapshot of another router. It must be called before any other method. If rates is true, it
// restores request rates and admission limits as they were when the snapshot was taken, without decay since then. If
// rates is false, it restores the objects without their rates, and no admission limits.
func (r *Router) Restore(now int64, snapshot Snapshot, rates bool) {
	for _, class := range snapshot.Classes {
		r.restoreClass(class)
	}
	for _, purge := range snapshot.Purges {
		r.purges.add(now, purge.Name, purge.PurgedAt)
	}
	elapsed := max(0, now-snapshot.TakenAt)
	if rates {
		r.restoreRates(now, elapsed, snapshot)
	}
	for _, object := range snapshot.Objects {
		record := object.record(now)
		if rates {
			record.requestCount = object.Count
			record.countedAt = min(object.CountedAt+elapsed, now)
		}
		r.rates.restore(record)
	}
}

// restoreRates restores the rate of all requests and the admission limits. elapsed is the time since the snapshot, in
// ns.
func (r *Router) restoreRates(now, elapsed int64, snapshot Snapshot) {
	r.rates.startedAt = min(snapshot.StartedAt+elapsed, now)
	r.rates.requestCount = snapshot.RequestCount
	r.rates.requestCountAt = min(snapshot.RequestCountAt+elapsed, now)
	for kind, limit := range snapshot.AdmissionLimits {
		limit = cmp.Or(limit, initialAdmissionLimits[kind])
		r.admission.limits[kind] = max(minAdmissionLimit, min(limit, maxAdmissionLimit))
	}
}

// restoreClass restores the means of a class if the settings still have that class and the means are valid.
func (r *Router) restoreClass(learned ClassSnapshot) {
	class := r.classByName[learned.Name]
	if class == nil || learned.SendingTime <= 0 || learned.ResponseTime <= 0 {
		return
	}
	class.sendingTime, class.responseTime = learned.SendingTime, learned.ResponseTime
	class.samples = max(class.samples, learned.Samples)
}

// record returns the record of the object with a request count of 0 and with times no later than now.
func (o ObjectSnapshot) record(now int64) *objectRecord {
	return &objectRecord{
		key:         objectKey{o.Object, o.Part},
		group:       o.Group,
		firstSeenAt: min(o.FirstSeenAt, now),
		purgeCount:  o.Purges,
		countedAt:   now,
		evicted:     o.Evicted,
	}
}

// restore adds a record as the most recently requested one, unless there already is a record of the object or the
// maximum number of records is reached.
func (rates *requestRates) restore(record *objectRecord) {
	if rates.objects[record.key] != nil || len(rates.objects) >= 2*maxObjects {
		return
	}
	if record.evicted {
		record.element = rates.evictedObjects.PushFront(record)
	} else {
		record.element = rates.recentObjects.PushFront(record)
	}
	rates.objects[record.key] = record
}
