package membership

import (
	"cmp"
	"encoding/binary"
	"slices"

	"tealpath/internal/cluster/timing"

	"github.com/cespare/xxhash/v2"
)

// view is the published view: the entries of live members. It is not updated while members keep changing.
type view struct {
	entries      []Entry
	number       uint64 // of the published view; the first is 1
	publishedAt  int64
	dirtySince   int64 // since when there are changes that are not in the view, or timing.Never
	changedAt    int64 // when the last such change happened
	heldOutUntil int64 // when the first held-out member may return to the view; 0: no member is held out
}

// touch marks the published view as out of date.
func (table *Table) touch(now int64) {
	table.view.touch(now)
}

// touch marks the view as out of date.
func (view *view) touch(now int64) {
	view.changedAt = now
	if !timing.Happened(view.dirtySince) {
		view.dirtySince = now
	}
}

// next returns when the view may have to be published, or noTime.
func (view *view) next(interval int64) int64 {
	next := noTime
	if timing.Happened(view.dirtySince) {
		next = view.changedAt + interval/quietDivisor
	}
	if view.heldOutUntil > 0 {
		next = min(next, view.heldOutUntil)
	}
	return next
}

// settleView publishes the view once members have stopped changing, or have kept changing for maxChanging intervals.
// So the loss of a whole zone is one change of the view.
func (table *Table) settleView(now int64) {
	view, interval := &table.view, table.config.HeartbeatInterval
	if view.heldOutUntil > 0 && now >= view.heldOutUntil {
		table.touch(now - interval)
		view.heldOutUntil = 0
	}
	quiet := now-view.changedAt >= interval/quietDivisor
	tooLong := now-view.dirtySince >= table.config.intervals(maxChanging)
	if timing.Happened(view.dirtySince) && (quiet || tooLong) {
		table.publish(now)
	}
}

// publish updates the view and the rings from the members' present states.
func (table *Table) publish(now int64) {
	view := &table.view
	view.dirtySince = timing.Never
	var entries []Entry
	if !table.self.entry.Leaving {
		entries = append(entries, table.self.entry)
	}
	for _, name := range table.members.sortedNames() {
		member := table.members.byName[name]
		table.updateHeldOut(now, member)
		if member.State == Alive && !member.HeldOut {
			entries = append(entries, member.Entry)
		}
	}
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.Name, b.Name) })
	same := slices.EqualFunc(entries, view.entries, sameInView)
	view.entries = entries
	if !same || view.number == 0 {
		view.number++
		view.publishedAt = now
		table.version++
	}
	table.updateRings(now)
}

// sameInView reports whether two entries agree in the fields that matter to users of the view.
func sameInView(a, b Entry) bool {
	return a.Name == b.Name && a.Weight == b.Weight && a.Address == b.Address && a.Incarnation == b.Incarnation
}

// updateHeldOut decides whether a member is left out of the view because it keeps failing, and records when it may
// return.
func (table *Table) updateHeldOut(now int64, member *record) {
	countsFrom := member.Since + member.holdOut(table.config.HeartbeatInterval)
	member.HeldOut = member.State == Alive && now < countsFrom
	if !member.HeldOut {
		return
	}
	if view := &table.view; view.heldOutUntil == 0 || countsFrom < view.heldOutUntil {
		view.heldOutUntil = countsFrom
	}
}

// Alive returns the entries of the published view, sorted by name: this instance unless it is leaving, and all
// members believed alive and not held out. These instances can hold leases.
func (table *Table) Alive() []Entry { return table.view.entries }

// ViewInfo returns the number that this instance gave the published view, the view's digest and the time at which it
// was published. Instances with the same view have the same digest.
func (table *Table) ViewInfo() (number, digest uint64, since int64) {
	for _, entry := range table.view.entries {
		incarnation := binary.LittleEndian.AppendUint64(nil, entry.Incarnation)
		digest ^= xxhash.Sum64String(entry.Name + "\x00" + string(incarnation))
	}
	return table.view.number, digest, table.view.publishedAt
}
