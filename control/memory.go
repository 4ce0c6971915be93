package control

import (
	"cmp"
	"container/list"
	"maps"
	"slices"
)

// Memory is what a router has learned, for one that starts in its place: rates, what products cost to send, told purges.
// Judgements of members are not in it: they are of moments. Times are on the axis of the process that learned it, ns.
type Memory struct {
	Started, Taken int64
	Total          float64
	TotalAt        int64
	Rooms          [3]float64
	Products       []ProductMemory // by name
	Objects        []ObjectMemory  // the one asked for last comes last
	Purges         []PurgeMemory   // by name
}

// ProductMemory is what one product's answers told.
type ProductMemory struct {
	Name                  string
	Sending, Answer, Seen float64 // s, s, answers
}

// ObjectMemory is one object of the rate table.
type ObjectMemory struct {
	Object        string
	Part, Group   int64
	Count, Purges float64
	Counted, Born int64
	Ghost         bool
}

// PurgeMemory is one told purge that matters still.
type PurgeMemory struct {
	Name string
	When int64 // its stamp: Unix ns by the clock of the journal service, on no axis of ours
}

// Moved is a memory with its times moved by a span, ns: onto the axis of another process. Stamps of others stay.
func (m Memory) Moved(by int64) Memory {
	m.Started, m.Taken, m.TotalAt = m.Started+by, m.Taken+by, m.TotalAt+by
	m.Objects = slices.Clone(m.Objects)
	for i := range m.Objects {
		m.Objects[i].Counted += by
		m.Objects[i].Born += by
	}
	return m
}

// Remember gives what was learned, with so many objects at most.
func (r *Router) Remember(now int64, most int) Memory {
	m := Memory{Started: r.started, Taken: now, Total: r.total, TotalAt: r.totalAt, Rooms: r.rooms}
	for _, name := range slices.Sorted(maps.Keys(r.products)) {
		p := r.products[name]
		m.Products = append(m.Products, ProductMemory{name, p.sending, p.answer, p.seen})
	}
	for _, name := range slices.Sorted(maps.Keys(r.purges)) {
		m.Purges = append(m.Purges, PurgeMemory{name, r.purges[name].stamp})
	}
	for _, of := range []*list.List{r.live, r.ghosts} {
		for at := of.Front(); at != nil && len(m.Objects) < most; at = at.Next() {
			e := at.Value.(*entry)
			m.Objects = append(m.Objects, ObjectMemory{Object: e.key.object, Part: e.key.part, Group: e.group, Count: e.count,
				Purges: e.purges, Counted: e.counted, Born: e.born, Ghost: e.ghost})
		}
	}
	slices.Reverse(m.Objects)
	return m
}

// Recall takes over what was learned; it is to be called before anything else. With rates, time is taken to have stood
// still since: what was asked for so often then is so now. Without, only that objects were asked for, and purged, is kept.
func (r *Router) Recall(now int64, m Memory, rates bool) {
	gone := max(0, now-m.Taken)
	for _, p := range m.Products {
		if own := r.products[p.Name]; own != nil && p.Sending > 0 && p.Answer > 0 {
			own.sending, own.answer, own.seen = p.Sending, p.Answer, max(own.seen, p.Seen)
		}
	}
	for _, p := range m.Purges {
		r.purges[p.Name] = r.purges[p.Name].with(now, p.When)
	}
	if rates {
		r.started, r.total, r.totalAt = min(m.Started+gone, now), m.Total, min(m.TotalAt+gone, now)
		for i, room := range m.Rooms {
			r.rooms[i] = max(roomLeast, min(cmp.Or(room, roomFirst[i]), roomMost))
		}
	}
	for _, o := range m.Objects {
		key := entryKey{o.Object, o.Part}
		if r.table[key] != nil || len(r.table) >= 2*tableSize {
			continue
		}
		e := &entry{key: key, group: o.Group, born: min(o.Born, now), purges: o.Purges, counted: now, ghost: o.Ghost}
		if rates {
			e.count, e.counted = o.Count, min(o.Counted+gone, now)
		}
		if e.ghost {
			e.place = r.ghosts.PushFront(e)
		} else {
			e.place = r.live.PushFront(e)
		}
		r.table[key] = e
	}
}
