package control

import (
	"cmp"
	"container/list"
	"maps"
	"slices"
)

// Snapshot is what a router has learned, for one that starts in its place: rates, what classes cost to send, told purges.
// Judgements of endpoints are not in it: they are of moments. Times are on the axis of the process that learned it, ns.
type Snapshot struct {
	StartedAt       int64            `cbor:"Started"` // when this began to count
	TakenAt         int64            `cbor:"Taken"`
	RequestCount    float64          `cbor:"Total"` // decayed
	RequestCountAt  int64            `cbor:"TotalAt"`
	AdmissionLimits [3]float64       `cbor:"Rooms"`
	Classes         []ClassSnapshot  `cbor:"Products"` // by name
	Objects         []ObjectSnapshot // the one asked for last comes last
	Purges          []PurgeSnapshot  // by name
}

// ClassSnapshot is what one class's answers told.
type ClassSnapshot struct {
	Name         string
	SendingTime  float64 `cbor:"Sending"` // mean, s
	ResponseTime float64 `cbor:"Answer"`  // mean, s
	Samples      float64 `cbor:"Seen"`    // answers that the means count for
}

// ObjectSnapshot is one object of the rate table.
type ObjectSnapshot struct {
	Object        string
	Part, Group   int64
	Count, Purges float64
	CountedAt     int64 `cbor:"Counted"`
	FirstSeenAt   int64 `cbor:"Born"`
	Evicted       bool  `cbor:"Ghost"` // from the list of objects asked for lately
}

// PurgeSnapshot is one told purge that matters still.
type PurgeSnapshot struct {
	Name     string
	PurgedAt int64 `cbor:"When"` // its stamp: Unix ns by the clock of the journal service, on no axis of ours
}

// Shifted is a snapshot with its times moved by a span, ns: onto the axis of another process. Stamps of others stay.
func (m Snapshot) Shifted(by int64) Snapshot {
	m.StartedAt, m.TakenAt, m.RequestCountAt = m.StartedAt+by, m.TakenAt+by, m.RequestCountAt+by
	m.Objects = slices.Clone(m.Objects)
	for i := range m.Objects {
		m.Objects[i].CountedAt += by
		m.Objects[i].FirstSeenAt += by
	}
	return m
}

// Snapshot gives what was learned, with so many objects at most.
func (r *Router) Snapshot(now int64, maxObjects int) Snapshot {
	snapshot := Snapshot{
		StartedAt:       r.rates.startedAt,
		TakenAt:         now,
		RequestCount:    r.rates.requestCount,
		RequestCountAt:  r.rates.requestCountAt,
		AdmissionLimits: r.admission.limits,
		Objects:         r.rates.snapshot(maxObjects),
	}
	for _, name := range slices.Sorted(maps.Keys(r.classByName)) {
		class := r.classByName[name]
		snapshot.Classes = append(snapshot.Classes, ClassSnapshot{name, class.sendingTime, class.responseTime, class.samples})
	}
	for _, name := range slices.Sorted(maps.Keys(r.purges.last)) {
		snapshot.Purges = append(snapshot.Purges, PurgeSnapshot{name, r.purges.last[name].purgedAt})
	}
	return snapshot
}

// snapshot gives the records of the objects asked for last, so many at most; the last one comes last.
func (rates *requestRates) snapshot(most int) (objects []ObjectSnapshot) {
	for _, records := range []*list.List{rates.recentObjects, rates.evictedObjects} {
		for element := records.Front(); element != nil && len(objects) < most; element = element.Next() {
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

// Restore takes over what was learned; it is to be called before anything else. With rates, time is taken to have stood still since:
// what was asked for so often then is so now. Without, only that objects were asked for, and purged, is kept.
func (r *Router) Restore(now int64, snapshot Snapshot, rates bool) {
	for _, learned := range snapshot.Classes {
		r.restoreClass(learned)
	}
	for _, purge := range snapshot.Purges {
		r.purges.add(now, purge.Name, purge.PurgedAt)
	}
	elapsed := max(0, now-snapshot.TakenAt)
	if rates {
		r.rates.startedAt = min(snapshot.StartedAt+elapsed, now)
		r.rates.requestCount, r.rates.requestCountAt = snapshot.RequestCount, min(snapshot.RequestCountAt+elapsed, now)
		for kind, limit := range snapshot.AdmissionLimits {
			limit = cmp.Or(limit, initialAdmissionLimits[kind])
			r.admission.limits[kind] = max(minAdmissionLimit, min(limit, maxAdmissionLimit))
		}
	}
	for _, object := range snapshot.Objects {
		record := object.record(now)
		if rates {
			record.requestCount, record.countedAt = object.Count, min(object.CountedAt+elapsed, now)
		}
		r.rates.restore(record)
	}
}

// restoreClass takes over what a class's answers told, if it is still one.
func (r *Router) restoreClass(learned ClassSnapshot) {
	class := r.classByName[learned.Name]
	if class == nil || learned.SendingTime <= 0 || learned.ResponseTime <= 0 {
		return
	}
	class.sendingTime, class.responseTime = learned.SendingTime, learned.ResponseTime
	class.samples = max(class.samples, learned.Samples)
}

// record is an object's record without its rate.
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

// restore takes over a record as the one asked for last, if there is place and it is new.
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
