package control

import "slices"

// kindCounts are numbers of dispatches by the room they count in: hits, fills and fetches.
type kindCounts [3]int

// sum is the number of dispatches of all kinds.
func (c kindCounts) sum() int { return c[hits] + c[fills] + c[fetches] }

// begin notes that a dispatch is out at a member.
func (r *Router) begin(m *member, d *dispatch) {
	m.out = append(m.out, d)
	r.count(m, d, 1)
	r.scored.add(m)
	r.watched.add(m)
	if d.expiry == nil {
		d.expiry = r.expiries.Push(d.lateFrom, d)
	}
}

// finish notes that a dispatch is no longer out at a member.
func (r *Router) finish(m *member, d *dispatch) {
	r.expiries.Remove(d.expiry)
	m.out = slices.DeleteFunc(m.out, func(other *dispatch) bool {
		if other == d && !d.late {
			r.count(m, d, -1)
		}
		return other == d
	})
}

// count adds to the numbers of dispatches that may be in time: the member's and, if it is a cache of the
// location, those of all caches.
func (r *Router) count(m *member, d *dispatch, change int) {
	m.inTime[d.kind] += change
	if m.role == cacheRole {
		r.cachesInTime[d.kind] += change
	}
}

// expire takes what has become late out of the numbers of dispatches that may be in time.
func (r *Router) expire(now int64) {
	if now < r.expiredAt {
		r.unexpire(now)
	}
	r.expiredAt = now
	for r.expiries.Next() <= now {
		_, d := r.expiries.Pop()
		for _, m := range []*member{d.cache, d.source} {
			if m != nil && slices.Contains(m.out, d) {
				r.count(m, d, -1)
			}
		}
		d.late = true
	}
}

// unexpire counts again what is not yet late at an earlier time. Callers' clocks do not go back; if one does, the
// numbers are those of its time nevertheless.
func (r *Router) unexpire(now int64) {
	var revived []*dispatch
	for _, m := range r.members {
		for _, d := range m.out {
			if d.late && now < d.lateFrom {
				r.count(m, d, 1)
				revived = append(revived, d)
			}
		}
	}
	for _, d := range revived {
		if d.late {
			d.late, d.expiry = false, r.expiries.Push(d.lateFrom, d)
		}
	}
}

// inTime is what is out at the location's caches and may be in time, by kind. What is late does not count: in
// thin slices a few dispatches stuck at silent members took the room of all.
func (r *Router) inTime(now int64) kindCounts {
	r.expire(now)
	return r.cachesInTime
}

// units is the size of all caches of the location.
func (r *Router) units(now int64) float64 {
	if r.told() {
		if !r.unitsSummed {
			r.unitsSummed, r.unitsSum, r.mostUnits = true, 0, 0
			for _, m := range r.caches {
				r.unitsSum += m.Capacity
				r.mostUnits = max(r.mostUnits, m.Capacity)
			}
		}
		return max(r.unitsSum, leastUnits)
	}
	return max(r.equalUnits.sum(len(r.caches), r.measuredSize(now)), leastUnits)
}

// repeatedSum is a number added up so many times, kept from the last time.
type repeatedSum struct {
	count    int
	term     float64
	addedSum float64
}

// sum adds one by one, as a product would be rounded otherwise, and decisions depend on it.
func (s *repeatedSum) sum(count int, term float64) float64 {
	if s.count == count && s.term == term {
		return s.addedSum
	}
	s.count, s.term, s.addedSum = count, term, 0
	for range count {
		s.addedSum += term
	}
	return s.addedSum
}

// loadScale is what the loads of all caches at one moment have in common.
type loadScale struct {
	mean    float64 // what one cache would have in hand at the location's mean
	sharing float64
	told    bool
	size    float64 // of each cache where weights do not tell it
	least   float64 // load of the largest cache while it has nothing in hand: none has less
}

// loadScale prepares for the loads at a time.
func (r *Router) loadScale(now int64) loadScale {
	s := loadScale{sharing: r.sharing(), told: r.told()}
	s.mean = float64(r.inTime(now).sum()) * s.sharing / r.units(now)
	largest := r.mostUnits
	if !s.told {
		s.size = r.measuredSize(now)
		largest = s.size
	}
	s.least = s.at(0, largest)
	return s
}

// of is what a cache has in hand for its size, as seen from here.
func (s loadScale) of(m *member) float64 {
	if s.told {
		return s.at(m.inTime.sum(), m.Capacity)
	}
	return s.at(m.inTime.sum(), s.size)
}

// at is the load of a cache with so many dispatches in hand. In a thin slice one dispatch tells little (it seemed
// to fill a cache): it is drawn to the location's mean, as if one more had been seen at that.
func (s loadScale) at(inTime int, size float64) float64 {
	return (float64(inTime) + s.mean) / (max(size, leastUnits)/s.sharing + 1)
}

// load is what a cache has in hand for its size at a time.
func (r *Router) load(now int64, m *member) float64 { return r.loadScale(now).of(m) }
