package membership

import (
	"cmp"
	"encoding/binary"
	"slices"

	"tealpath/internal/cluster/timing"

	"github.com/cespare/xxhash/v2"
)

// view is the published view: the entries of the live members that users of the table see. It is not updated while
// members keep changing state.
type view struct {
	entries      []Entry
	number       uint64 // number of the published view at this instance, from 1; it differs between instances
	publishedAt  int64
	dirtySince   int64 // since when there have been changes that are not in the view; timing.Never: there are none
	changedAt    int64 // when the last change happened that marked the view as out of date
	heldOutUntil int64 // when the first held-out member may return to the view; 0: no member is held out
}

// touch marks the published view as out of date because of a change at now.
func (table *Table) touch(now int64) {
	table.view.touch(now)
}

// touch marks the view as out of date because of a change at now.
func (view *view) touch(now int64) {
	view.changedAt = now
	if !timing.Happened(view.dirtySince) {
		view.dirtySince = now
	}
}

// next returns when the view may have to be published again, or noTime if it is up to date and no member is held out.
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

// settleView publishes the view once members have not changed for interval/quietDivisor, or have kept changing for
// maxChanging intervals. The loss of a whole zone is therefore one change of the view.
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

// publish updates the view and the rings to the members' present states. The view gets a new number only if it differs
// from the previous one.
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

// sameInView reports whether two entries agree in the fields whose change makes a new view.
func sameInView(a, b Entry) bool {
	return a.Name == b.Name && a.Weight == b.Weight && a.Address == b.Address && a.Incarnation == b.Incarnation
}

// updateHeldOut sets HeldOut of a member that must not be in the view yet because it keeps failing, and records when
// it may return.
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

// Alive returns the entries of the published view, sorted by name: this instance unless it is leaving, and all members
// that are believed alive and not held out. These instances can hold leases. The caller must not modify the slice.
func (table *Table) Alive() []Entry { return table.view.entries }

// ViewInfo returns the published view's number at this instance, its digest and when it was published. The digest is
// equal at instances with equal views.
func (table *Table) ViewInfo() (number, digest uint64, since int64) {
	for _, entry := range table.view.entries {
		incarnation := binary.LittleEndian.AppendUint64(nil, entry.Incarnation)
		digest ^= xxhash.Sum64String(entry.Name + "\x00" + string(incarnation))
	}
	return table.view.number, digest, table.view.publishedAt
}
