package membership

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// MaxNeighbours is how many observers a member has at most: the one before and the one after it on each of four rings.
const (
	ringCount     = 4
	MaxNeighbours = 2 * ringCount
)

// callersMost is how many that are no neighbours are answered: while views differ somebody's neighbours may not know it yet.
const callersMost = 6

// Rings orders names on four rings by hash: all that know the same names compute the same. Each member watches the one before
// and the one after it on each, and so is watched by the same: that is an expander with eight links a member whatever
// their number is, and stays connected without a third of them.
type Rings struct {
	names []string
	rings [ringCount][]point
	hash  map[string][ringCount]uint64
}

type point struct {
	hash uint64
	name string
}

func (p point) compare(q point) int {
	return cmp.Or(cmp.Compare(p.hash, q.hash), cmp.Compare(p.name, q.name))
}

// NewRings orders names.
func NewRings(names []string) *Rings {
	r := &Rings{names: names, hash: make(map[string][ringCount]uint64, len(names))}
	for _, name := range names {
		var at [ringCount]uint64
		for i := range at {
			at[i] = xxhash.Sum64(append(binary.LittleEndian.AppendUint32(nil, uint32(i)), name...))
			r.rings[i] = append(r.rings[i], point{at[i], name})
		}
		r.hash[name] = at
	}
	for i := range r.rings {
		slices.SortFunc(r.rings[i], point.compare)
	}
	return r
}

// Neighbours is who watches a name, and is watched by it; the name itself need not be on the rings.
func (r *Rings) Neighbours(name string) (out []string) {
	if n := len(r.names); n <= MaxNeighbours+1 {
		return slices.DeleteFunc(slices.Clone(r.names), func(x string) bool { return x == name })
	}
	hash, on := r.hash[name]
	for i, ring := range r.rings {
		if !on {
			hash[i] = xxhash.Sum64(append(binary.LittleEndian.AppendUint32(nil, uint32(i)), name...))
		}
		at, found := slices.BinarySearchFunc(ring, point{hash[i], name}, point.compare)
		after := at
		if found {
			after = at + 1
		}
		for _, p := range []point{ring[(at+len(ring)-1)%len(ring)], ring[after%len(ring)]} {
			if p.name != name && !slices.Contains(out, p.name) {
				out = append(out, p.name)
			}
		}
	}
	slices.Sort(out)
	return out
}

// quorum is how many of so many observers must report a member, and how many let silence of observers that are reported
// themselves count as well: those of a zone that is lost at once can't report each other.
func quorum(observers int) (most, some int) { return observers/2 + 1, max(1, observers/4) }

// names is every name known but the own, in order.
func (t *Table) names() []string {
	if len(t.order) != len(t.members) || t.orderAt != t.joins {
		t.order, t.orderAt = slices.Sorted(maps.Keys(t.members)), t.joins
	}
	return t.order
}

// rerank computes the rings anew from the view that was handed on, and with them the ways to neighbours. Contacts that
// nobody has heard of yet count for the first while, so that all begin with the same rings.
func (t *Table) rerank(now int64) {
	on := []string{t.self.Name}
	for _, name := range t.names() {
		m := t.members[name]
		if m.State == Alive && !m.HeldOut || m.State == Unheard && m.configured && now-t.begun < forgetBeats/3*t.config.HeartbeatInterval {
			on = append(on, name)
		}
	}
	slices.Sort(on)
	if slices.Equal(on, t.ringed) {
		return
	}
	t.ringed, t.rings = on, NewRings(on)
	clear(t.near)
	near := t.rings.Neighbours(t.self.Name)
	for _, name := range t.names() {
		m := t.members[name]
		if slices.Contains(near, name) {
			if m.edge == nil {
				m.edge = newEdge(now, false)
			} else if m.edge.caller {
				m.edge.caller, m.edge.since = false, now
			}
			t.link(m)
		} else if m.edge != nil {
			m.edge.caller = true
			t.say(now, m, Healthy)
		}
	}
	t.fewer()
	t.version++
}

// fewer lets the callers go that were silent longest, beyond the bound: a wave of views had made callers of all that were
// neighbours once, and links of 23.
func (t *Table) fewer() {
	var callers []*known
	for _, name := range t.edgeNames() {
		if m := t.edges[name]; m.edge.caller {
			callers = append(callers, m)
		}
	}
	slices.SortStableFunc(callers, func(a, b *known) int { return cmp.Compare(b.edge.heard, a.edge.heard) })
	for _, m := range callers[min(len(callers), callersMost):] {
		t.unlink(m)
	}
}

func newEdge(now int64, caller bool) *edge {
	return &edge{since: now, heard: now, echoAt: now, caller: caller}
}

// observers is who watches a member, as the rings are here.
func (t *Table) observers(name string) []string {
	if near, ok := t.near[name]; ok {
		return near
	}
	near := t.rings.Neighbours(name)
	t.near[name] = near
	return near
}

// Count is how many are known beside the own instance.
func (t *Table) Count() int { return len(t.members) }

// Peers is to whom links are to stand: neighbours, those that beat here, and one that is tried.
func (t *Table) Peers() (out []Contact) {
	for _, name := range t.edgeNames() {
		if m := t.members[name]; m.Address != "" && m.State != Left {
			out = append(out, Contact{name, m.Address, m.Weight})
		}
	}
	if m := t.members[t.stray]; m != nil && m.edge == nil && m.Address != "" {
		out = append(out, Contact{t.stray, m.Address, m.Weight})
	}
	return out
}

// link notes that a member has a way, and unlink that it has none any more.
func (t *Table) link(m *known) {
	t.edges[m.Name] = m
	t.ways = nil
}

func (t *Table) unlink(m *known) {
	m.edge = nil
	delete(t.edges, m.Name)
	t.ways = nil
}

// edgeNames is who has a way, in order; the slice is not changed later.
func (t *Table) edgeNames() []string {
	if t.ways == nil {
		t.ways = slices.Sorted(maps.Keys(t.edges))
	}
	return t.ways
}

// settle hands the view on once it has stopped changing, or has gone on changing for long: a zone that is lost is one change.
func (t *Table) settle(now int64) {
	if t.heldUntil > 0 && now >= t.heldUntil {
		t.touch(now - t.config.HeartbeatInterval)
		t.heldUntil = 0
	}
	if t.dirty < 0 || now-t.changed < t.config.HeartbeatInterval/quietParts && now-t.dirty < changingMost*t.config.HeartbeatInterval {
		return
	}
	t.publish(now)
}

// publish hands the view on as it is.
func (t *Table) publish(now int64) {
	t.dirty = -1
	var view []Entry
	if !t.self.Leaving {
		view = append(view, t.self)
	}
	for _, name := range t.names() {
		m := t.members[name]
		if m.State != Alive {
			m.HeldOut = false
			continue
		}
		// One that has died twice of late must stay for longer each time before it counts: a way that flaps is no way.
		if hold := t.hold(m); now-m.Since < hold {
			m.HeldOut = true
			if until := m.Since + hold; t.heldUntil == 0 || until < t.heldUntil {
				t.heldUntil = until
			}
			continue
		}
		m.HeldOut = false
		view = append(view, m.Entry)
	}
	slices.SortFunc(view, func(a, b Entry) int { return cmp.Compare(a.Name, b.Name) })
	same := slices.EqualFunc(view, t.stable, func(a, b Entry) bool {
		return a.Name == b.Name && a.Weight == b.Weight && a.Address == b.Address && a.Incarnation == b.Incarnation
	})
	if t.stable = view; !same || t.number == 0 {
		t.number++
		t.stableAt = now
		t.version++
	}
	t.rerank(now)
}

// hold is for how long a member must have been alive to count.
func (t *Table) hold(m *known) int64 {
	if len(m.deaths) < 2 {
		return 0
	}
	return min(int64(1)<<min(len(m.deaths), 10), flapMost) * t.config.HeartbeatInterval
}

// Alive is who can hold duties, as of the view handed on: the own instance unless it leaves, and whoever is believed
// alive, by name.
func (t *Table) Alive() []Entry { return t.stable }

// ViewInfo is the view handed on: its number here, its digest, which is the same wherever the same is believed, and since when.
func (t *Table) ViewInfo() (number, digest uint64, since int64) {
	for _, e := range t.stable {
		digest ^= xxhash.Sum64String(e.Name + "\x00" + string(binary.LittleEndian.AppendUint64(nil, e.Incarnation)))
	}
	return t.number, digest, t.stableAt
}

// Version grows with each view handed on, and each change of whom to link to.
func (t *Table) Version() uint64 { return t.version }

// digests is the digest of all live records, and of each bucket of them.
func (t *Table) digests() (uint64, []uint64) {
	if t.parts != nil && t.digested == t.raw {
		return t.digest, t.parts
	}
	t.digested, t.digest, t.parts = t.raw, 0, make([]uint64, DigestBuckets)
	add := func(e Entry) {
		if e.Dead || e.Leaving {
			return
		}
		h := mark(e)
		t.digest ^= h
		t.parts[bucket(e.Name)] ^= h
	}
	add(t.self)
	for _, m := range t.members {
		if m.State == Alive {
			add(m.Entry)
		}
	}
	return t.digest, t.parts
}

func bucket(name string) int { return int(xxhash.Sum64String(name) % DigestBuckets) }

// mark is an entry's digest.
func mark(e Entry) uint64 {
	raw := make([]byte, 0, 24+len(e.Name))
	for _, n := range []uint64{e.Start, e.Incarnation, e.Version} {
		raw = binary.LittleEndian.AppendUint64(raw, n)
	}
	return xxhash.Sum64(append(raw, e.Name...))
}
