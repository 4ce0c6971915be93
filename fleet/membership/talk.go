package membership

import "slices"

const (
	claimsMost  = 2  // neighbours that believe a member dead, so that it is believed here without reports
	reportsMost = 32 // kept of one member
	forgetCalls = 4  // intervals without a beat after which one that is no neighbour is answered no more
	newsMost    = 4096
)

// Rumour is a report's kind that says: somebody believes this one dead; it is passed on so that the member can refute.
const Rumour ReportKind = 3

// told is a report to be passed on, but for who told it.
type told struct {
	Report
	from string
}

// beats is what goes out at each beat: to every neighbour its number and an echo, with what is new; and now and then a try at
// one that is not there.
func (t *Table) beats(now int64) (out []Send) {
	t.tryStray(now)
	news := t.gather()
	digest, _ := t.digests()
	for _, name := range t.edgeNames() {
		m := t.members[name]
		e := m.edge
		e.out++
		g := news.without(name)
		g.Heartbeat, g.Echo, g.Digest = e.out, e.in, digest
		if e.echoed == 0 && !slices.ContainsFunc(g.Entries, func(x Entry) bool { return x.Name == t.self.Name }) {
			g.Entries = append([]Entry{t.self}, g.Entries...) // it may not know this instance yet
		}
		if m.State == Dead {
			g.Entries = append(g.Entries, m.record()) // so that it can refute
		}
		if e.parts {
			e.parts, e.asked = false, now
			_, g.BucketDigests = t.digests()
		}
		out = append(out, Send{name, g})
	}
	if t.stray != "" && t.strayAt == now {
		out = append(out, Send{t.stray, Gossip{Heartbeat: 1, Digest: digest, Entries: []Entry{t.self}}})
	}
	return out
}

// tryStray draws one that is not there and may be back, or have never been heard: after a split nobody else brings the
// sides together.
func (t *Table) tryStray(now int64) {
	if now-t.strayAt < strayEvery*t.config.HeartbeatInterval {
		return
	}
	was := t.stray
	t.stray, t.strayAt = "", now
	var away []string
	for _, name := range t.names() {
		if m := t.members[name]; m.edge == nil && m.Address != "" && (m.State == Dead || m.State == Unheard) {
			away = append(away, name)
		}
	}
	if len(away) > 0 {
		t.stray = away[t.rng.IntN(len(away))]
	}
	if was != t.stray {
		t.version++
	}
}

// record is a member's entry as it is told.
func (m *known) record() Entry {
	e := m.Entry
	e.Dead = m.State == Dead
	return e
}

// news is what is to be passed on.
type news struct {
	entries []Entry
	from    []string
	alerts  []told
}

// gather takes what is new, as much as one message holds.
func (t *Table) gather() (out news) {
	names := make([]string, 0, len(t.news))
	for name := range t.news {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names[:min(len(names), MaxPerMessage)] {
		from := t.news[name]
		delete(t.news, name)
		switch m := t.members[name]; {
		case name == t.self.Name:
			out.entries, out.from = append(out.entries, t.self), append(out.from, from)
		case m != nil && m.State != Unheard:
			out.entries, out.from = append(out.entries, m.record()), append(out.from, from)
		}
	}
	n := min(len(t.newAlerts), MaxPerMessage)
	out.alerts = t.newAlerts[:n:n]
	t.newAlerts = slices.Clone(t.newAlerts[n:])
	if over := len(t.newAlerts) - newsMost; over > 0 {
		t.newAlerts = t.newAlerts[over:]
	}
	return out
}

// without is a message of the news to one who did not tell them.
func (n news) without(name string) (g Gossip) {
	for i, e := range n.entries {
		if n.from[i] != name {
			g.Entries = append(g.Entries, e)
		}
	}
	for _, a := range n.alerts {
		if a.from != name && a.Observer != name {
			g.Reports = append(g.Reports, a.Report)
		}
	}
	return g
}

// tellNews passes what is new on, once by every link.
func (t *Table) tellNews(now int64) (out []Send) {
	all := t.gather()
	if t.sendAt = 0; len(t.news) > 0 || len(t.newAlerts) > 0 {
		t.sendAt = now + t.config.HeartbeatInterval/batchParts
	}
	for _, name := range t.edgeNames() {
		if g := all.without(name); len(g.Entries)+len(g.Reports) > 0 {
			out = append(out, Send{name, g})
		}
	}
	return out
}

// Receive takes what a member told, and gives what is answered at once. from is who the link has proved it is from.
func (t *Table) Receive(now int64, from string, g Gossip) (tell []Send, changes []Change) {
	if len(g.Entries) > MaxPerMessage+2 || len(g.Reports) > MaxPerMessage || len(g.BucketDigests) != 0 && len(g.BucketDigests) != DigestBuckets {
		t.refused++
		return nil, nil
	}
	if from == t.self.Name {
		return nil, nil
	}
	for _, e := range g.Entries {
		t.take(now, e, from)
	}
	for _, a := range g.Reports {
		t.report(now, a, from)
	}
	if m := t.members[from]; m != nil {
		if g.Heartbeat > 0 {
			tell = t.beaten(now, m, g)
		}
		if len(g.BucketDigests) == DigestBuckets {
			tell = append(tell, t.compare(now, from, g.BucketDigests)...)
		}
	}
	changes, t.notes = t.notes, nil
	return tell, changes
}

// beaten takes a beat.
func (t *Table) beaten(now int64, m *known, g Gossip) (tell []Send) {
	e := m.edge
	if e == nil {
		callers := 0
		for _, other := range t.edges {
			if other.edge.caller {
				callers++
			}
		}
		if callers >= callersMost {
			return nil
		}
		e = newEdge(now, true)
		m.edge = e
		t.link(m)
		t.version++
	}
	m.HeardAt, e.heard = now, now
	if g.Heartbeat > e.in || g.Heartbeat == 1 {
		e.in = g.Heartbeat
	}
	if g.Echo > e.echoed {
		e.echoed, e.echoAt = min(g.Echo, e.out), now
	}
	own, parts := t.digests()
	switch {
	case g.Digest == own:
		e.differs = 0
	case e.differs == 0:
		e.differs = now
	}
	first := e.in == 1 && e.asked == 0
	if e.differs > 0 && (first || now-e.differs >= syncAfter*t.config.HeartbeatInterval && now-e.asked >= 2*syncAfter*t.config.HeartbeatInterval) {
		e.asked = now
		tell = append(tell, Send{m.Name, Gossip{Entries: []Entry{t.self}, BucketDigests: parts}})
	}
	return tell
}

// compare answers who asks for what differs.
func (t *Table) compare(now int64, to string, theirs []uint64) []Send {
	_, parts := t.digests()
	g := Gossip{}
	begin := t.rng.IntN(DigestBuckets)
	buckets := map[int][]string{}
	for _, name := range t.names() {
		b := bucket(name)
		buckets[b] = append(buckets[b], name)
	}
	for i := range DigestBuckets {
		b := (begin + i) % DigestBuckets
		if parts[b] == theirs[b] {
			continue
		}
		if b == bucket(t.self.Name) && len(g.Entries) < MaxPerMessage {
			g.Entries = append(g.Entries, t.self)
		}
		for _, name := range buckets[b] {
			if m := t.members[name]; m.State != Unheard && len(g.Entries) < MaxPerMessage { // its own as well: its clock may have been set back
				g.Entries = append(g.Entries, m.record())
			}
		}
	}
	if len(g.Entries) == 0 {
		return nil
	}
	return []Send{{to, g}}
}
