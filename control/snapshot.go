package control

import (
	"cmp"
	"container/list"
	"maps"
	"slices"
)

// Snapshot is what a router has learned, for one that starts in its place: rates, what classes cost to send, told purges.
// Judgements of members are not in it: they are of moments. Times are on the axis of the process that learned it, ns.
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
func (r *Router) Snapshot(now int64, most int) Snapshot {
	m := Snapshot{StartedAt: r.rates.startedAt, TakenAt: now, RequestCount: r.rates.requestCount, RequestCountAt: r.rates.requestCountAt, AdmissionLimits: r.admission.limits}
	for _, name := range slices.Sorted(maps.Keys(r.classByName)) {
		class := r.classByName[name]
		m.Classes = append(m.Classes, ClassSnapshot{name, class.sendingTime, class.responseTime, class.samples})
	}
	for _, name := range slices.Sorted(maps.Keys(r.purges.last)) {
		m.Purges = append(m.Purges, PurgeSnapshot{name, r.purges.last[name].stamp})
	}
	for _, of := range []*list.List{r.rates.recentObjects, r.rates.evictedObjects} {
		for at := of.Front(); at != nil && len(m.Objects) < most; at = at.Next() {
			record := at.Value.(*objectRecord)
			m.Objects = append(m.Objects, ObjectSnapshot{
				Object: record.key.object, Part: record.key.part, Group: record.group, Count: record.requestCount,
				Purges: record.purgeCount, CountedAt: record.countedAt, FirstSeenAt: record.firstSeenAt, Evicted: record.evicted,
			})
		}
	}
	slices.Reverse(m.Objects)
	return m
}

// Restore takes over what was learned; it is to be called before anything else. With rates, time is taken to have stood
// still since: what was asked for so often then is so now. Without, only that objects were asked for, and purged, is kept.
func (r *Router) Restore(now int64, m Snapshot, rates bool) {
	gone := max(0, now-m.TakenAt)
	for _, p := range m.Classes {
		if own := r.classByName[p.Name]; own != nil && p.SendingTime > 0 && p.ResponseTime > 0 {
			own.sendingTime, own.responseTime, own.samples = p.SendingTime, p.ResponseTime, max(own.samples, p.Samples)
		}
	}
	for _, p := range m.Purges {
		r.purges.last[p.Name] = r.purges.last[p.Name].with(now, p.PurgedAt)
	}
	if rates {
		r.rates.startedAt, r.rates.requestCount, r.rates.requestCountAt = min(m.StartedAt+gone, now), m.RequestCount, min(m.RequestCountAt+gone, now)
		for i, room := range m.AdmissionLimits {
			r.admission.limits[i] = max(minAdmissionLimit, min(cmp.Or(room, initialAdmissionLimits[i]), maxAdmissionLimit))
		}
	}
	for _, o := range m.Objects {
		key := objectKey{o.Object, o.Part}
		if r.rates.objects[key] != nil || len(r.rates.objects) >= 2*maxObjects {
			continue
		}
		record := &objectRecord{key: key, group: o.Group, firstSeenAt: min(o.FirstSeenAt, now), purgeCount: o.Purges, countedAt: now, evicted: o.Evicted}
		if rates {
			record.requestCount, record.countedAt = o.Count, min(o.CountedAt+gone, now)
		}
		if record.evicted {
			record.element = r.rates.evictedObjects.PushFront(record)
		} else {
			record.element = r.rates.recentObjects.PushFront(record)
		}
		r.rates.objects[key] = record
	}
}
