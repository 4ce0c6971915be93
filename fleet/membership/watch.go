package membership

import "slices"

// watch looks at the ways to neighbours, and reports those that don't work. A way works if beats come by it and show that
// beats sent by it arrive: so one that can send but not hear is found like one that can hear but not send.
func (t *Table) watch(now int64) {
	watched, silent := 0, 0
	limit := t.limit()
	for _, name := range t.edgeNames() {
		m := t.members[name]
		e := m.edge
		if e.caller {
			if now-e.heard > forgetCalls*t.config.HeartbeatInterval {
				t.unlink(m)
				t.version++
			}
			continue
		}
		if m.State != Alive {
			continue
		}
		watched++
		kind := Healthy
		switch {
		case now-max(e.heard, e.since) > limit:
			kind = Silent
			silent++
		case now-max(e.echoAt, e.since) > limit+limit/2: // it takes a way there and one back
			kind = Deaf
		}
		if kind != e.said || kind != Healthy && now-e.saidAt >= alertAgain*t.config.HeartbeatInterval {
			t.say(now, m, kind)
		}
	}
	cut := watched > 2 && silent == watched
	if cut != t.cutOff {
		t.cutOff = cut
		why := "heard again"
		if cut {
			why = "cut off"
		}
		t.notes = append(t.notes, Change{Member: Member{Entry: t.self, State: Alive, Since: now}, Previous: Alive, Reason: why})
	}
	if silent == 0 && t.health > 0 && now >= t.next {
		t.health--
	}
}

// say reports a neighbour, or takes a report back.
func (t *Table) say(now int64, m *known, kind ReportKind) {
	e := m.edge
	if kind == Healthy && e.said == Healthy {
		return
	}
	e.said, e.saidAt = kind, now
	t.seq++
	a := Report{m.Name, m.Incarnation, m.Version, t.self.Name, t.seq, kind}
	m.reports[t.self.Name] = report{a, now}
	t.suspects[m.Name] = m
	t.newAlerts = append(t.newAlerts, told{a, ""})
	t.hurry(now)
}

// judge believes a member dead once most of its observers have reported it for a moment: that is the time in which it can
// refute. All have the same reports and rings, so all judge alike.
func (t *Table) judge(now int64) {
	if len(t.suspects) == 0 {
		return
	}
	explicit := map[string]int{}
	for _, name := range sorted(t.suspects) {
		m := t.suspects[name]
		for who, r := range m.reports {
			if now-r.at > alertLife*t.config.HeartbeatInterval || r.Incarnation != m.Incarnation || r.Version < m.Version {
				delete(m.reports, who)
			}
		}
		if len(m.reports) == 0 || m.State != Alive {
			clear(m.reports)
			m.pending = -1
			delete(t.suspects, name)
			continue
		}
		for _, o := range t.observers(name) {
			if r, ok := m.reports[o]; ok && r.Kind != Healthy && t.counts(o) {
				explicit[name]++
			}
		}
	}
	for _, name := range sorted(t.suspects) {
		m := t.suspects[name]
		observers := t.observers(name)
		most, some := quorum(len(observers))
		count := explicit[name]
		if count >= some {
			for _, o := range observers {
				if r, ok := m.reports[o]; ok && r.Kind != Healthy && t.counts(o) {
					continue
				}
				if _, few := quorum(len(t.observers(o))); !t.counts(o) || explicit[o] >= few {
					count++ // it can't report any more, or is not believed to
				}
			}
		}
		switch {
		case count < most || t.cutOff:
			m.pending = -1
		case m.pending < 0:
			m.pending = now
		case now-m.pending >= t.config.HeartbeatInterval/confirmParts:
			t.bury(now, m, "most of its observers report it")
		}
	}
}

// counts tells whether a name can report: it is this instance, or believed alive.
func (t *Table) counts(name string) bool {
	return name == t.self.Name || t.members[name] != nil && t.members[name].State == Alive
}

// bury believes a member dead, and says so to neighbours.
func (t *Table) bury(now int64, m *known, why string) {
	t.enter(now, m, Dead, why)
	delete(t.suspects, m.Name)
	t.pass(now, m.Name, "")
}

// take brings an entry up to date.
func (t *Table) take(now int64, e Entry, from string) {
	if e.Name == "" || len(e.Name) > nameMost || len(e.Address) > addressMost || !(e.Weight > 0 && e.Weight < 1e6) {
		t.refused++
		return
	}
	if e.Name == t.self.Name {
		t.own(now, e)
		return
	}
	m := t.members[e.Name]
	if m == nil {
		if e.Dead || e.Leaving {
			return // word of who is gone keeps nobody in memory
		}
		if len(t.members) >= MaxMembers {
			t.refused++
			return
		}
		m = t.join(now, e.Name)
	}
	if m.configured {
		e.Address, e.Weight = m.Address, m.Weight // the file says so: a peer can't move another
	}
	was := m.Entry
	switch {
	case m.State == Unheard:
		if e.Dead || e.Leaving {
			return
		}
	case e.Dead && e.Incarnation == was.Incarnation && e.Version == was.Version:
		t.claim(now, m, from)
		return
	case !e.newer(was):
		return
	}
	if _, known := m.lives[e.Incarnation]; !known && len(m.lives) >= livesMost {
		t.refused++
		return
	}
	dead := e.Dead
	e.Dead = false
	if m.State == Alive && was.Incarnation != e.Incarnation {
		m.lives[was.Incarnation] = now // it may be there still
	}
	if m.lives[e.Incarnation] = now; was.Incarnation != e.Incarnation && m.edge != nil {
		m.edge = newEdge(now, m.edge.caller)
		t.link(m)
	}
	m.Entry, m.HeardAt = e, now
	clear(m.reports)
	clear(m.claims)
	m.pending = -1
	if delete(t.suspects, m.Name); m.edge != nil {
		m.edge.said = Healthy // of this version nothing was said yet
	}
	t.raw++
	if was.Address != e.Address || was.Weight != e.Weight || was.Incarnation != e.Incarnation {
		t.touch(now)
	}
	state := Alive
	if e.Leaving {
		state = Left
	}
	if m.State != state {
		t.enter(now, m, state, "")
	}
	if t.pass(now, m.Name, from); dead {
		t.claim(now, m, from)
	}
}

// claim takes a peer's word that it believes a member dead. One alone is not believed, but the member is let know, so that it
// can refute; two are, as they may have heard reports that were lost here.
func (t *Table) claim(now int64, m *known, from string) {
	if m.State != Alive {
		return
	}
	m.claims[from] = true
	tellers := 0
	for who := range m.claims {
		if t.counts(who) {
			tellers++
		}
	}
	if need := min(claimsMost, max(1, len(t.edges))); tellers >= need || t.config.fault.believeOne {
		t.bury(now, m, "neighbours believe it dead")
		return
	}
	if a := (Report{m.Name, m.Incarnation, m.Version, "", 0, Rumour}); t.rumours[m.Name] != m.Version+1 {
		t.rumours[m.Name] = m.Version + 1
		t.newAlerts = append(t.newAlerts, told{a, from})
		t.hurry(now)
	}
}

// own takes word of the own name. Of this start: what is said of it is refuted. Of another: a former one, which this one must
// count before, or one that runs now as well.
func (t *Table) own(now int64, e Entry) {
	switch {
	case t.config.fault.noRefuting:
	case e.Incarnation == t.self.Incarnation:
		if e.Start == t.self.Start && (e.Version > t.self.Version || e.Dead && e.Version == t.self.Version) {
			t.self.Version = e.Version
			t.raise(now)
		}
	default:
		if !e.Dead && !e.Leaving && e.newer(t.self) {
			t.twins.lives[e.Incarnation] = now
		}
		if e.newer(t.self) && now-t.refuted >= t.config.HeartbeatInterval {
			t.self.Start = e.Start + 1
			t.raise(now)
			t.raw++
		}
	}
}

// report takes an observer's report.
func (t *Table) report(now int64, a Report, from string) {
	if len(a.Subject) > nameMost || len(a.Observer) > nameMost || a.Kind > Rumour {
		t.refused++
		return
	}
	if a.Observer == t.self.Name {
		return
	}
	if a.Subject == t.self.Name {
		t.accused(now, a)
		return
	}
	m := t.members[a.Subject]
	// Of a version that is not known here: an old one was refuted; one of the future can't be true yet.
	if m == nil || m.State != Alive || a.Incarnation != m.Incarnation || a.Version != m.Version {
		return
	}
	if a.Kind == Rumour {
		if t.rumours[m.Name] != m.Version+1 {
			t.rumours[m.Name] = m.Version + 1
			t.newAlerts = append(t.newAlerts, told{a, from})
			t.hurry(now)
		}
		return
	}
	r, known := m.reports[a.Observer]
	if known && a.Seq <= r.Seq || !known && len(m.reports) >= reportsMost {
		return
	}
	m.reports[a.Observer] = report{a, now}
	t.suspects[m.Name] = m
	t.newAlerts = append(t.newAlerts, told{a, from})
	t.hurry(now)
}

// accused refutes once enough say that this instance is not there: one way that does not work is none of its matter.
func (t *Table) accused(now int64, a Report) {
	if a.Incarnation != t.self.Incarnation || a.Version != t.self.Version || t.config.fault.noRefuting {
		return
	}
	if t.accusers[a.Observer] = a.Version + 1; a.Kind == Healthy {
		delete(t.accusers, a.Observer)
		return
	}
	count := 0
	for _, version := range t.accusers {
		if version == t.self.Version+1 {
			count++
		}
	}
	if _, some := quorum(len(t.observers(t.self.Name))); a.Kind == Rumour || count >= some {
		clear(t.accusers)
		t.raise(now)
		t.raw++
	}
}

func sorted(m map[string]*known) []string {
	out := make([]string, 0, len(m))
	for name := range m {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}
